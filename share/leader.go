package share

import (
	"fmt"
	"maps"
	"slices"
	"time"

	notch "tamaracknotch"
)

// Leader is the part that grants leases while its replica leads.
type Leader struct {
	self    string
	timing  Timing
	divider notch.Divider

	leading notch.Leadership
	tables  notch.Tables
	voters  []string
	servers []notch.BackendServer
	entries map[string]entry // by name#incarnation; never modified in place
	targets map[string]map[notch.ServerID]int
	divided notch.Time
	version uint64 // grows when an input of the grants changes
	split   uint64 // version at the last division
	settle  bool   // whether the last grant found the leases of a former leader ended
}

// LeaderOption adjusts a new Leader.
type LeaderOption func(*Leader)

// WithLeaderTiming replaces DefaultTiming.
func WithLeaderTiming(t Timing) LeaderOption { return func(l *Leader) { l.timing = t } }

// WithDivider replaces ByDemand.
func WithDivider(d notch.Divider) LeaderOption { return func(l *Leader) { l.divider = d } }

// NewLeader returns the part of the replica called self.
func NewLeader(self string, opts ...LeaderOption) Leader {
	l := Leader{self: self, timing: DefaultTiming, divider: ByDemand{Floor: DefaultFloor}}
	for _, opt := range opts {
		opt(&l)
	}
	return l
}

// Step implements [notch.Part].
func (p Leader) Step(e notch.Event) (notch.Part, []notch.Effect) {
	switch b := e.Body.(type) {
	case notch.Leadership:
		if !b.Leading || b.Term != p.leading.Term {
			p.entries, p.targets = nil, nil
		}
		p.leading = b
	case notch.TablesCommitted:
		p.tables = b.Tables
		p = p.changed()
	case notch.ServersChanged:
		p.servers = b.Servers
		p = p.changed()
	case notch.ReplicasChanged:
		p.voters = nil
		for _, v := range b.Set.Voters {
			p.voters = append(p.voters, v.Name)
		}
	case notch.QuestionArrived:
		if b.Question.Kind == notch.AskEntries && p.leading.Leading {
			return p, []notch.Effect{notch.Emit{Body: notch.QuestionAnswered{Origin: b.Origin, Ticket: b.Ticket, View: p.view(e.At)}}}
		}
	case notch.MessageReceived:
		switch m := b.Message.(type) {
		case notch.EntryReport:
			return p.onReport(e.At, b.From, m)
		case notch.Goodbye:
			return p.onGoodbye(b.From), nil
		}
	}
	return p, nil
}

func (p Leader) view(now notch.Time) notch.View {
	v := notch.View{Revision: p.tables.Revision, Complete: p.knowsLeases(now)}
	for _, key := range slices.Sorted(maps.Keys(p.entries)) {
		e := p.entries[key]
		v.Entries = append(v.Entries, notch.EntryStatus{Name: e.name, Revision: e.revision, Lease: e.until.Sub(now)})
	}
	return v
}

// knowsLeases reports whether every lease that a former leader granted has ended or
// been renewed here.
func (p Leader) knowsLeases(now notch.Time) bool {
	if p.leading.Ready == 0 || len(p.entries) == 0 {
		return false
	}
	return p.leading.Term <= firstTerm || !now.Before(p.leading.Ready.Add(withDrift(p.timing.Lease)))
}

func (p Leader) onGoodbye(from string) Leader {
	p.entries = maps.Clone(p.entries)
	maps.DeleteFunc(p.entries, func(_ string, e entry) bool { return e.name == from })
	return p.changed()
}

// changed has the slots divided again at the next report.
func (p Leader) changed() Leader {
	p.version++
	p.divided = 0
	return p
}

func (p Leader) onReport(now notch.Time, from string, m notch.EntryReport) (notch.Part, []notch.Effect) {
	lease := p.leaseAt(now)
	if !p.leading.Leading || p.leading.Ready == 0 || lease <= 0 {
		return p, nil
	}
	if m.Term != p.leading.Term {
		m.Seq = 0
	}
	key := fmt.Sprintf("%s#%d", from, m.Incarnation)
	e, known := p.entries[key]
	e.name, e.domain, e.revision = from, m.Domain, m.Revision
	e, news, ok := e.withReport(m)
	if !ok {
		ask := notch.EntryGrant{Incarnation: m.Incarnation, Term: p.leading.Term, AskFull: true, SentAt: m.SentAt}
		return p, []notch.Effect{notch.Send{To: from, Message: ask}}
	}
	p = p.withEntry(key, e)
	if !known {
		p = p.changed()
	} else if news {
		p.version++
	}
	p = p.forget(now).divide(now)
	p, grant := p.grant(now, key, lease)
	grant.SentAt, grant.Incarnation = m.SentAt, m.Incarnation
	if m.Revision < p.tables.Revision {
		tables := p.tables.WithoutDocument()
		grant.Tables = &tables
	}
	return p, []notch.Effect{notch.Send{To: from, Message: grant}}
}

// leaseAt returns how long an entry may rely on a grant sent now.
func (p Leader) leaseAt(now notch.Time) time.Duration {
	return p.leading.Contact.Add(p.timing.Lease).Sub(now)
}

func (p Leader) withEntry(key string, e entry) Leader {
	p.entries = maps.Clone(p.entries)
	if p.entries == nil {
		p.entries = map[string]entry{}
	}
	p.entries[key] = e
	return p
}

