package link

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	notch "tamaracknotch"
)

// stallingProxy forwards connections to an address. While the first one is stalled, it reads no
// more data from the dialler.
type stallingProxy struct {
	net.Listener
	stall chan struct{} // closed: the first connection stalls
	end   chan struct{} // closed: the stall ends
}

func newStallingProxy(t *testing.T, to string) *stallingProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &stallingProxy{Listener: listener, stall: make(chan struct{}), end: make(chan struct{})}
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
	go io.Copy(conn, target)
	b := make([]byte, 1024)
	for {
		n, err := conn.Read(b)
		if err != nil {
			return
		}
		if mayStall && isClosed(p.stall) {
			<-p.end
		}
		target.Write(b[:n])
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

// Guards against replicas that lose contact while a large message is written: it took 400 ms for a
// document of 630 KB, and the answers to heartbeats waited for its end.
func TestContactDoesNotWaitForLargeMessage(t *testing.T) {
	received := make(chan notch.Message, 100)
	receiver := New([]byte("k"), notch.Hello{Daemon: notch.Daemon{Name: "b"}}, func(b notch.Body) {
		if m, ok := b.(notch.MessageReceived); ok {
			received <- m.Message
		}
	})
	defer receiver.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: receiver.Handler()}
	defer server.Close()
	go server.Serve(listener)
	proxy := newStallingProxy(t, listener.Addr().String())
	defer proxy.Close()
	linked := make(chan struct{}, 1)
	sender := New([]byte("k"), notch.Hello{Daemon: notch.Daemon{Name: "a"}}, func(b notch.Body) {
		if _, ok := b.(notch.PeerUp); ok {
			linked <- struct{}{}
		}
	})
	defer sender.Close()
	sender.Connect(notch.Daemon{Name: "b", Address: proxy.Addr().String()})
	<-linked
	close(proxy.stall)
	defer close(proxy.end)
	sender.Send("b", notch.Outcome{Result: notch.TablesResult{Tables: notch.Tables{Document: string(make([]byte, 32<<20))}}})
	// The first answers are sent before the second connection is there, and wait.
	for deadline := time.After(writeTimeout - time.Second); ; {
		sender.Send("b", notch.AppendReply{Term: 2, OK: true})
		select {
		case m := <-received:
			if got, ok := m.(notch.AppendReply); !ok || got.Term != 2 {
				t.Errorf("got %+v, want the answer", m)
			}
			return
		case <-deadline:
			t.Fatal("got no answer, want one while the large message is written")
		case <-time.After(10 * time.Millisecond):
		}
	}
}
