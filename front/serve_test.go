package front

import (
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
)

// failingListener is a listener whose first Accept fails.
type failingListener struct {
	net.Listener
	failed atomic.Bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed.Swap(true) {
		return nil, &net.OpError{Op: "accept", Err: syscall.ENOBUFS}
	}
	return l.Listener.Accept()
}

// Guards against a process that goes on without a listener after an error of accept.
func TestServeGoesOnAfterFailedAccept(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := Serve(&failingListener{Listener: l}, http.NotFoundHandler())
	defer s.Close()
	res, err := http.Get("http://" + l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if got, want := res.StatusCode, http.StatusNotFound; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
}
