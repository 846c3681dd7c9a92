package link

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	notch "tamaracknotch"
)

// dialLoop keeps a session with p until ctx ends. It waits between dials and doubles
// the wait up to maxBackoff.
func (l *Link) dialLoop(ctx context.Context, p *peer) {
	backoff := minBackoff
	for ctx.Err() == nil {
		dialledAt := time.Now()
		name := l.runSession(ctx, p)
		if name != "" {
			l.post(notch.PeerDown{Name: name})
		}
		if time.Since(dialledAt) > maxBackoff {
			backoff = minBackoff
		}
		select {
		case <-ctx.Done():
		case <-p.redial:
			backoff = minBackoff
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// runSession dials p and sends messages until the connection ends. It returns the
// peer's name; empty if no connection was established.
func (l *Link) runSession(ctx context.Context, p *peer) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := l.helloNow()
	conn, hello, err := l.dial(ctx, p.address, sent)
	if err != nil {
		return ""
	}
	defer conn.CloseNow()
	name := hello.Daemon.Name
	l.sessionBegan(p, hello, sent, ctx, cancel)
	defer l.sessionEnded(p)
	l.post(notch.PeerUp{Hello: hello})
	// The peer sends no messages on this connection; CloseRead handles pongs and the
	// close frame.
	ctx = conn.CloseRead(ctx)
	l.writeLoop(ctx, conn, p.address, p.outbox)
	return name
}

// sessionBegan records a session with p, which got the hello sent, and tells it what has changed in
// the hello since.
func (l *Link) sessionBegan(p *peer, received, sent notch.Hello, ctx context.Context, cancel context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peersByName[received.Daemon.Name] = p
	p.incarnation, p.session, p.endSession = received.Daemon.Incarnation, ctx, cancel
	p.told = map[string]notch.Daemon{}
	for _, d := range sent.Known {
		p.told[d.Name] = d
	}
	l.tellNews(p)
}

func (l *Link) sessionEnded(p *peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.session, p.endSession, p.contact, p.told = nil, nil, nil, nil
}

// client dials with a bound on the time that sent data may stay unacknowledged,
// because a host that has lost its power doesn't close its connections.
var client = &http.Client{Transport: &http.Transport{
	DialContext: (&net.Dialer{
		Timeout: dialTimeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}).DialContext,
}}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// dial opens a connection and carries out the handshake, in which it sends own. It returns
// the other side's hello.
func (l *Link) dial(ctx context.Context, address string, own notch.Hello) (*websocket.Conn, notch.Hello, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(dialCtx, "ws://"+address+Path, &websocket.DialOptions{
		HTTPClient: client, CompressionMode: websocket.CompressionNoContextTakeover, CompressionThreshold: compressionThreshold,
	})
	if err != nil {
		return nil, notch.Hello{}, errors.Wrap(err, "dial")
	}
	conn.SetReadLimit(maxHandshakeSize)
	hello, err := l.handshake(dialCtx, conn, dialler, own)
	if err != nil {
		conn.CloseNow()
		return nil, notch.Hello{}, err
	}
	return conn, hello, nil
}
