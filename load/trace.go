package load

import (
	"context"
	"fmt"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"
)

// requestTrace records the steps of a request, for the verdict on a failed one and for its description.
type requestTrace struct {
	mu     sync.Mutex
	entry  string
	steps  []traceStep
	sentAt time.Time // when it was first sent; zero if it never was
}

// traceStep is a step of a request.
type traceStep struct {
	name string
	at   time.Time
}

// newRequestTrace returns the trace of a request for which the balancer has picked an entry.
func newRequestTrace(entry string) *requestTrace {
	t := &requestTrace{entry: entry}
	t.add("picked")
	return t
}

func (t *requestTrace) add(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.steps = append(t.steps, traceStep{name: name, at: time.Now()})
}

// attach returns a context whose request is traced.
func (t *requestTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if i.Reused {
				t.add("got an open connection")
			} else {
				t.add("got a new connection")
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) { t.sent() },
	})
}

// sent records that the request was sent. A transport may send it again if the connection breaks.
func (t *requestTrace) sent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.steps = append(t.steps, traceStep{name: "sent", at: now})
	if t.sentAt.IsZero() {
		t.sentAt = now
	}
}

// reachedAt returns when the request reached the entry, or failed to.
func (t *requestTrace) reachedAt(failedAt time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sentAt.IsZero() {
		return failedAt
	}
	return t.sentAt
}

// describe returns the entry and the steps with their times since start.
func (t *requestTrace) describe(start time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var b strings.Builder
	b.WriteString(t.entry)
	for _, s := range t.steps {
		fmt.Fprintf(&b, ", %s at %.3f s", s.name, s.at.Sub(start).Seconds())
	}
	return b.String()
}
