package wire

import (
	"bytes"
	"compress/flate"
	"io"
	"runtime"
	"sync"
	"weak"

	"github.com/pkg/errors"

	notch "tamaracknotch"
)

// grant is the encoded form of notch.EntryGrant. Each change of the tables is a byte string
// of its own, compressed CBOR, so that a change that many entries get is encoded once.
type grant struct {
	notch.EntryGrant
	Changes [][]byte `cbor:",omitempty"` // hides the field of EntryGrant
}

// maxChangeSize limits the size of a decoded change in bytes.
const maxChangeSize = 64 << 20

// sharedEncoder is shared by the links of all peers.
var sharedEncoder = changeEncoder{encoded: map[weak.Pointer[notch.TablesChange]][]byte{}}

// changeEncoder encodes changes and keeps the encodings of those that are still in use.
type changeEncoder struct {
	mu       sync.Mutex
	encoded  map[weak.Pointer[notch.TablesChange]][]byte
	deflater *flate.Writer
}

// encode returns the encoding of c. While it encodes c, other calls wait, as they mostly
// need the same encoding.
func (e *changeEncoder) encode(c *notch.TablesChange) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := weak.Make(c)
	if b, ok := e.encoded[key]; ok {
		return b, nil
	}
	b, err := encMode.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode change")
	}
	if b, err = e.deflate(b); err != nil {
		return nil, errors.Wrap(err, "compress change")
	}
	e.encoded[key] = b
	runtime.AddCleanup(c, e.forget, key)
	return b, nil
}

func (e *changeEncoder) deflate(b []byte) ([]byte, error) {
	var out bytes.Buffer
	if e.deflater == nil {
		w, err := flate.NewWriter(&out, flate.BestSpeed)
		if err != nil {
			return nil, err
		}
		e.deflater = w
	} else {
		e.deflater.Reset(&out)
	}
	if _, err := e.deflater.Write(b); err != nil {
		return nil, err
	}
	err := e.deflater.Close()
	return out.Bytes(), err
}

// forget drops the encoding of a change that isn't in use any more.
func (e *changeEncoder) forget(key weak.Pointer[notch.TablesChange]) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.encoded, key)
}

// encodedGrant returns the encoded form of m.
func encodedGrant(m notch.EntryGrant) (grant, error) {
	out := grant{EntryGrant: m}
	for _, c := range m.Changes {
		b, err := sharedEncoder.encode(c)
		if err != nil {
			return grant{}, err
		}
		out.Changes = append(out.Changes, b)
	}
	return out, nil
}

// decodedGrant returns the message whose encoded form is g.
func decodedGrant(g grant) (notch.EntryGrant, error) {
	m := g.EntryGrant
	m.Changes = nil
	for _, b := range g.Changes {
		c, err := decodeChange(b)
		if err != nil {
			return m, err
		}
		m.Changes = append(m.Changes, c)
	}
	return m, nil
}

func decodeChange(b []byte) (*notch.TablesChange, error) {
	b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxChangeSize))
	if err != nil {
		return nil, errors.Wrap(err, "decompress change")
	}
	c := &notch.TablesChange{}
	return c, errors.Wrap(decMode.Unmarshal(b, c), "decode change")
}
