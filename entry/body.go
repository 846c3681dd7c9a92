package entry

import (
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// maxHeld is the largest request body that is held so that it can be sent
// again, in bytes. A larger one is passed on as it comes, once.
const maxHeld = 1 << 20

// body is a request's body.
type body struct {
	held   []byte
	rest   io.Reader // nil if all of it is held
	length int64     // -1 if unknown
}

func readBody(r *http.Request) (*body, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return &body{}, nil
	}
	held, err := io.ReadAll(io.LimitReader(r.Body, maxHeld+1))
	if err != nil {
		return nil, errors.Wrap(err, "read the request's body")
	}
	if len(held) <= maxHeld {
		return &body{held: held, length: int64(len(held))}, nil
	}
	return &body{held: held, rest: r.Body, length: r.ContentLength}, nil
}

func (b *body) replayable() bool { return b.rest == nil }

// reader returns the body for one attempt. It hides the type of its reader, for
// http.Transport sends a request again by itself if it can rewind the body.
func (b *body) reader() io.ReadCloser {
	if b.rest == nil && len(b.held) == 0 {
		return nil
	}
	var r io.Reader = bytes.NewReader(b.held)
	if b.rest != nil {
		r = io.MultiReader(r, b.rest)
	}
	return io.NopCloser(struct{ io.Reader }{r})
}
