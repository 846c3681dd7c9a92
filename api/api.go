// Package api holds the JSON documents of the HTTP interfaces and converts them to
// and from the types of the root package. Field names are in kebab case. Unknown
// fields are errors.
package api

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// MaxBody limits the size of a document that is read, in bytes.
const MaxBody = 8 << 20

// ProblemType is the media type of a problem document.
const ProblemType = "application/problem+json"

// Problem is a problem document as defined by RFC 9457.
type Problem struct {
	Type   string      `json:"type"`
	Title  string      `json:"title"`
	Status int         `json:"status"`
	Detail string      `json:"detail,omitempty"`
	Fields []Field     `json:"fields,omitempty"`
	Edit   *EditResult `json:"edit,omitempty"` // for a conflict: the current version of the table
}

// Field names an invalid field of a document, with the reason.
type Field struct {
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

// NewProblem returns a problem with the usual title of the status.
func NewProblem(status int, detail string) Problem {
	return Problem{Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail}
}

// Error implements error.
func (p Problem) Error() string {
	if p.Detail == "" {
		return p.Title
	}
	return p.Title + ": " + p.Detail
}

// Headers of an answer to a caller's request. The first two state whether the request
// ran, Request-Id identifies the request.
const (
	NotRunHeader    = "Not-Run" // "true": the request provably did not run
	OutcomeHeader   = "Outcome" // OutcomeUnknown: the request may have run
	RequestIDHeader = "Request-Id"
	OutcomeUnknown  = "unknown"
)

// Decode reads one JSON document into v. Unknown fields, a second document and a size
// of more than MaxBody bytes are errors.
func Decode(r io.Reader, v any) error {
	b, err := io.ReadAll(io.LimitReader(r, MaxBody+1))
	if err != nil {
		return errors.Wrap(err, "read document")
	}
	if len(b) > MaxBody {
		return errors.Errorf("the document has more than %d bytes", MaxBody)
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return errors.Wrap(err, "malformed document")
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("malformed document: more follows the first value")
	}
	return nil
}
