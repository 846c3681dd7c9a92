package outbound

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

// usualPerPeer is how many connections a peer has while its calls end soon: one for a call that it holds back,
// and one for others.
const usualPerPeer = 2

// defaultPatience is how long a call waits for one of these before another connection is opened, which takes
// about as long as a call.
const defaultPatience = 25 * time.Millisecond

// crowdedPatience is the same, in units of patience, if all connections that may be open are: another one costs a
// connection to another peer, which then has to be opened again.
const crowdedPatience = 12

// How long connections stay idle.
const (
	maxIdle             = 10 * time.Second       // until they are closed
	defaultMaxUnchecked = 300 * time.Millisecond // until it is checked whether the peer has closed them, before they are used
)

// pool holds the connections to all peers. At most maxOpen are open; when all are, the one that is idle for
// the longest makes room for another peer's.
type pool struct {
	maxOpen, maxPerPeer int
	patience            time.Duration // how long a call waits for one of usualPerPeer connections
	maxUnchecked        time.Duration // how long a connection may be idle and is used without a check
	dial                DialFunc
	open                *semaphore.Weighted // connections that are open or being opened

	mu      sync.Mutex
	peers   map[string]*peer
	idle    *list.List // of *peerConn, the longest idle first
	waiting int        // calls that wait for another connection to be closed
}

// peer is what the pool knows of one address.
type peer struct {
	calls *semaphore.Weighted // calls under way, each of which has a connection or is about to
	users int                 // calls under way or waiting
	open  int                 // connections, those being opened included
	idle  []*peerConn         // the latest used last
	freed chan struct{}       // holds a value if a connection became idle or was closed
}

func newPool(dial DialFunc, opts []Option) *pool {
	p := &pool{
		maxOpen: defaultMaxOpen, maxPerPeer: defaultPerPeer, patience: defaultPatience, maxUnchecked: defaultMaxUnchecked,
		dial: dial, peers: map[string]*peer{}, idle: list.New(),
	}
	for _, opt := range opts {
		opt(p)
	}
	p.open = semaphore.NewWeighted(int64(p.maxOpen))
	return p
}

// get returns a connection to an address, for the caller alone. It must be put back.
func (p *pool) get(address string, deadline time.Time) (*peerConn, error) {
	x := p.enter(address)
	if err := x.begin(deadline); err != nil {
		p.leave(address)
		return nil, err
	}
	conn, err := p.connect(x, address, deadline)
	if err != nil {
		x.calls.Release(1)
		p.leave(address)
		return nil, err
	}
	return conn, nil
}

