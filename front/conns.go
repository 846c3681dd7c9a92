package front

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// newConnPatience is how long a connection without a request stays open while a server shuts down: its first
// request may be on the way.
const newConnPatience = 500 * time.Millisecond

// conns are the open connections of a server. The HTTP server takes a connection for idle until it has parsed
// the next request on it, and closes it at a shutdown although the request was read. Here a connection is idle
// only if nothing was read from it since its last answer.
type conns struct {
	mu   sync.Mutex
	open map[*trackedConn]bool
}

// trackedConn is a connection of which is known whether a request was read that isn't answered yet.
type trackedConn struct {
	net.Conn
	openedAt time.Time

	mu         sync.Mutex
	used       bool // something was read
	unanswered bool // something was read since the last answer
}

// Read implements [net.Conn].
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		c.used, c.unanswered = true, true
		c.mu.Unlock()
	}
	return n, err
}

// closeIfIdle closes the connection unless a request was read that isn't answered yet, or may still arrive
// first on a new connection.
func (c *trackedConn) closeIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unanswered && (c.used || now.Sub(c.openedAt) >= newConnPatience) {
		c.Conn.Close()
	}
}

// changed follows a connection's state. It is a hook of http.Server.
func (s *conns) changed(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		s.mu.Lock()
		s.open[c] = true
		s.mu.Unlock()
	case http.StateIdle:
		c.mu.Lock()
		c.unanswered = false
		c.mu.Unlock()
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
	}
}

// closeIdle closes the idle connections and reports whether none is left open.
func (s *conns) closeIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.open {
		c.closeIfIdle(now)
	}
	return len(s.open) == 0
}

// trackedListener accepts tracked connections.
type trackedListener struct{ net.Listener }

// Accept implements [net.Listener].
func (l trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn, openedAt: time.Now()}, nil
}
