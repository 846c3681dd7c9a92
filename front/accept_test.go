package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// blockedListener accepts nothing until it is released, as a process that gets no processor time.
type blockedListener struct {
	net.Listener
	released chan struct{}
}

// newBlockedListener returns a listener and what releases it.
func newBlockedListener(t *testing.T) (l blockedListener, release func()) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l = blockedListener{Listener: inner, released: make(chan struct{})}
	return l, sync.OnceFunc(func() { close(l.released) })
}

func (l blockedListener) Accept() (net.Conn, error) {
	<-l.released
	return l.Listener.Accept()
}

// Guards against a shutdown that resets connections which are established but not accepted yet (LOST).
func TestShutdownServesEstablishedConnections(t *testing.T) {
	l, release := newBlockedListener(t)
	s := Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	defer s.Close()
	defer release()
	conn := dialAndSend(t, l.Addr())
	ended := make(chan error)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		ended <- s.Shutdown(ctx)
	}()
	select {
	case <-ended:
		t.Fatal("the server has shut down before the request was answered")
	case <-time.After(20 * idlePoll):
	}
	release()
	checkAnsweredAndShutDown(t, conn, ended)
	if _, err := net.Dial("tcp", l.Addr().String()); err == nil {
		t.Error("the server accepts connections after its shutdown")
	}
}

// Guards against a shutdown that never ends because nothing is accepted any more.
func TestShutdownEndsWithoutAccepts(t *testing.T) {
	l, release := newBlockedListener(t)
	s := Serve(l, http.NotFoundHandler())
	defer s.Close()
	defer release()
	ctx, cancel := context.WithTimeout(context.Background(), 10*idlePoll)
	defer cancel()
	if got, want := s.Shutdown(ctx), context.DeadlineExceeded; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	if _, err := net.Dial("tcp", l.Addr().String()); err == nil {
		t.Error("the server accepts connections after its shutdown")
	}
}
