package front

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"
)

// stopTimeout bounds the shutdowns of the tests.
const stopTimeout = 10 * time.Second

// Guards against a connection that stays open after an answer whose request was in progress when the server began to
// drain: its next request met the closing of idle connections (LOST).
func TestDrainEndsConnectionsOfRequestsInProgress(t *testing.T) {
	started, released := make(chan struct{}), make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-released
		w.WriteHeader(http.StatusNoContent)
	}))
	defer s.Close()
	conn := dialAndSend(t, l.Addr())
	<-started
	s.Drain()
	close(released)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("got %v, want an answer", err)
	}
	if !res.Close {
		t.Error("the answer: got that the connection stays open, want that it ends")
	}
}

// dialAndSend sends a request on a new connection.
func dialAndSend(t *testing.T, a net.Addr) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", a.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	conn.SetReadDeadline(time.Now().Add(stopTimeout))
	return conn
}

// checkAnsweredAndShutDown checks that the request on a connection is answered, and that the shutdown ends without an error.
func checkAnsweredAndShutDown(t *testing.T, conn net.Conn, ended <-chan error) {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("got %v, want an answer", err)
	}
	if got, want := res.StatusCode, http.StatusNoContent; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
	if err := <-ended; err != nil {
		t.Errorf("shutdown: got %v", err)
	}
}
