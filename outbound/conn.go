package outbound

import (
	"container/list"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// peerConn is a connection to a peer.
type peerConn struct {
	net.Conn
	address   string
	idleSince time.Time
	element   *list.Element // in pool.idle; nil: in use
}

// discardUnsent has the connection's end reset it and drop what the peer hasn't received. Otherwise the system goes on
// sending a call after its end, for as long as a path is interrupted.
func (c *peerConn) discardUnsent() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
}

// writeAndAwait writes a whole call and waits until the connection can be read. Reading first, as [net.Conn] does, would
// cost one more system call that finds nothing.
func (c *peerConn) writeAndAwait(b []byte) error {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		_, err := c.Write(b)
		return err
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	written, called := 0, false
	var writeErr error
	// The write belongs into the callback: readiness that is signalled before it begins is forgotten, and what the
	// write leads to isn't.
	err = raw.Read(func(fd uintptr) bool {
		if !called {
			called = true
			written, writeErr = unix.Write(int(fd), b)
			return writeErr != nil || written < len(b)
		}
		return true
	})
	switch {
	case err != nil && !called:
		return errors.Wrap(ErrNotSent, err.Error())
	case err != nil:
		return err
	case writeErr == nil && written == len(b):
		return nil
	case writeErr != nil && !errors.Is(writeErr, unix.EAGAIN) && !errors.Is(writeErr, unix.EINTR):
		return errors.Wrap(writeErr, "write")
	}
	_, err = c.Write(b[max(written, 0):])
	return err
}

// closedByPeer reports whether an idle connection can't be used any more: it is at its end, has failed, or
// holds bytes that nobody asked for. It doesn't block.
func closedByPeer(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil || conn.SetReadDeadline(time.Time{}) != nil { // that of the last call may have passed
		return true
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err != nil || !idle
}
