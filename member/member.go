// Package member is the part that knows the other daemons and the backend
// servers. Both are soft state: daemons tell each other whom they know when a
// link opens, and a backend server that falls silent is forgotten.
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
	TTL    time.Duration // an announcement holds for this long
	Renew  time.Duration // between repeats of an unchanged announcement to other daemons
	Forget time.Duration // after which a daemon that can't be reached is no longer passed on
}

// DefaultTiming expects backend servers to announce themselves every second.
var DefaultTiming = Timing{TTL: 5 * time.Second, Renew: 1500 * time.Millisecond, Forget: time.Hour}

// maxDirect is the number of peers up to which every daemon tells every other
// one. Above it, one relay per failure domain passes announcements on.
const maxDirect = 12

type peer struct {
	daemon notch.Daemon
	up     bool
	seen   notch.Time
}

type server struct {
	server notch.BackendServer
	until  notch.Time
	told   notch.Time // when this daemon last passed it on; zero: it isn't its source
}

// Part holds what one daemon knows of the others.
type Part struct {
	self    notch.Daemon
	storage uint64
	cluster uint64
	timing  Timing
	peers   *immutable.SortedMap[string, peer]
	servers *immutable.SortedMap[string, server] // by name
	fresh   []string                             // names to pass on at the next flush, in full
	renewed []string                             // names to pass on by their identity
	changed bool
}

// Option adjusts a new Part.
type Option func(*Part)

// WithTiming replaces DefaultTiming.
func WithTiming(t Timing) Option { return func(p *Part) { p.timing = t } }

// New returns the part of the daemon self. Storage and cluster are zero if it
// has no data folder or belongs to no cluster yet.
func New(self notch.Daemon, storage, cluster uint64, opts ...Option) Part {
	p := Part{
		self: self, storage: storage, cluster: cluster, timing: DefaultTiming,
		peers:   immutable.NewSortedMap[string, peer](nil),
		servers: immutable.NewSortedMap[string, server](nil),
	}
	for _, opt := range opts {
		opt(&p)
	}
	return p
}

// Hello returns what the daemon opens its links with.
func (p Part) Hello() notch.Hello {
	h := notch.Hello{Daemon: p.self, Storage: p.storage, Cluster: p.cluster}
	for it := p.peers.Iterator(); !it.Done(); {
		_, q, _ := it.Next()
		h.Known = append(h.Known, q.daemon)
	}
	return h
}

// Step implements [notch.Part].
func (p Part) Step(e notch.Event) (notch.Part, []notch.Effect) {
	var out []notch.Effect
	switch b := e.Body.(type) {
	case notch.PeerUp:
		p, out = p.peerUp(e.At, b.Hello)
	case notch.PeerDown:
		p, out = p.peerDown(e.At, b.Name)
	case notch.Announced:
		p = p.announced(e.At, b.Server)
	case notch.MessageReceived:
		p, out = p.receive(e.At, b)
	case notch.Tick:
		p = p.tick(e.At)
	case notch.Flush:
		p, out = p.flush(e.At)
	}
	return p, out
}

func (p Part) receive(now notch.Time, b notch.MessageReceived) (Part, []notch.Effect) {
	switch m := b.Message.(type) {
	case notch.Hello:
		return p.peerUp(now, m)
	case notch.Announcements:
		next, out := p.announcements(now, m).renewals(now, b.From, m)
		return next, append(out, p.relay(b.From, m)...)
	case notch.Resend:
		return p.resend(m), nil
	}
	return p, nil
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
	p.peers = p.peers.Set(h.Daemon.Name, peer{daemon: h.Daemon, up: true, seen: now})
	p, out = p.learn(now, append([]notch.Daemon{h.Daemon}, h.Known...))
	if h.Storage != 0 {
		out = append(out, notch.Emit{Body: notch.ReplicaSeen{Replica: notch.Replica{Name: h.Daemon.Name, Storage: h.Storage}}})
	}
	if !known || old.daemon != h.Daemon {
		out = append(out, notch.Notice{Text: "daemon joined", Fields: []notch.Field{{Name: "daemon", Value: h.Daemon.Name}}})
	}
	if !known || !old.up {
		p = p.retellAll()
	}
	if p.cluster == 0 && h.Cluster != 0 {
		p.cluster = h.Cluster
		out = append(out, notch.AdoptCluster{Cluster: h.Cluster})
	}
	return p, append(out, notch.SetHello{Hello: p.Hello()})
}

