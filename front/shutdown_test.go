package front

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// stallingListener accepts connections on which, once it is armed, the process stalls right after it has read
// something, until it is released.
type stallingListener struct {
	net.Listener
	armed    atomic.Bool
	stalled  chan struct{}
	released chan struct{}
}

func (l *stallingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &stallingConn{Conn: conn, listener: l}, err
}

type stallingConn struct {
	net.Conn
	listener *stallingListener
	read     atomic.Bool
}

func (c *stallingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Store(n > 0)
	return n, err
}

// SetReadDeadline is what the HTTP server calls first when it has read a part of the next request.
func (c *stallingConn) SetReadDeadline(t time.Time) error {
	if c.read.Load() && c.listener.armed.CompareAndSwap(true, false) {
		c.listener.stalled <- struct{}{}
		<-c.listener.released
	}
	return c.Conn.SetReadDeadline(t)
}

// Guards against a request that the process has read on an open connection while it shuts down, and that gets
// neither an answer nor a refusal (LOST).
func TestShutdownAnswersRequestThatWasRead(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &stallingListener{Listener: inner, stalled: make(chan struct{}), released: make(chan struct{})}
	s := Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	defer s.Close()
	conn, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	answers := bufio.NewReader(conn)
	receive := func() (*http.Response, error) { return http.ReadResponse(answers, nil) }
	send := func() {
		if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
	}
	send()
	if res, err := receive(); err != nil || res.StatusCode != http.StatusNoContent {
		t.Fatalf("first request: got %v and %v", res, err)
	}
	l.armed.Store(true)
	send()
	<-l.stalled
	ended := make(chan error)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		ended <- s.Shutdown(ctx)
	}()
	select {
	case <-ended:
		t.Error("the server has shut down before the request was answered")
		ended = nil
	case <-time.After(20 * idlePoll):
	}
	close(l.released)
	res, err := receive()
	if err != nil {
		t.Fatalf("second request: got %v, want an answer", err)
	}
	if res.StatusCode != http.StatusNoContent || !res.Close {
		t.Errorf("second request: got status %d and close %v, want %d and the end of the connection", res.StatusCode, res.Close, http.StatusNoContent)
	}
	if ended != nil {
		if err := <-ended; err != nil {
			t.Errorf("shutdown: got %v", err)
		}
	}
}

// Guards against connections that go idle and keep a server from shutting down.
func TestShutdownClosesIdleConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := Serve(l, http.NotFoundHandler())
	defer s.Close()
	unused, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	res, err := http.Get("http://" + l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		t.Errorf("got %v, want no error", err)
	}
	if _, err := net.Dial("tcp", l.Addr().String()); err == nil {
		t.Error("the server accepts connections after its shutdown")
	}
}
