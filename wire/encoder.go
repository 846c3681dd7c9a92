package wire

import (
	"reflect"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	notch "tamaracknotch"
)

// Encoder encodes messages. Log entries that go to several replicas in the same slice are encoded once. Its
// methods may be called on several goroutines.
type Encoder struct {
	mu      sync.Mutex
	latest  [keptBatches]*encodedBatch
	nextOne int // of latest, to be replaced next
}

// keptBatches is how many slices of entries an Encoder remembers. A leader rarely sends more of them before the
// last replica gets the first.
const keptBatches = 8

// encodedBatch is a slice of log entries with its encoding. It refers to the entries, so that no other slice
// has their address.
type encodedBatch struct {
	entries []notch.LogEntry
	encode  func() ([]byte, error)
}

// encodedAppend is a notch.AppendRequest with encoded entries. It has the same fields.
type encodedAppend struct {
	Term      uint64
	Leader    string
	PrevIndex uint64
	PrevTerm  uint64
	Commit    uint64
	SentAt    notch.Time
	Entries   cbor.RawMessage
	Contact   bool
}

// encodedAppendMode encodes an encodedAppend with the tag of a notch.AppendRequest.
var encodedAppendMode = sync.OnceValue(func() cbor.EncMode {
	i := slices.IndexFunc(tagged, func(v any) bool { _, ok := v.(notch.AppendRequest); return ok })
	tags := cbor.NewTagSet()
	opts := cbor.TagOptions{EncTag: cbor.EncTagRequired, DecTag: cbor.DecTagRequired}
	if err := tags.Add(opts, reflect.TypeFor[encodedAppend](), firstTag+uint64(i)); err != nil {
		panic(err)
	}
	mode, err := (cbor.EncOptions{}).EncModeWithTags(tags)
	if err != nil {
		panic(err)
	}
	return mode
})

// NewEncoder returns an encoder that remembers nothing yet.
func NewEncoder() *Encoder { return &Encoder{} }

// EncodeMessage returns the encoding of m, the same as that of the function EncodeMessage.
func (e *Encoder) EncodeMessage(m notch.Message) ([]byte, error) {
	r, ok := m.(notch.AppendRequest)
	if !ok || len(r.Entries) == 0 {
		return EncodeMessage(m)
	}
	entries, err := e.batch(r.Entries).encode()
	if err != nil {
		return nil, err
	}
	b, err := encodedAppendMode().Marshal(encodedAppend{
		Term: r.Term, Leader: r.Leader, PrevIndex: r.PrevIndex, PrevTerm: r.PrevTerm, Commit: r.Commit, SentAt: r.SentAt,
		Entries: entries, Contact: r.Contact,
	})
	return b, errors.Wrapf(err, "encode %T", m)
}

// batch returns the encoded form of entries, which aren't modified any more.
func (e *Encoder) batch(entries []notch.LogEntry) *encodedBatch {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, b := range e.latest {
		if b != nil && len(b.entries) == len(entries) && &b.entries[0] == &entries[0] {
			return b
		}
	}
	b := &encodedBatch{entries: entries, encode: sync.OnceValues(func() ([]byte, error) {
		b, err := encMode.Marshal(entries)
		return b, errors.Wrap(err, "encode log entries")
	})}
	e.latest[e.nextOne] = b
	e.nextOne = (e.nextOne + 1) % keptBatches
	return b
}
