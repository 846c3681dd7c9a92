// Package link carries messages between daemons as CBOR in WebSocket messages.
//
// Each daemon dials every daemon that it knows and sends on the connections that
// it dialled; what it accepts it only reads. When a connection opens, both sides
// prove that they hold the same key, by an HMAC over two nonces, and tell who
// they are.
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

// Path is where a daemon's link listener accepts connections.
const Path = "/link"

// The durations and sizes of links.
const (
	dialTimeout   = time.Second
	writeTimeout  = 3 * time.Second
	pingEvery     = 2 * time.Second
	pingTimeout   = 2 * time.Second
	minBackoff    = 100 * time.Millisecond
	maxBackoff    = time.Second
	ackTimeout    = 1500 * time.Millisecond // a peer that acknowledges nothing for so long is gone
	queueLength   = 8192                    // messages that wait for one peer; more are dropped
	maxMessage    = 256 << 20               // bytes
	handshakeSize = 1 << 20                 // bytes
)

// Post hands an event to the control loop. It never blocks.
type Post func(notch.Body)

// Link implements [notch.Link].
type Link struct {
	key     []byte
	post    Post
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	traffic func(bytes int) // counts bytes sent

	mu      sync.Mutex
	hello   notch.Hello
	peers   map[string]*peer // by name, once known
	dialled map[string]*peer // by address
	closed  bool
}

// peer is a daemon that is dialled.
type peer struct {
	address string
	queue   chan notch.Message
	stop    context.CancelFunc
	kick    chan struct{} // ends the pause before the next dial

	incarnation uint64             // of the daemon at the other end of the session
	hangUp      context.CancelFunc // ends the session; nil without one
}

// Option adjusts a new Link.
type Option func(*Link)

// WithCounter counts the bytes that are sent.
func WithCounter(count func(bytes int)) Option { return func(l *Link) { l.traffic = count } }

// New returns a link that opens its connections with hello. The key is shared by
// all daemons.
func New(key []byte, hello notch.Hello, post Post, opts ...Option) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		key: key, post: post, ctx: ctx, cancel: cancel, hello: hello, traffic: func(int) {},
		peers: map[string]*peer{}, dialled: map[string]*peer{},
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

func (l *Link) helloNow() notch.Hello {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hello
}

// Send implements [notch.Link].
func (l *Link) Send(to string, m notch.Message) {
	l.mu.Lock()
	p := l.peers[to]
	l.mu.Unlock()
	if p == nil {
		return
	}
	select {
	case p.queue <- m:
	default:
		// The peer is slow or gone; what matters is sent again.
	}
}

// Connect implements [notch.Link]. A daemon whose name isn't known yet is named
// by its address alone.
func (l *Link) Connect(d notch.Daemon) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || d.Address == "" || d.Address == l.hello.Daemon.Address {
		return
	}
	if old := l.peers[d.Name]; d.Name != "" && old != nil && old.address != d.Address {
		// The daemon has moved.
		old.stop()
		delete(l.dialled, old.address)
		delete(l.peers, d.Name)
	}
	if p := l.dialled[d.Address]; p != nil {
		if d.Name != "" {
			l.peers[d.Name] = p
		}
		return
	}
	ctx, stop := context.WithCancel(l.ctx)
	p := &peer{address: d.Address, queue: make(chan notch.Message, queueLength), stop: stop, kick: make(chan struct{}, 1)}
	l.dialled[d.Address] = p
	if d.Name != "" {
		l.peers[d.Name] = p
	}
	l.wg.Go(func() { l.keep(ctx, p) })
}

// keep dials p again and again until ctx ends.
func (l *Link) keep(ctx context.Context, p *peer) {
	wait := minBackoff
	for ctx.Err() == nil {
		opened := time.Now()
		name := l.session(ctx, p)
		if name != "" {
			l.post(notch.PeerDown{Name: name})
		}
		if time.Since(opened) > maxBackoff {
			wait = minBackoff
		}
		select {
		case <-ctx.Done():
		case <-p.kick:
			wait = minBackoff
		case <-time.After(wait):
		}
		wait = min(2*wait, maxBackoff)
	}
}

