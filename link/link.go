// Package link carries messages between daemons as CBOR in WebSocket messages.
//
// Each daemon dials every daemon that it knows. It sends messages only on the
// connections that it dialled, and reads messages only from the connections that it
// accepted. Replicas open a second connection to one another for the messages by which they
// keep contact, so that none of them waits until a large message is written. When a
// connection opens, each side sends a Hello and proves by an HMAC over two nonces that it
// holds the shared key.
package link

import (
	"context"
	"net"
	"sync"
	"time"

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

// compressionThreshold is the size in bytes from which messages are compressed: snapshots, entries
// and results with whole tables. A daemon that doesn't negotiate compression gets them as they are.
const compressionThreshold = 128 << 10

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
	encoder *wire.Encoder

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
	stopped chan struct{} // closed when the peer isn't dialled any more and the end of its session is posted
	redial  chan struct{} // ends the wait before the next dial

	incarnation uint64                  // of the daemon at the other end of the session
	session     context.Context         // ends with the session; nil if there is none
	endSession  context.CancelFunc      // ends the session; nil if there is none
	contact     *contactConn            // of the session; nil until it is needed
	told        map[string]notch.Daemon // daemons that the peer was told of in this session, by name
}

// Option adjusts a new Link.
type Option func(*Link)

// New returns a link that sends hello when a connection opens. All daemons share the
// key.
func New(key []byte, hello notch.Hello, post Post, opts ...Option) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		key: key, post: post, ctx: ctx, cancel: cancel, hello: hello, observe: func(Sent) {}, encoder: wire.NewEncoder(),
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
	for _, p := range l.peersByAddress {
		if p.session != nil {
			l.tellNews(p)
		}
	}
}

// tellNews sends a peer with a session those daemons in the hello that it wasn't told of. It needs
// l.mu.
func (l *Link) tellNews(p *peer) {
	news := l.hello
	news.Known = nil
	for _, d := range l.hello.Known {
		if p.told[d.Name] != d && d.Address != p.address {
			p.told[d.Name] = d
			news.Known = append(news.Known, d)
		}
	}
	if len(news.Known) > 0 {
		p.outbox.put(news)
	}
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
		if o := l.contactOutbox(p); o != nil {
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
	old := l.peersByName[d.Name]
	moved := d.Name != "" && old != nil && old.address != d.Address
	if moved {
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
	p := &peer{address: d.Address, outbox: newOutbox(), stop: stop, stopped: make(chan struct{}), redial: make(chan struct{}, 1)}
	l.peersByAddress[d.Address] = p
	if d.Name != "" {
		l.peersByName[d.Name] = p
	}
	l.wg.Go(func() {
		defer close(p.stopped)
		if moved {
			// The end of the former session is posted before the next one begins.
			<-old.stopped
		}
		l.dialLoop(ctx, p)
	})
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
