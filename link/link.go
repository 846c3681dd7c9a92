// Package link carries messages between daemons as CBOR in WebSocket messages.
//
// Each daemon dials every daemon that it knows. It sends messages only on the
// connections that it dialled, and reads messages only from the connections that it
// accepted. Replicas open a second connection to one another for the messages by which they
// keep contact, so that none of them waits until a large message is written. When a connection opens, each side sends a Hello and proves by an HMAC
// over two nonces that it holds the shared key.
package link

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	notch "tamaracknotch"
	"tamaracknotch/wire"
)

// Path is the HTTP path at which a daemon accepts connections of other daemons.
const Path = "/link"

// The timeouts and limits of a link.
const (
	dialTimeout      = time.Second
	writeTimeout     = 3 * time.Second
	pingInterval     = 2 * time.Second
	pingTimeout      = 2 * time.Second
	minBackoff       = 100 * time.Millisecond
	maxBackoff       = time.Second
	tcpUserTimeout   = 1500 * time.Millisecond // sent data unacknowledged for longer closes the connection
	queueLength      = 8192                    // messages in one outbox; further ones are dropped
	maxMessageSize   = 256 << 20               // bytes
	maxHandshakeSize = 1 << 20                 // bytes
)

// Post queues an event for the control loop. It must not block.
type Post func(notch.Body)

// Link implements [notch.Link].
type Link struct {
	key     []byte
	post    Post
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	observe func(Sent) // called with each message sent

	mu             sync.Mutex
	hello          notch.Hello
	peersByName    map[string]*peer // without peers whose name isn't known yet
	peersByAddress map[string]*peer
	closed         bool
}

// peer is a daemon that this daemon dials.
type peer struct {
	address string
	outbox  *outbox
	stop    context.CancelFunc
	redial  chan struct{} // ends the wait before the next dial

	incarnation uint64             // of the daemon at the other end of the session
	session     context.Context    // ends with the session; nil if there is none
	endSession  context.CancelFunc // ends the session; nil if there is none
	express     *express           // of the session; nil until it is needed
}

// Option adjusts a new Link.
type Option func(*Link)

// New returns a link that sends hello when a connection opens. All daemons share the
// key.
func New(key []byte, hello notch.Hello, post Post, opts ...Option) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		key: key, post: post, ctx: ctx, cancel: cancel, hello: hello, observe: func(Sent) {},
		peersByName: map[string]*peer{}, peersByAddress: map[string]*peer{},
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// SetHello implements [notch.Link].
func (l *Link) SetHello(h notch.Hello) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hello = h
}

// helloNow returns the hello to send.
func (l *Link) helloNow() notch.Hello {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hello
}

// Send implements [notch.Link].
func (l *Link) Send(to string, m notch.Message) {
	l.mu.Lock()
	p := l.peersByName[to]
	l.mu.Unlock()
	if p == nil {
		return
	}
	if notch.KeepsContact(m) {
		if o := l.expressOutbox(p); o != nil {
			o.put(m)
			return
		}
	}
	// If the outbox is full, the peer is slow or unreachable. The message is dropped then; the
	// parts send important messages again.
	p.outbox.put(m)
}

// Connect implements [notch.Link]. A daemon whose name isn't known yet has only an
// address in d.
func (l *Link) Connect(d notch.Daemon) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || d.Address == "" || d.Address == l.hello.Daemon.Address {
		return
	}
	if old := l.peersByName[d.Name]; d.Name != "" && old != nil && old.address != d.Address {
		// The daemon has a new address.
		old.stop()
		delete(l.peersByAddress, old.address)
		delete(l.peersByName, d.Name)
	}
	if p := l.peersByAddress[d.Address]; p != nil {
		if d.Name != "" {
			l.peersByName[d.Name] = p
		}
		return
	}
	ctx, stop := context.WithCancel(l.ctx)
	p := &peer{address: d.Address, outbox: newOutbox(), stop: stop, redial: make(chan struct{}, 1)}
	l.peersByAddress[d.Address] = p
	if d.Name != "" {
		l.peersByName[d.Name] = p
	}
	l.wg.Go(func() { l.dialLoop(ctx, p) })
}

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
	conn, hello, err := l.dial(ctx, p.address)
	if err != nil {
		return ""
	}
	defer conn.CloseNow()
	name := hello.Daemon.Name
	l.mu.Lock()
	l.peersByName[name] = p
	p.incarnation, p.session, p.endSession = hello.Daemon.Incarnation, ctx, cancel
	l.mu.Unlock()
	defer l.sessionEnded(p)
	l.post(notch.PeerUp{Hello: hello})
	// The peer sends no messages on this connection; CloseRead handles pongs and the
	// close frame.
	ctx = conn.CloseRead(ctx)
	l.writeLoop(ctx, conn, p.address, p.outbox)
	return name
}

func (l *Link) sessionEnded(p *peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.session, p.endSession, p.express = nil, nil, nil
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

// dial opens a connection and carries out the handshake. It returns the other side's
// hello.
func (l *Link) dial(ctx context.Context, address string) (*websocket.Conn, notch.Hello, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(dialCtx, "ws://"+address+Path, &websocket.DialOptions{
		HTTPClient: client, CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, notch.Hello{}, errors.Wrap(err, "dial")
	}
	conn.SetReadLimit(maxHandshakeSize)
	hello, err := l.handshake(dialCtx, conn, dialler)
	if err != nil {
		conn.CloseNow()
		return nil, notch.Hello{}, err
	}
	return conn, hello, nil
}

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
	b, err := wire.EncodeMessage(m.message)
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

// Handler returns the HTTP handler that accepts connections of other daemons.
func (l *Link) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
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
	hello, err := l.handshake(handshakeCtx, conn, acceptor)
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

// Close implements [notch.Link]. It waits up to drainTimeout until the queued
// messages are sent.
func (l *Link) Close() error {
	l.mu.Lock()
	l.closed = true
	var outboxes []*outbox
	for _, p := range l.peersByAddress {
		outboxes = append(outboxes, p.outbox)
	}
	l.mu.Unlock()
	drain(outboxes)
	l.cancel()
	l.wg.Wait()
	return nil
}

// drainTimeout is the longest wait of Close for queued messages.
const drainTimeout = 200 * time.Millisecond

// drain waits until all outboxes are empty, at most for drainTimeout.
func drain(outboxes []*outbox) {
	deadline := time.Now().Add(drainTimeout)
	for time.Now().Before(deadline) {
		left := 0
		for _, o := range outboxes {
			left += o.len()
		}
		if left == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// IsLoopback reports whether a listening address is on the loopback interface.
func IsLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