// session runs one connection. It returns the peer's name if it was up.
func (l *Link) session(ctx context.Context, p *peer) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, theirs, err := l.dial(ctx, p.address)
	if err != nil {
		return ""
	}
	defer conn.CloseNow()
	name := theirs.Daemon.Name
	l.mu.Lock()
	l.peers[name] = p
	p.incarnation, p.hangUp = theirs.Daemon.Incarnation, cancel
	l.mu.Unlock()
	defer l.over(p)
	l.post(notch.PeerUp{Hello: theirs})
	// Nothing is read on a dialled connection but pongs and the close.
	ctx = conn.CloseRead(ctx)
	l.write(ctx, conn, p)
	return name
}

func (l *Link) over(p *peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.hangUp = nil
}

// calledBy notes that a daemon has just dialled this one. If the session to it was with
// an earlier process, it is dead even if nothing has told so yet; if there is none, it
// can stand now.
func (l *Link) calledBy(d notch.Daemon) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[d.Name]
	if p == nil {
		return
	}
	if p.hangUp != nil && p.incarnation < d.Incarnation {
		p.hangUp()
	}
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// client dials with a bound on what stays unacknowledged: a host that has lost its
// power says nothing.
var client = &http.Client{Transport: &http.Transport{
	DialContext: (&net.Dialer{
		Timeout: dialTimeout, Control: boundAcks,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}).DialContext,
}}

func boundAcks(_, _ string, c syscall.RawConn) error {
	var err error
	cerr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if cerr != nil {
		return cerr
	}
	return err
}

func (l *Link) dial(ctx context.Context, address string) (*websocket.Conn, notch.Hello, error) {
	dctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(dctx, "ws://"+address+Path, &websocket.DialOptions{
		HTTPClient: client, CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, notch.Hello{}, errors.Wrap(err, "dial")
	}
	conn.SetReadLimit(handshakeSize)
	theirs, err := l.handshake(dctx, conn, dialler)
	if err != nil {
		conn.CloseNow()
		return nil, notch.Hello{}, err
	}
	return conn, theirs, nil
}

// write sends the queue and pings, until the connection breaks.
func (l *Link) write(ctx context.Context, conn *websocket.Conn, p *peer) {
	ping := time.NewTicker(pingEvery)
	defer ping.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case m := <-p.queue:
			err = l.writeOne(ctx, conn, m)
		case <-ping.C:
			pctx, cancel := context.WithTimeout(ctx, pingTimeout)
			err = conn.Ping(pctx)
			cancel()
		}
		if err != nil {
			return
		}
	}
}

func (l *Link) writeOne(ctx context.Context, conn *websocket.Conn, m notch.Message) error {
	b, err := wire.EncodeMessage(m)
	if err != nil {
		return err
	}
	l.traffic(len(b))
	wctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return conn.Write(wctx, websocket.MessageBinary, b)
}

// Handler accepts connections of other daemons.
func (l *Link) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
		if err != nil {
			return
		}
		defer conn.CloseNow()
		l.read(conn)
	})
}

// read hands on what an accepted connection brings.
func (l *Link) read(conn *websocket.Conn) {
	hctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	conn.SetReadLimit(handshakeSize)
	theirs, err := l.handshake(hctx, conn, acceptor)
	cancel()
	if err != nil {
		conn.Close(websocket.StatusPolicyViolation, err.Error())
		return
	}
	conn.SetReadLimit(maxMessage)
	// The other way is dialled from here, which is when the peer is up.
	l.Connect(theirs.Daemon)
	l.calledBy(theirs.Daemon)
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
		l.post(notch.MessageReceived{From: theirs.Daemon.Name, Message: m})
	}
}

// Probe asks the daemon at an address who it is.
func (l *Link) Probe(ctx context.Context, address string) (notch.Hello, error) {
	conn, theirs, err := l.dial(ctx, address)
	if err != nil {
		return notch.Hello{}, err
	}
	conn.Close(websocket.StatusNormalClosure, "")
	return theirs, nil
}

// Close implements [notch.Link]. It gives what is queued a moment to leave.
func (l *Link) Close() error {
	l.mu.Lock()
	l.closed = true
	var queues []chan notch.Message
	for _, p := range l.dialled {
		queues = append(queues, p.queue)
	}
	l.mu.Unlock()
	drain(queues)
	l.cancel()
	l.wg.Wait()
	return nil
}

// drainTime is how long Close waits for queued messages.
const drainTime = 200 * time.Millisecond

func drain(queues []chan notch.Message) {
	deadline := time.Now().Add(drainTime)
	for time.Now().Before(deadline) {
		left := 0
		for _, q := range queues {
			left += len(q)
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
