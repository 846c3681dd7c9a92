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
	link    *link.Link
	events  chan notch.Body
	peers   chan string // names of the daemons to which a link was established
	servers chan string // name of the first backend server, at each change of them
}

// newLinkedDaemon returns a daemon that handles its events once start is closed.
func newLinkedDaemon(t *testing.T, name string, replica bool, start <-chan struct{}) *linkedDaemon {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &linkedDaemon{
		Daemon: notch.Daemon{Name: name, Address: listener.Addr().String(), Incarnation: 1, Replica: replica},
		events: make(chan notch.Body, 100), peers: make(chan string, 100), servers: make(chan string, 100),
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
		for _, body := range []notch.Body{b, notch.Flush{}} {
			var effects []notch.Effect
			state, effects = notch.Step(state, notch.Event{At: notch.TimeOf(time.Now()), Body: body})
			d.execute(effects)
		}
		if up, ok := b.(notch.PeerUp); ok {
			d.peers <- up.Hello.Daemon.Name
		}
	}
}

func (d *linkedDaemon) execute(effects []notch.Effect) {
	for _, f := range effects {
		switch f := f.(type) {
		case notch.Connect:
			d.link.Connect(f.Daemon)
		case notch.SetHello:
			d.link.SetHello(f.Hello)
		case notch.Send:
			d.link.Send(f.To, f.Message)
		case notch.ToLanes:
			if c, ok := f.Body.(notch.ServersChanged); ok && len(c.Servers) > 0 {
				d.servers <- c.Servers[0].Name
			}
		}
	}
}

// Guards against daemons that start together and never learn of a replica, because each got the list of
// another one before that knew it: announcements don't reach them. The entries have no link to each other.
func TestDaemonsThatStartTogetherLearnOfEachOther(t *testing.T) {
	t.Parallel()
	now := make(chan struct{})
	close(now)
	later := make(chan struct{})
	first, second := newLinkedDaemon(t, "a", true, later), newLinkedDaemon(t, "b", true, now)
	entries := []*linkedDaemon{newLinkedDaemon(t, "e", false, now), newLinkedDaemon(t, "f", false, now)}
	for _, d := range append(entries, second) {
		d.link.Connect(notch.Daemon{Address: first.Address})
	}
	for _, d := range append(entries, second) {
		if got := <-d.peers; got != "a" {
			t.Fatalf("%s: got a link to %s, want one to a", d.Name, got)
		}
	}
	close(later) // the handshakes of all are over when the replica handles the first of them
	for _, e := range entries {
		select {
		case got := <-e.peers:
			if got != "b" {
				t.Errorf("%s: got a link to %s, want one to the other replica", e.Name, got)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("%s: got no link to the other replica, want one", e.Name)
		}
	}
	entries[0].events <- notch.ServerAnnounced{Server: notch.BackendServer{Name: "s", Incarnation: 1, Address: "s"}}
	select {
	case got := <-entries[1].servers:
		if got != "s" {
			t.Errorf("got backend server %s, want s", got)
		}
	case <-time.After(5 * time.Second):
		t.Error("got no backend server at f, want the one that announced itself to e")
	}
	if len(entries[0].peers)+len(entries[1].peers) > 0 {
		t.Error("got a link between the entries, want none")
	}
}
