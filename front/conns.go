package front

import (
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// newConnPatience is how long a connection without a request stays open while a server shuts down: its first
// request may be on the way.
const newConnPatience = 500 * time.Millisecond

// lastReadTimeout limits the last read of an idle connection.
const lastReadTimeout = 100 * time.Millisecond

// conns are the open connections of a server. The HTTP server takes a connection for idle until it has parsed
// the next request on it, and closes it at a shutdown although a request has arrived. Here a shutdown only
// interrupts the reads of idle connections, and a connection ends if there is nothing to read on it.
type conns struct {
	mu   sync.Mutex
	open map[*trackedConn]bool
	last string // remote address of the connection after which none is accepted; empty if it isn't known
}

// add adds a connection that was accepted and reports whether it is the last one.
func (s *conns) add(c *trackedConn) (last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = true
	return c.RemoteAddr().String() == s.last
}

func (s *conns) remove(c *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// endAfter makes the connection from an address the last one, and reports whether it was accepted before.
func (s *conns) endAfter(address string) (accepted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = address
	for c := range s.open {
		if c.RemoteAddr().String() == address {
			return true
		}
	}
	return false
}

// readState tells what the next read of a connection is.
type readState int

// The states of a connection's reads.
const (
	reading     readState = iota
	interrupted           // the read in progress ends, and the last one follows
	readingLast           // unless this read gets something, the connection ends
)

// trackedConn is a connection of which is known whether a request was read that isn't answered yet.
type trackedConn struct {
	net.Conn
	openedAt time.Time

	mu         sync.Mutex
	used       bool // something was read
	unanswered bool // something was read since the last answer
	state      readState
}

// Read implements [net.Conn].
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.beginLastRead() {
		// The system may hold a request that the interrupted read didn't see.
		n, err = c.Conn.Read(b)
	}
	if n > 0 {
		c.noteRead()
	}
	return n, err
}

// beginLastRead reports whether the read in progress was interrupted, so that the last one follows.
func (c *trackedConn) beginLastRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != interrupted {
		return false
	}
	c.state = readingLast
	c.Conn.SetReadDeadline(time.Now().Add(lastReadTimeout))
	return true
}

// noteRead records that something was read.
func (c *trackedConn) noteRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used, c.unanswered = true, true
	if c.state != reading {
		c.state = reading
		c.Conn.SetReadDeadline(time.Now().Add(headerTimeout))
	}
}

// noteAnswer records that the request was answered.
func (c *trackedConn) noteAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = false
}

// interruptIfIdle interrupts the read in progress unless a request was read that isn't answered yet, or may still
// arrive first on a new connection. The HTTP server may have set another deadline since an earlier call.
func (c *trackedConn) interruptIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == readingLast || c.unanswered || !c.used && now.Sub(c.openedAt) < newConnPatience {
		return
	}
	c.state = interrupted
	c.Conn.SetReadDeadline(now)
}

// changed follows a connection's state. It is a hook of http.Server.
func (s *conns) changed(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.noteAnswer()
	case http.StateClosed, http.StateHijacked:
		s.remove(c)
	}
}

// endIdle ends the idle connections and reports whether none is left open.
func (s *conns) endIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.open {
		c.interruptIfIdle(now)
	}
	return len(s.open) == 0
}

// trackedListener accepts tracked connections, up to the last one.
type trackedListener struct {
	net.Listener
	conns *conns
}

// Accept implements [net.Listener].
func (l trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: conn, openedAt: time.Now()}
	if l.conns.add(c) {
		l.Close()
		l.conns.remove(c)
		c.Close()
		return nil, net.ErrClosed
	}
	return c, nil
}
