package link

import (
	"context"
	"net/http"

	"github.com/coder/websocket"

	notch "tamaracknotch"
	"tamaracknotch/wire"
)

// Handler returns the HTTP handler that accepts connections of other daemons.
func (l *Link) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{
			CompressionMode: websocket.CompressionNoContextTakeover, CompressionThreshold: compressionThreshold,
		})
		if err != nil {
			return
		}
		defer conn.CloseNow()
		l.serve(conn)
	})
}

// serve carries out the handshake on an accepted connection and posts the messages
// that arrive.
func (l *Link) serve(conn *websocket.Conn) {
	handshakeCtx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	conn.SetReadLimit(maxHandshakeSize)
	hello, err := l.handshake(handshakeCtx, conn, acceptor, l.helloNow())
	cancel()
	if err != nil {
		conn.Close(websocket.StatusPolicyViolation, err.Error())
		return
	}
	conn.SetReadLimit(maxMessageSize)
	// Messages to the peer need a connection that this daemon dials. The peer is up
	// when that connection is established.
	l.Connect(hello.Daemon)
	l.onAccepted(hello.Daemon)
	if len(hello.Known) > 0 {
		l.post(notch.MessageReceived{From: hello.Daemon.Name, Message: hello})
	}
	for {
		_, b, err := conn.Read(l.ctx)
		if err != nil {
			return
		}
		m, err := wire.DecodeMessage(b)
		if err != nil {
			conn.Close(websocket.StatusUnsupportedData, "message not understood")
			return
		}
		l.post(notch.MessageReceived{From: hello.Daemon.Name, Message: m})
	}
}

// onAccepted is called when daemon d has dialled this daemon. A session with an earlier
// process of d ends at once, as that process is gone even if the connection hasn't
// failed yet. If there is no session, the wait before the next dial ends, as d can be
// reached now.
func (l *Link) onAccepted(d notch.Daemon) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peersByName[d.Name]
	if p == nil {
		return
	}
	if p.endSession != nil && p.incarnation < d.Incarnation {
		p.endSession()
	}
	select {
	case p.redial <- struct{}{}:
	default:
	}
}
