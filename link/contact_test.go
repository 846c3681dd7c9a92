package link

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	notch "tamaracknotch"
)

// stallingProxy forwards connections to an address. While the first one is stalled, it forwards
// no more data of one side.
type stallingProxy struct {
	net.Listener
	stalled side          // the side whose data stalls
	stall   chan struct{} // closed: the first connection stalls
	end     chan struct{} // closed: the stall ends
	bytes   atomic.Int64  // number that were forwarded, in both directions
}

func newStallingProxy(t *testing.T, to string, stalled side) *stallingProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &stallingProxy{Listener: listener, stalled: stalled, stall: make(chan struct{}), end: make(chan struct{})}
	go func() {
		for first := true; ; first = false {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn, to, first)
		}
	}()
	return p
}

func (p *stallingProxy) forward(conn net.Conn, to string, mayStall bool) {
	defer conn.Close()
	target, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer target.Close()
	go p.copy(conn, target, mayStall && p.stalled == acceptor)
	p.copy(target, conn, mayStall && p.stalled == dialler)
}

func (p *stallingProxy) copy(to io.Writer, from io.Reader, mayStall bool) {
	b := make([]byte, 1024)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		if mayStall && isClosed(p.stall) {
			<-p.end
		}
		p.bytes.Add(int64(n))
		to.Write(b[:n])
	}
}

func isClosed(ch chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// proxiedLink is a link from the daemon a to the daemon b through a proxy.
type proxiedLink struct {
	*stallingProxy
	sender   *Link
	received chan notch.Message // at b
	lost     chan struct{}      // receives a value when the sender's session ends
}

// newProxiedLink returns a link that is established, and stalls in one direction from then on.
func newProxiedLink(t *testing.T, stalled side) proxiedLink {
	received := make(chan notch.Message, 100)
	receiver := New([]byte("k"), notch.Hello{Daemon: notch.Daemon{Name: "b"}}, func(b notch.Body) {
		if m, ok := b.(notch.MessageReceived); ok {
			received <- m.Message
		}
	})
	t.Cleanup(func() { receiver.Close() })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: receiver.Handler()}
	t.Cleanup(func() { server.Close() })
	go server.Serve(listener)
	proxy := newStallingProxy(t, listener.Addr().String(), stalled)
	t.Cleanup(func() { proxy.Close() })
	linked, lost := make(chan struct{}, 100), make(chan struct{}, 100)
	sender := New([]byte("k"), notch.Hello{Daemon: notch.Daemon{Name: "a"}}, func(b notch.Body) {
		switch b.(type) {
		case notch.PeerUp:
			linked <- struct{}{}
		case notch.PeerDown:
			lost <- struct{}{}
		}
	})
	t.Cleanup(func() { sender.Close() })
	sender.Connect(notch.Daemon{Name: "b", Address: proxy.Addr().String()})
	<-linked
	close(proxy.stall)
	t.Cleanup(func() { close(proxy.end) })
	return proxiedLink{stallingProxy: proxy, sender: sender, received: received, lost: lost}
}

// Guards against replicas that lose contact while a large message is written: it took 400 ms for a
// document of 630 KB, and the answers to heartbeats waited for its end.
func TestContactDoesNotWaitForLargeMessage(t *testing.T) {
	t.Parallel()
	large := largeMessage() // before the stall: a session that sends no answer to a ping ends
	l := newProxiedLink(t, dialler)
	l.sender.Send("b", large)
	// The first answers are sent before the contact connection is up, and wait. The attempts are
	// counted, as time in which a busy machine doesn't run the test says nothing about the link.
	const interval = 10 * time.Millisecond
	for range (writeTimeout - time.Second) / interval {
		l.sender.Send("b", notch.AppendReply{Term: 2, OK: true})
		select {
		case m := <-l.received:
			if got, ok := m.(notch.AppendReply); !ok || got.Term != 2 {
				t.Errorf("got %+v, want the answer", m)
			}
			return
		case <-time.After(interval):
		}
	}
	t.Fatal("got no answer, want one while the large message is written")
}

// largeMessage is a message whose writing takes longer than a stalled connection lasts.
var largeMessage = sync.OnceValue(func() notch.Message {
	return notch.Outcome{Result: notch.TablesResult{Tables: notch.Tables{Document: incompressible(64 << 20)}}}
})

// incompressible returns n random letters, which compression leaves at more than half of the size.
func incompressible(n int) string {
	const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/"
	r := rand.New(rand.NewPCG(1, 2))
	b := make([]byte, n)
	for i := range b {
		b[i] = letters[r.Uint32()%uint32(len(letters))]
	}
	return string(b)
}

// Guards against replicas that keep contact only once the connection with a large message has
// failed, and the next session sends what waited.
func TestContactDoesNotWaitForNextSession(t *testing.T) {
	t.Parallel()
	large := largeMessage() // before the stall: a session that sends no answer to a ping ends
	l := newProxiedLink(t, dialler)
	l.sender.Send("b", large)
	for {
		l.sender.Send("b", notch.AppendReply{Term: 2, OK: true})
		select {
		case <-l.received:
			return
		case <-l.lost:
			t.Fatal("got no answer before the session ended, want one while the large message is written")
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Guards against messages that wait for the answer to a ping, which a busy peer sends late.
func TestMessagesDontWaitForPing(t *testing.T) {
	t.Parallel()
	l := newProxiedLink(t, acceptor)
	time.Sleep(pingInterval + pingTimeout/8)
	l.sender.Send("b", notch.Outcome{Ticket: 7, Result: notch.Done{}})
	select {
	case m := <-l.received:
		if got, ok := m.(notch.Outcome); !ok || got.Ticket != 7 {
			t.Errorf("got %+v, want the result", m)
		}
	case <-time.After(pingTimeout / 2):
		t.Error("got no message, want one while the answer to the ping is missing")
	}
}