// learn connects to daemons that weren't known, or not at that address.
func (p Part) learn(now notch.Time, ds []notch.Daemon) (Part, []notch.Effect) {
	var out []notch.Effect
	for _, d := range ds {
		if d.Name == p.self.Name {
			continue
		}
		old, known := p.peers.Get(d.Name)
		if known && old.daemon.Incarnation > d.Incarnation {
			continue
		}
		if !known || old.daemon != d {
			p.peers = p.peers.Set(d.Name, peer{daemon: d, up: old.up, seen: now})
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
	q.up, q.seen = false, now
	p.peers = p.peers.Set(name, q)
	return p, []notch.Effect{notch.Notice{Text: "daemon out of reach", Fields: []notch.Field{{Name: "daemon", Value: name}}}}
}

func (p Part) announced(now notch.Time, b notch.BackendServer) Part {
	old, ok := p.servers.Get(b.Name)
	if ok && old.server.Incarnation > b.Incarnation {
		return p
	}
	if ok && old.server.Incarnation == b.Incarnation {
		// Whoever leaves comes back as a new incarnation only.
		b.Leaving = b.Leaving || old.server.Leaving
	}
	s := server{server: b, until: now.Add(p.timing.TTL), told: old.told}
	if !ok || old.server != b {
		p.changed = true
		p.fresh = append(slices.Clip(p.fresh), b.Name)
	} else if now.Sub(old.told) >= p.timing.Renew {
		p.renewed = append(slices.Clip(p.renewed), b.Name)
	}
	p.servers = p.servers.Set(b.Name, s)
	return p
}

func (p Part) announcements(now notch.Time, m notch.Announcements) Part {
	for _, a := range m.Servers {
		old, ok := p.servers.Get(a.Server.Name)
		if ok && old.server.Incarnation > a.Server.Incarnation {
			continue
		}
		until := now.Add(min(a.TTL, p.timing.TTL))
		if ok && old.server.Incarnation == a.Server.Incarnation {
			until = max(until, old.until)
			// A leaving mark isn't taken back by a delayed announcement.
			a.Server.Leaving = a.Server.Leaving || old.server.Leaving
		}
		if !ok || old.server != a.Server {
			p.changed = true
		}
		p.servers = p.servers.Set(a.Server.Name, server{server: a.Server, until: until, told: old.told})
	}
	return p
}

// relay passes a message on within the own failure domain, if its sender asks for
// that.
func (p Part) relay(from string, m notch.Announcements) []notch.Effect {
	if m.Hops == 0 {
		return nil
	}
	m.Hops--
	var out []notch.Effect
	for _, d := range p.upPeers() {
		if d.Domain == p.self.Domain && d.Name != from {
			out = append(out, notch.Send{To: d.Name, Message: m})
		}
	}
	return out
}

// renewals prolongs what is known by its identity and asks for the rest.
func (p Part) renewals(now notch.Time, from string, m notch.Announcements) (Part, []notch.Effect) {
	var missing []notch.ServerID
	for _, id := range m.Renewed {
		name, _, _ := strings.Cut(string(id), "#")
		s, ok := p.servers.Get(name)
		if !ok || s.server.ID() != id {
			missing = append(missing, id)
			continue
		}
		s.until = max(s.until, now.Add(min(m.TTL, p.timing.TTL)))
		p.servers = p.servers.Set(name, s)
	}
	if len(missing) == 0 {
		return p, nil
	}
	return p, []notch.Effect{notch.Send{To: from, Message: notch.Resend{Servers: missing}}}
}

// resend passes on in full what a peer lacks.
func (p Part) resend(m notch.Resend) Part {
	for _, id := range m.Servers {
		name, _, _ := strings.Cut(string(id), "#")
		if s, ok := p.servers.Get(name); ok && s.server.ID() == id {
			p.fresh = append(slices.Clip(p.fresh), name)
		}
	}
	return p
}

// retellAll passes on every announcement that reached this daemon directly, for
// a peer that has just appeared.
func (p Part) retellAll() Part {
	for it := p.servers.Iterator(); !it.Done(); {
		name, s, _ := it.Next()
		if s.told != 0 {
			p.fresh = append(slices.Clip(p.fresh), name)
		}
	}
	return p
}

func (p Part) tick(now notch.Time) Part {
	for it := p.servers.Iterator(); !it.Done(); {
		name, s, _ := it.Next()
		if !now.Before(s.until) {
			p.servers = p.servers.Delete(name)
			p.changed = true
		}
	}
	for it := p.peers.Iterator(); !it.Done(); {
		name, q, _ := it.Next()
		if !q.up && now.Sub(q.seen) > p.timing.Forget {
			p.peers = p.peers.Delete(name)
		}
	}
	return p
}

func (p Part) flush(now notch.Time) (Part, []notch.Effect) {
	var out []notch.Effect
	if len(p.fresh)+len(p.renewed) > 0 {
		p, out = p.tell(now)
	}
	if !p.changed {
		return p, out
	}
	p.changed = false
	changed := notch.ServersChanged{Servers: p.list()}
	return p, append(out, notch.Emit{Body: changed}, notch.ToLanes{Body: changed})
}

func (p Part) list() []notch.BackendServer {
	var out []notch.BackendServer
	for it := p.servers.Iterator(); !it.Done(); {
		_, s, _ := it.Next()
		out = append(out, s.server)
	}
	return out
}

func (p Part) tell(now notch.Time) (Part, []notch.Effect) {
	m := notch.Announcements{TTL: p.timing.TTL}
	for _, name := range distinct(p.fresh) {
		s, ok := p.servers.Get(name)
		if !ok {
			continue
		}
		m.Servers = append(m.Servers, notch.Announcement{Server: s.server, TTL: s.until.Sub(now)})
		s.told = now
		p.servers = p.servers.Set(name, s)
	}
	for _, name := range distinct(p.renewed) {
		s, ok := p.servers.Get(name)
		if !ok || s.told == now {
			continue
		}
		m.Renewed = append(m.Renewed, s.server.ID())
		s.told = now
		p.servers = p.servers.Set(name, s)
	}
	p.fresh, p.renewed = nil, nil
	return p, p.spread(m)
}

func distinct(names []string) []string {
	out := slices.Clone(names)
	slices.Sort(out)
	return slices.Compact(out)
}

// spread sends announcements to every peer, or above maxDirect to the own
// failure domain and to one relay in each other one.
func (p Part) spread(m notch.Announcements) []notch.Effect {
	up := p.upPeers()
	relayed := m
	relayed.Hops = 1
	var out []notch.Effect
	var domains []string
	for _, d := range up {
		switch {
		case len(up) <= maxDirect || d.Domain == p.self.Domain:
			out = append(out, notch.Send{To: d.Name, Message: m})
		case !slices.Contains(domains, d.Domain):
			domains = append(domains, d.Domain)
			out = append(out, notch.Send{To: d.Name, Message: relayed})
		}
	}
	return out
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
