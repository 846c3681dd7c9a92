package link

import (
	"context"
	"time"

	"github.com/coder/websocket"
)

// writeLoop sends the messages of an outbox, and pings at intervals, until an error occurs
// or ctx ends. Messages don't wait for the answer to a ping.
func (l *Link) writeLoop(ctx context.Context, conn *websocket.Conn, to string, o *outbox) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	pinged := make(chan error, 1)
	pinging := false
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case <-o.ready:
			err = l.writeNext(ctx, conn, to, o)
		case <-ticker.C:
			if !pinging {
				pinging = true
				go func() { pinged <- ping(ctx, conn) }()
			}
		case err = <-pinged:
			pinging = false
		}
		if err != nil {
			return
		}
	}
}

// ping sends a ping and waits for the answer.
func ping(ctx context.Context, conn *websocket.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return conn.Ping(ctx)
}

// writeNext encodes and writes the next message of an outbox, and reports how long that took.
func (l *Link) writeNext(ctx context.Context, conn *websocket.Conn, to string, o *outbox) error {
	m, ok := o.take()
	if !ok {
		return nil
	}
	taken := time.Now()
	b, err := l.encoder.EncodeMessage(m.message)
	if err != nil {
		return err
	}
	encoded := time.Now()
	writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := conn.Write(writeCtx, websocket.MessageBinary, b); err != nil {
		return err
	}
	l.observe(Sent{
		To: to, Message: m.message, Wait: taken.Sub(m.at), Encode: encoded.Sub(taken), Write: time.Since(encoded),
		Bytes: len(b), Queued: o.len(),
	})
	return nil
}
