package front

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// slowListener accepts connections whose reads wait, as in a process that gets no processor time: before the system
// is asked or after it has answered.
type slowListener struct {
	net.Listener
	before, after chan struct{}
}

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return slowConn{conn, l}, err
}

type slowConn struct {
	net.Conn
	listener slowListener
}

func (c slowConn) Read(b []byte) (int, error) {
	<-c.listener.before
	n, err := c.Conn.Read(b)
	if n > 0 {
		<-c.listener.after
	}
	return n, err
}

// Guards against a shutdown that closes a connection on which a request has arrived that the process is slow to
// read (LOST).
func TestShutdownAnswersRequestThatIsReadLate(t *testing.T) {
	open := make(chan struct{})
	close(open)
	for _, test := range []struct {
		name          string
		before, after chan struct{}
	}{
		{"before the read", make(chan struct{}), open},
		{"after the read", open, make(chan struct{})},
	} {
		t.Run(test.name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l := slowListener{Listener: inner, before: test.before, after: test.after}
			s := Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
			defer s.Close()
			conn := dialAndSend(t, l.Addr())
			time.Sleep(newConnPatience + 20*idlePoll)
			ended := make(chan error, 1)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
				defer cancel()
				ended <- s.Shutdown(ctx)
			}()
			time.Sleep(20 * idlePoll)
			for _, c := range []chan struct{}{test.before, test.after} {
				if c != open {
					close(c)
				}
			}
			checkAnsweredAndShutDown(t, conn, ended)
		})
	}
}
