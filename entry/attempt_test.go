package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	notch "tamaracknotch"
)

// Guards against an attempt that is sent after the deadline of its request: the slot was free again
// while the backend server still worked on it (LIMIT).
func TestAttemptAfterDeadlineIsNotSent(t *testing.T) {
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	defer server.Close()
	r := httptest.NewRequest(http.MethodGet, "/sale", nil)
	b, err := readBody(r)
	if err != nil {
		t.Fatal(err)
	}
	backend := notch.BackendServer{Name: "s1", Address: strings.TrimPrefix(server.URL, "http://")}
	x := &exchange{h: &Handler{servers: newTransports()}, r: r, body: b, deadline: time.Now()}
	got := x.fetch(t.Context(), notch.Dispatch{Server: backend})
	if want := notch.AttemptNotSent; got.resp != nil || got.outcome != want {
		t.Errorf("outcome: got %v, answered %t, want %v", got.outcome, got.resp != nil, want)
	}
	if got := requests.Load(); got != 0 {
		t.Errorf("requests at the backend server: got %d, want 0", got)
	}
}

// Guards against a slot that is given back while the backend server still works on the attempt (LIMIT).
func TestAttemptLastsAsLongAsBackendServerWorks(t *testing.T) {
	arrived, released := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-released
	}))
	defer server.Close()
	r := httptest.NewRequest(http.MethodGet, "/sale", nil)
	b, err := readBody(r)
	if err != nil {
		t.Fatal(err)
	}
	x := &exchange{h: &Handler{servers: newTransports()}, r: r, body: b, deadline: time.Now().Add(time.Second)}
	sends := attempts{x: x, finished: make(chan finishedAttempt, finishedCapacity)}
	sends.start(notch.Dispatch{Server: notch.BackendServer{Name: "s1", Address: strings.TrimPrefix(server.URL, "http://")}})
	<-arrived
	select {
	case f := <-sends.finished:
		t.Errorf("got the end %v of the attempt while the backend server works on it, want none", f.outcome)
	case <-time.After(time.Until(x.deadline) + 200*time.Millisecond):
	}
	close(released)
	if t.Failed() {
		return
	}
	f := <-sends.finished
	defer f.cancel()
	if f.resp == nil {
		t.Fatalf("got the outcome %v, want an answer", f.outcome)
	}
	f.resp.Body.Close()
}
