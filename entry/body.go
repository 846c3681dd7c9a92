package entry

import (
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// maxBufferedBody is the size in bytes of the largest request body that is kept in
// memory, so that it can be sent again. A larger body is streamed and sent only
// once.
const maxBufferedBody = 1 << 20

// body is the body of a request, buffered as a whole or up to a little more than
// maxBufferedBody.
type body struct {
	prefix []byte
	rest   io.Reader // nil if prefix is the whole body
	length int64     // -1 if unknown
}

func readBody(r *http.Request) (*body, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return &body{}, nil
	}
	prefix, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBody+1))
	if err != nil {
		return nil, errors.Wrap(err, "read the request's body")
	}
	if len(prefix) <= maxBufferedBody {
		return &body{prefix: prefix, length: int64(len(prefix))}, nil
	}
	return &body{prefix: prefix, rest: r.Body, length: r.ContentLength}, nil
}

// replayable reports whether the body can be sent more than once.
func (b *body) replayable() bool { return b.rest == nil }

// reader returns the body for one attempt. It hides the type of its reader, since
// net/http can rewind readers that it knows, and http.Transport retries a request by
// itself if it can rewind the body.
func (b *body) reader() io.ReadCloser {
	if b.rest == nil && len(b.prefix) == 0 {
		return nil
	}
	var r io.Reader = bytes.NewReader(b.prefix)
	if b.rest != nil {
		r = io.MultiReader(r, b.rest)
	}
	return io.NopCloser(struct{ io.Reader }{r})
}
