package link_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/link"
	"tamaracknotch/member"
)

// linkedDaemon is a daemon that has a link and the part that keeps track of other daemons.
type linkedDaemon struct {
	notch.Daemon
	link   *link.Link
	events chan notch.Body
	peers  chan string // names of the daemons to which a link was established
}

// newLinkedDaemon returns a daemon that handles its events once start is closed.
func newLinkedDaemon(t *testing.T, name string, replica bool, start <-chan struct{}) *linkedDaemon {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &linkedDaemon{
		Daemon: notch.Daemon{Name: name, Address: listener.Addr().String(), Incarnation: 1, Replica: replica},
		events: make(chan notch.Body, 100), peers: make(chan string, 100),
	}
	d.link = link.New([]byte("k"), notch.Hello{Daemon: d.Daemon, Cluster: 1}, func(b notch.Body) { d.events <- b })
	t.Cleanup(func() { d.link.Close() })
	server := &http.Server{Handler: d.link.Handler()}
	t.Cleanup(func() { server.Close() })
	go server.Serve(listener)
	go d.run(start)
	return d
}

func (d *linkedDaemon) run(start <-chan struct{}) {
	<-start
	state := notch.NewState(member.New(d.Daemon, 0, 1))
	for b := range d.events {
		var effects []notch.Effect
		state, effects = notch.Step(state, notch.Event{At: notch.TimeOf(time.Now()), Body: b})
		for _, f := range effects {
			switch f := f.(type) {
			case notch.Connect:
				d.link.Connect(f.Daemon)
			case notch.SetHello:
				d.link.SetHello(f.Hello)
			case notch.Send:
				d.link.Send(f.To, f.Message)
			}
		}
		if up, ok := b.(notch.PeerUp); ok {
			d.peers <- up.Hello.Daemon.Name
		}
	}
}

// Guards against daemons that start together and never learn of each other, because each got the
// list of the replica before the replica knew the other one: announcements don't reach them.
func TestDaemonsThatStartTogetherLearnOfEachOther(t *testing.T) {
	t.Parallel()
	now := make(chan struct{})
	close(now)
	later := make(chan struct{})
	replica := newLinkedDaemon(t, "a", true, later)
	entries := []*linkedDaemon{newLinkedDaemon(t, "e", false, now), newLinkedDaemon(t, "f", false, now)}
	for _, e := range entries {
		e.link.Connect(notch.Daemon{Address: replica.Address})
	}
	for _, e := range entries {
		if got := <-e.peers; got != "a" {
			t.Fatalf("%s: got a link to %s, want one to a", e.Name, got)
		}
	}
	close(later) // the handshakes of both are over when the replica handles the first of them
	for _, e := range entries {
		select {
		case got := <-e.peers:
			if got != "e" && got != "f" {
				t.Errorf("%s: got a link to %s, want one to the other entry", e.Name, got)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("%s: got no link to the other entry, want one", e.Name)
		}
	}
}
