package link

import (
	"context"
	"time"
)

// contactConn is a second connection to a peer, for the messages by which replicas keep contact
// ([notch.KeepsContact]). It ends with the session. It is dialled when it is first needed, and
// again after an error.
type contactConn struct {
	outbox *outbox
	up     bool // guarded by Link.mu
}

// contactOutbox returns the outbox of p's contact connection, or nil if the connection isn't up.
// If there is none and p has a session, it starts to dial one.
func (l *Link) contactOutbox(p *peer) *outbox {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.session == nil {
		return nil
	}
	if p.contact == nil {
		c := &contactConn{outbox: newOutbox()}
		p.contact = c
		ctx, incarnation := p.session, p.incarnation
		l.wg.Go(func() { l.runContactConn(ctx, p, c, incarnation) })
	}
	if !p.contact.up {
		return nil
	}
	return p.contact.outbox
}

// runContactConn dials the process of p with the given incarnation, and sends the messages of c
// until the connection ends. After an error it waits before another one may be dialled.
func (l *Link) runContactConn(ctx context.Context, p *peer, c *contactConn, incarnation uint64) {
	defer l.contactEnded(ctx, p, c)
	conn, hello, err := l.dial(ctx, p.address, l.helloNow())
	if err != nil {
		return
	}
	defer conn.CloseNow()
	if hello.Daemon.Incarnation != incarnation {
		return
	}
	l.setContactUp(c, true)
	l.writeLoop(conn.CloseRead(ctx), conn, p.address, c.outbox)
	l.setContactUp(c, false)
}

func (l *Link) setContactUp(c *contactConn, up bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.up = up
}

// contactEnded waits for minBackoff and then lets p have another contact connection.
func (l *Link) contactEnded(ctx context.Context, p *peer, c *contactConn) {
	select {
	case <-ctx.Done():
	case <-time.After(minBackoff):
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.contact == c {
		p.contact = nil
	}
}
