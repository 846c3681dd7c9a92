// Package member keeps track of the other daemons and of the backend servers. Both
// are soft state. When a link opens, the two daemons exchange the lists of daemons that
// they know. A backend server that stops announcing itself is removed when its
// announcement expires.
package member

import (
	"slices"
	"strings"
	"time"

	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// Timing holds the durations of the soft state.
type Timing struct {
	TTL           time.Duration // an announcement expires after this time
	RenewInterval time.Duration // between two renewals of an unchanged announcement to other daemons
	ForgetAfter   time.Duration // an unreachable daemon is removed after this time
}

// DefaultTiming is for backend servers that announce themselves every second.
var DefaultTiming = Timing{TTL: 5 * time.Second, RenewInterval: 1500 * time.Millisecond, ForgetAfter: time.Hour}

// peer is the state of another daemon.
type peer struct {
	daemon     notch.Daemon
	up         bool
	lastSeenAt notch.Time // time of its last Hello, of the loss of its link, or of a peer's Hello that changed it
}

// serverState is the latest announcement of a backend server.
type serverState struct {
	server    notch.BackendServer
	expiresAt notch.Time
	sentAt    notch.Time // when this daemon last announced it to its peers; zero: never
}

// Part holds the daemons and backend servers that one daemon knows.
type Part struct {
	self            notch.Daemon
	storage         uint64
	cluster         uint64
	timing          Timing
	peers           *immutable.SortedMap[string, peer]
	servers         *immutable.SortedMap[string, serverState] // by name
	pendingFull     []string                                  // names to announce in full at the next flush
	pendingRenewals []string                                  // names to renew by their identity at the next flush
	serversChanged  bool                                      // since the last flush
}

// Option adjusts a new Part.
type Option func(*Part)

// WithTiming replaces DefaultTiming.
func WithTiming(t Timing) Option { return func(p *Part) { p.timing = t } }

// New returns the part for the daemon self. Storage is zero if the daemon has no data
// folder, and cluster is zero if it doesn't belong to a cluster yet.
func New(self notch.Daemon, storage, cluster uint64, opts ...Option) Part {
	p := Part{
		self: self, storage: storage, cluster: cluster, timing: DefaultTiming,
		peers:   immutable.NewSortedMap[string, peer](nil),
		servers: immutable.NewSortedMap[string, serverState](nil),
	}
	for _, opt := range opts {
		opt(&p)
	}
	return p
}

// Hello returns the message with which the daemon opens its links. It lists the replicas, to which
// every daemon opens a link: if all listed all, the lists at the start of a cluster would grow with
// the square of the daemons.
func (p Part) Hello() notch.Hello {
	h := notch.Hello{Daemon: p.self, Storage: p.storage, Cluster: p.cluster}
	for it := p.peers.Iterator(); !it.Done(); {
		_, q, _ := it.Next()
		if q.daemon.Replica {
			h.Known = append(h.Known, q.daemon)
		}
	}
	return h
}

// Step implements [notch.Part].
func (p Part) Step(e notch.Event) (notch.Part, []notch.Effect) {
	switch b := e.Body.(type) {
	case notch.PeerUp:
		return p.peerUp(e.At, b.Hello)
	case notch.PeerDown:
		return p.peerDown(e.At, b.Name)
	case notch.ServerAnnounced:
		return p.onAnnounced(e.At, b.Server), nil
	case notch.MessageReceived:
		return p.receive(e.At, b)
	case notch.Tick:
		return p.tick(e.At), nil
	case notch.Flush:
		if p.hasPending() {
			return p.flush(e.At)
		}
	}
	return nil, nil
}

func (p Part) receive(now notch.Time, b notch.MessageReceived) (notch.Part, []notch.Effect) {
	switch m := b.Message.(type) {
	case notch.Hello:
		return p.mergeHello(now, m)
	case notch.Announcements:
		next, out := p.mergeAnnouncements(now, m).applyRenewals(now, b.From, m)
		return next, append(out, p.relay(b.From, m)...)
	case notch.AnnouncementRequest:
		return p.onAnnouncementRequest(m), nil
	}
	return nil, nil
}

// mergeHello records the daemons that another daemon knows. That daemon itself is recorded once a link
// to it is established.
func (p Part) mergeHello(now notch.Time, h notch.Hello) (Part, []notch.Effect) {
	next, out := p.mergeDaemons(now, h.Known)
	return next, append(out, notch.SetHello{Hello: next.Hello()})
}

func (p Part) peerUp(now notch.Time, h notch.Hello) (Part, []notch.Effect) {
	if h.Daemon.Name == p.self.Name {
		return p, nil
	}
	var out []notch.Effect
	old, known := p.peers.Get(h.Daemon.Name)
	if known && old.daemon.Incarnation > h.Daemon.Incarnation {
		return p, nil
	}
	p.peers = p.peers.Set(h.Daemon.Name, peer{daemon: h.Daemon, up: true, lastSeenAt: now})
	p, out = p.mergeDaemons(now, append([]notch.Daemon{h.Daemon}, h.Known...))
	if h.Storage != 0 {
		out = append(out, notch.Emit{Body: notch.ReplicaLinked{Replica: notch.Replica{Name: h.Daemon.Name, Storage: h.Storage}}})
	}
	if !known || old.daemon != h.Daemon {
		out = append(out, notch.LogMessage{Text: "daemon joined", Fields: []notch.LogField{{Name: "daemon", Value: h.Daemon.Name}}})
	}
	if !known || !old.up {
		p = p.queueAll()
	}
	if p.cluster == 0 && h.Cluster != 0 {
		p.cluster = h.Cluster
		out = append(out, notch.SetCluster{Cluster: h.Cluster})
	}
	return p, append(out, notch.SetHello{Hello: p.Hello()})
}

// mergeDaemons records the daemons in ds and asks for a link to each of them. It skips
// those of an older incarnation than the one it knows, and between daemons that aren't replicas
// there are no links: their number would grow with the square of the daemons.
func (p Part) mergeDaemons(now notch.Time, ds []notch.Daemon) (Part, []notch.Effect) {
	var out []notch.Effect
	for _, d := range ds {
		if d.Name == p.self.Name || !d.Replica && !p.self.Replica {
			continue
		}
		old, known := p.peers.Get(d.Name)
		if known && old.daemon.Incarnation > d.Incarnation {
			continue
		}
		if !known || old.daemon != d {
			p.peers = p.peers.Set(d.Name, peer{daemon: d, up: old.up, lastSeenAt: now})
		}
		out = append(out, notch.Connect{Daemon: d})
	}
	return p, out
}

func (p Part) peerDown(now notch.Time, name string) (Part, []notch.Effect) {
	q, ok := p.peers.Get(name)
	if !ok || !q.up {
		return p, nil
	}
	q.up, q.lastSeenAt = false, now
	p.peers = p.peers.Set(name, q)
	return p, []notch.Effect{notch.LogMessage{Text: "daemon out of reach", Fields: []notch.LogField{{Name: "daemon", Value: name}}}}
}

// onAnnounced records an announcement that a backend server made to this daemon directly.
func (p Part) onAnnounced(now notch.Time, b notch.BackendServer) Part {
	old, ok := p.servers.Get(b.Name)
	if ok && old.server.Incarnation > b.Incarnation {
		return p
	}
	if ok && old.server.Incarnation == b.Incarnation {
		// A leaving backend server can only return with a new incarnation.
		b.Leaving = b.Leaving || old.server.Leaving
	}
	s := serverState{server: b, expiresAt: now.Add(p.timing.TTL), sentAt: old.sentAt}
	if !ok || old.server != b {
		p.serversChanged = true
		p.pendingFull = append(slices.Clip(p.pendingFull), b.Name)
	} else if now.Sub(old.sentAt) >= p.timing.RenewInterval {
		p.pendingRenewals = append(slices.Clip(p.pendingRenewals), b.Name)
	}
	p.servers = p.servers.Set(b.Name, s)
	return p
}

// mergeAnnouncements records the full announcements in m, which another daemon sent.
func (p Part) mergeAnnouncements(now notch.Time, m notch.Announcements) Part {
	for _, a := range m.Servers {
		old, ok := p.servers.Get(a.Server.Name)
		if ok && old.server.Incarnation > a.Server.Incarnation {
			continue
		}
		expiresAt := now.Add(min(a.TTL, p.timing.TTL))
		if ok && old.server.Incarnation == a.Server.Incarnation {
			expiresAt = max(expiresAt, old.expiresAt)
			// A delayed announcement must not clear the leaving mark.
			a.Server.Leaving = a.Server.Leaving || old.server.Leaving
		}
		if !ok || old.server != a.Server {
			p.serversChanged = true
		}
		p.servers = p.servers.Set(a.Server.Name, serverState{server: a.Server, expiresAt: expiresAt, sentAt: old.sentAt})
	}
	return p
}

// applyRenewals extends the announcements that m renews by identity. It asks the sender
// for those that it doesn't know.
func (p Part) applyRenewals(now notch.Time, from string, m notch.Announcements) (Part, []notch.Effect) {
	var missing []notch.ServerID
	for _, id := range m.Renewed {
		name, _, _ := strings.Cut(string(id), "#")
		s, ok := p.servers.Get(name)
		if !ok || s.server.ID() != id {
			missing = append(missing, id)
			continue
		}
		s.expiresAt = max(s.expiresAt, now.Add(min(m.TTL, p.timing.TTL)))
		p.servers = p.servers.Set(name, s)
	}
	if len(missing) == 0 {
		return p, nil
	}
	return p, []notch.Effect{notch.Send{To: from, Message: notch.AnnouncementRequest{Servers: missing}}}
}

// onAnnouncementRequest queues the announcements that a peer asked for in full.
func (p Part) onAnnouncementRequest(m notch.AnnouncementRequest) Part {
	for _, id := range m.Servers {
		name, _, _ := strings.Cut(string(id), "#")
		if s, ok := p.servers.Get(name); ok && s.server.ID() == id {
			p.pendingFull = append(slices.Clip(p.pendingFull), name)
		}
	}
	return p
}

// queueAll queues every announcement that this daemon has sent itself, normally those that
// backend servers made to it directly. It runs when a link to a peer
// opens, so that the peer receives them.
func (p Part) queueAll() Part {
	for it := p.servers.Iterator(); !it.Done(); {
		name, s, _ := it.Next()
		if s.sentAt != 0 {
			p.pendingFull = append(slices.Clip(p.pendingFull), name)
		}
	}
	return p
}

func (p Part) tick(now notch.Time) Part {
	for it := p.servers.Iterator(); !it.Done(); {
		name, s, _ := it.Next()
		if !now.Before(s.expiresAt) {
			p.servers = p.servers.Delete(name)
			p.serversChanged = true
		}
	}
	for it := p.peers.Iterator(); !it.Done(); {
		name, q, _ := it.Next()
		if !q.up && now.Sub(q.lastSeenAt) > p.timing.ForgetAfter {
			p.peers = p.peers.Delete(name)
		}
	}
	return p
}

// hasPending reports whether a flush has anything to send or emit.
func (p Part) hasPending() bool {
	return len(p.pendingFull) > 0 || len(p.pendingRenewals) > 0 || p.serversChanged
}

func (p Part) flush(now notch.Time) (Part, []notch.Effect) {
	var out []notch.Effect
	if len(p.pendingFull)+len(p.pendingRenewals) > 0 {
		p, out = p.announcePending(now)
	}
	if !p.serversChanged {
		return p, out
	}
	p.serversChanged = false
	changed := notch.ServersChanged{Servers: p.serverList()}
	return p, append(out, notch.Emit{Body: changed}, notch.ToLanes{Body: changed})
}

func (p Part) serverList() []notch.BackendServer {
	var out []notch.BackendServer
	for it := p.servers.Iterator(); !it.Done(); {
		_, s, _ := it.Next()
		out = append(out, s.server)
	}
	return out
}

// announcePending sends the queued announcements and renewals.
func (p Part) announcePending(now notch.Time) (Part, []notch.Effect) {
	m := notch.Announcements{TTL: p.timing.TTL}
	for _, name := range distinct(p.pendingFull) {
		s, ok := p.servers.Get(name)
		if !ok {
			continue
		}
		m.Servers = append(m.Servers, notch.Announcement{Server: s.server, TTL: s.expiresAt.Sub(now)})
		s.sentAt = now
		p.servers = p.servers.Set(name, s)
	}
	for _, name := range distinct(p.pendingRenewals) {
		s, ok := p.servers.Get(name)
		if !ok || s.sentAt == now {
			continue
		}
		m.Renewed = append(m.Renewed, s.server.ID())
		s.sentAt = now
		p.servers = p.servers.Set(name, s)
	}
	p.pendingFull, p.pendingRenewals = nil, nil
	return p, p.sendToPeers(m)
}

// distinct returns names sorted and without duplicates.
func distinct(names []string) []string {
	out := slices.Clone(names)
	slices.Sort(out)
	return slices.Compact(out)
}

func (p Part) upPeers() []notch.Daemon {
	var out []notch.Daemon
	for it := p.peers.Iterator(); !it.Done(); {
		_, q, _ := it.Next()
		if q.up {
			out = append(out, q.daemon)
		}
	}
	return out
}