// begin waits until a call may use one of the peer's connections.
func (x *peer) begin(deadline time.Time) error {
	if x.calls.TryAcquire(1) {
		return nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return errors.Wrap(x.calls.Acquire(ctx, 1), "wait for a connection to the peer")
}

// connect returns an idle connection that still works, or a new one.
func (p *pool) connect(x *peer, address string, deadline time.Time) (*peerConn, error) {
	if conn := p.reuse(x, deadline); conn != nil {
		return conn, nil
	}
	conn, err := p.openConn(address, deadline)
	if err != nil {
		p.forget(x)
		return nil, err
	}
	return conn, nil
}

// reuse returns an idle connection that still works. If the peer has all its usual connections, it waits for
// one for a moment. It returns nil if the caller has to open one, which is then counted.
func (p *pool) reuse(x *peer, deadline time.Time) *peerConn {
	var patient <-chan time.Time
	for waits := 0; ; {
		conn, mayOpen := p.takeIdle(x)
		switch {
		case conn != nil && (time.Since(conn.idleSince) < p.maxUnchecked || !closedByPeer(conn.Conn)):
			return conn
		case conn != nil:
			p.close(conn)
			p.forget(x)
			continue
		case mayOpen:
			return nil
		}
		if patient == nil {
			t := time.NewTimer(min(p.patience, time.Until(deadline)))
			defer t.Stop()
			patient = t.C
		}
		select {
		case <-x.freed:
		case <-patient:
			if waits++; waits < crowdedPatience && p.isFull() && time.Now().Before(deadline) {
				patient = nil
				continue
			}
			p.mu.Lock()
			x.open++
			p.mu.Unlock()
			return nil
		}
	}
}

// isFull reports whether as many connections are open as may be.
func (p *pool) isFull() bool {
	if p.open.TryAcquire(1) {
		p.open.Release(1)
		return false
	}
	return true
}

// forget counts the end of a connection to a peer.
func (p *pool) forget(x *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x.open--
	x.signal()
}

// signal lets one call that waits for a connection look again.
func (x *peer) signal() {
	select {
	case x.freed <- struct{}{}:
	default:
	}
}

// openConn opens a connection.
func (p *pool) openConn(address string, deadline time.Time) (*peerConn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := p.makeRoom(ctx); err != nil {
		return nil, err
	}
	dialCtx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	conn, err := p.dial(dialCtx, "tcp", address)
	if err != nil {
		p.open.Release(1)
		return nil, errors.Wrap(err, "connect")
	}
	return &peerConn{Conn: conn, address: address}, nil
}

// takeIdle removes the latest used idle connection of a peer from the pool. If there is none, it returns
// whether the caller may open one at once, and counts that.
func (p *pool) takeIdle(x *peer) (conn *peerConn, mayOpen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(x.idle) == 0 {
		if x.open < min(usualPerPeer, p.maxPerPeer) {
			x.open++
			return nil, true
		}
		return nil, false
	}
	conn = x.idle[len(x.idle)-1]
	p.remove(x, len(x.idle)-1)
	if len(x.idle) > 0 {
		x.signal()
	}
	return conn, false
}

// remove removes an idle connection from the pool. It needs p.mu.
func (p *pool) remove(x *peer, i int) {
	conn := x.idle[i]
	x.idle = append(x.idle[:i], x.idle[i+1:]...)
	p.idle.Remove(conn.element)
	conn.element = nil
}

// makeRoom makes room for one more connection: if all are open, it closes the longest idle one, or waits for
// one to be put back.
func (p *pool) makeRoom(ctx context.Context) error {
	p.mu.Lock()
	if p.open.TryAcquire(1) {
		p.mu.Unlock()
		return nil
	}
	if conn := p.takeOldest(time.Time{}); conn != nil {
		p.mu.Unlock()
		conn.Close() // whose room is taken over
		return nil
	}
	p.waiting++
	p.mu.Unlock()
	err := p.open.Acquire(ctx, 1)
	p.mu.Lock()
	p.waiting--
	p.mu.Unlock()
	return errors.Wrap(err, "wait for a connection to be closed")
}

// takeOldest removes the longest idle connection from the pool, if it has been idle since before the given
// time, which may be zero for any; nil if there is none. It needs p.mu.
func (p *pool) takeOldest(before time.Time) *peerConn {
	front := p.idle.Front()
	if front == nil {
		return nil
	}
	conn := front.Value.(*peerConn)
	if !before.IsZero() && !conn.idleSince.Before(before) {
		return nil
	}
	x := p.peers[conn.address]
	for i := range x.idle {
		if x.idle[i] == conn {
			p.remove(x, i)
			break
		}
	}
	x.open--
	p.forgetUnused(conn.address)
	return conn
}

// put takes a connection back after a call. It closes what has been idle for too long.
func (p *pool) put(conn *peerConn, reusable bool) {
	now := time.Now()
	p.mu.Lock()
	x := p.peers[conn.address]
	keep := reusable && p.waiting == 0
	if keep {
		conn.idleSince = now
		conn.element = p.idle.PushBack(conn)
		x.idle = append(x.idle, conn)
	} else {
		x.open--
	}
	x.signal()
	expired := p.takeOldest(now.Add(-maxIdle))
	p.mu.Unlock()
	if !keep {
		p.close(conn)
	}
	if expired != nil {
		p.close(expired)
	}
	x.calls.Release(1)
	p.leave(conn.address)
}

// close closes a connection that isn't in the pool.
func (p *pool) close(conn *peerConn) {
	conn.Close()
	p.open.Release(1)
}

// enter counts a call to an address.
func (p *pool) enter(address string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.peers[address]
	if x == nil {
		x = &peer{calls: semaphore.NewWeighted(int64(p.maxPerPeer)), freed: make(chan struct{}, 1)}
		p.peers[address] = x
	}
	x.users++
	return x
}

// leave counts the end of a call to an address.
func (p *pool) leave(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers[address].users--
	p.forgetUnused(address)
}

// forgetUnused forgets an address without calls and connections. It needs p.mu.
func (p *pool) forgetUnused(address string) {
	if x := p.peers[address]; x != nil && x.users == 0 && len(x.idle) == 0 {
		delete(p.peers, address)
	}
}

// closeIdle closes the connections that no call uses.
func (p *pool) closeIdle() {
	for {
		p.mu.Lock()
		conn := p.takeOldest(time.Time{})
		p.mu.Unlock()
		if conn == nil {
			return
		}
		p.close(conn)
	}
}