// forget drops entries that can't have anything in flight any more.
func (p Leader) forget(now notch.Time) Leader {
	over := func(_ string, e entry) bool { return e.gone != 0 && !now.Before(e.gone) }
	for _, e := range p.entries {
		if over("", e) {
			p.entries = maps.Clone(p.entries)
			maps.DeleteFunc(p.entries, over)
			return p.changed()
		}
	}
	return p
}

// settled reports whether the leases and requests of a former leader's entries
// have ended, so that whatever no entry reports is free.
func (p Leader) settled(now notch.Time) bool {
	if p.leading.Term <= firstTerm {
		return true // a new cluster has no former leader
	}
	return !now.Before(p.leading.Ready.Add(withDrift(p.timing.Lease + p.longest())))
}

// firstTerm is the term of the first leader that a new cluster elects.
const firstTerm = 2

// longest returns the longest time that a request may occupy a slot: an attempt
// may go on for another timeout after its caller was answered.
func (p Leader) longest() time.Duration {
	var d time.Duration
	for _, r := range p.tables.Routes {
		d = max(d, r.Timeout)
	}
	return 2 * d
}

// divide recomputes the targets, if the last ones are old.
func (p Leader) divide(now notch.Time) Leader {
	// A lease that ends changes the division without an event, but such an entry
	// is forgotten soon after, which is one.
	if p.divided != 0 && (p.split == p.version || now.Sub(p.divided) < p.timing.Divide) {
		return p
	}
	p.divided, p.split = now, p.version
	p.targets = map[string]map[notch.ServerID]int{}
	var keys []string
	for _, key := range slices.Sorted(maps.Keys(p.entries)) {
		if e := p.entries[key]; e.until == 0 || now.Before(e.until) {
			keys = append(keys, key)
			p.targets[key] = map[notch.ServerID]int{}
		}
	}
	for _, pool := range p.tables.Pools {
		if pool.Kind == notch.ServicePool {
			p.dividePool(pool, keys)
		}
	}
	return p
}

func (p Leader) dividePool(pool notch.Pool, keys []string) {
	var servers []notch.ServerShare
	for _, b := range p.servers {
		if b.Pool != pool.Name {
			continue
		}
		if b = b.WithPool(pool); !b.Leaving {
			servers = append(servers, notch.ServerShare{Server: b.ID(), Domain: b.Domain, Slots: b.Slots})
		}
	}
	var entries []notch.EntryShare
	for _, key := range keys {
		e := p.entries[key]
		share := notch.EntryShare{Entry: key, Domain: e.domain, Demand: e.demand[pool.Name]}
		for _, s := range servers {
			share.Held = append(share.Held, e.atMost(s.Server))
		}
		entries = append(entries, share)
	}
	rows := p.divider.Divide(servers, entries)
	for i, s := range servers {
		for j, key := range keys {
			p.targets[key][s.Server] = rows[i][j]
		}
	}
}

// grant returns what the entry gets. If no input has changed since the last grant,
// which the entry obeys, it is a renewal of that.
func (p Leader) grant(now notch.Time, key string, lease time.Duration) (Leader, notch.EntryGrant) {
	settled := p.settled(now)
	if settled != p.settle {
		p.settle = settled
		p.version++
	}
	e := p.entries[key]
	g := notch.EntryGrant{
		Term: p.leading.Term, Base: e.current.seq, Seq: e.current.seq, Lease: lease, Entries: len(p.entries),
		Voters: p.voters, Revision: p.tables.Revision,
	}
	if e.version != p.version || len(e.pending) > 0 || e.current.seq == 0 || p.split != p.version {
		e.version = p.version
		if p.split != p.version {
			e.version = 0 // the division is still to come
		}
		slots := p.slotsFor(key, settled)
		if !maps.Equal(slots, e.current.slots) || len(e.pending) > 0 || e.current.seq == 0 {
			e.seq++
			e.pending = append(slices.Clone(e.pending), sentGrant{seq: e.seq, slots: slots})
			g.Seq, g.Slots = e.seq, difference(e.current.slots, slots)
			if g.Base == 0 {
				g.Slots = holdsOf(slots)
			}
		}
	}
	e.until = max(e.until, now.Add(withDrift(lease)))
	e.gone = max(e.gone, e.until.Add(withDrift(p.longest())))
	return p.withEntry(key, e), g
}

// difference lists what changes from one set of slots to another.
func difference(from, to map[notch.ServerID]int) []notch.Hold {
	out := holdsOf(to)
	out = slices.DeleteFunc(out, func(h notch.Hold) bool { return from[h.Server] == h.Slots })
	for _, id := range slices.Sorted(maps.Keys(from)) {
		if to[id] == 0 {
			out = append(out, notch.Hold{Server: id})
		}
	}
	return out
}

// slotsFor returns an entry's target, as far as no other entry may have the slots
// in use.
func (p Leader) slotsFor(key string, settled bool) map[notch.ServerID]int {
	e := p.entries[key]
	slots := map[notch.ServerID]int{}
	limit := p.limits()
	for id, target := range p.targets[key] {
		free := limit[id]
		for other, o := range p.entries {
			if other != key {
				free -= o.atMost(id)
			}
		}
		n := min(target, free)
		if !settled {
			n = min(n, e.acked[id])
		}
		if n > 0 {
			slots[id] = n
		}
	}
	return slots
}

func (p Leader) limits() map[notch.ServerID]int {
	out := map[notch.ServerID]int{}
	for _, b := range p.servers {
		if pool, ok := p.tables.Pool(b.Pool); ok {
			out[b.ID()] = b.WithPool(pool).Slots
		}
	}
	return out
}
