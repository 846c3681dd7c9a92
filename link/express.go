package link

import (
	"context"
	"time"
)

// express is a second connection to a peer, for the messages by which replicas keep contact. It
// ends with the session and is dialled when it is needed first, and again after an error.
type express struct {
	outbox *outbox
	up     bool // guarded by Link.mu
}

// expressOutbox returns the outbox of p's express connection. It returns nil while there is none,
// and dials one if p has a session.
func (l *Link) expressOutbox(p *peer) *outbox {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.session == nil {
		return nil
	}
	if p.express == nil {
		x := &express{outbox: newOutbox()}
		p.express = x
		ctx, incarnation := p.session, p.incarnation
		l.wg.Go(func() { l.runExpress(ctx, p, x, incarnation) })
	}
	if !p.express.up {
		return nil
	}
	return p.express.outbox
}

// runExpress dials the process of p with the given incarnation, and sends the messages of x until
// the connection ends. After an error it waits before another express may be dialled.
func (l *Link) runExpress(ctx context.Context, p *peer, x *express, incarnation uint64) {
	defer l.expressEnded(ctx, p, x)
	conn, hello, err := l.dial(ctx, p.address)
	if err != nil {
		return
	}
	defer conn.CloseNow()
	if hello.Daemon.Incarnation != incarnation {
		return
	}
	l.setExpressUp(x, true)
	l.writeLoop(conn.CloseRead(ctx), conn, p.address, x.outbox)
	l.setExpressUp(x, false)
}

func (l *Link) setExpressUp(x *express, up bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x.up = up
}

// expressEnded waits for minBackoff and then lets p have another express.
func (l *Link) expressEnded(ctx context.Context, p *peer, x *express) {
	select {
	case <-ctx.Done():
	case <-time.After(minBackoff):
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.express == x {
		p.express = nil
	}
}
