package share

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// Leader is the part that grants the entries' leases while its replica leads.
type Leader struct {
	self    string
	timing  Timing
	divider notch.Divider

	leadership     notch.Leadership
	tables         notch.Tables
	history        tablesHistory // ends with tables
	voters         []string
	servers        []notch.BackendServer
	former         formerServers                              // of servers
	entries        *immutable.SortedMap[string, *entryRecord] // by name#incarnation
	targets        map[string]map[notch.ServerID]int          // slots by entry key and backend server
	dividedAt      notch.Time
	inputVersion   uint64 // incremented when an input of the grants changes
	dividedVersion uint64 // inputVersion at the last division
	unreportedFree bool   // result of unreportedSlotsFree at the last grant
}

// LeaderOption adjusts a new Leader.
type LeaderOption func(*Leader)

// WithLeaderTiming replaces DefaultTiming.
func WithLeaderTiming(t Timing) LeaderOption { return func(l *Leader) { l.timing = t } }

// WithDivider replaces ByDemand.
func WithDivider(d notch.Divider) LeaderOption { return func(l *Leader) { l.divider = d } }

// NewLeader returns the part of the replica called self.
func NewLeader(self string, opts ...LeaderOption) Leader {
	l := Leader{self: self, entries: noEntries, timing: DefaultTiming, divider: ByDemand{FloorDivisor: DefaultFloorDivisor}}
	for _, opt := range opts {
		opt(&l)
	}
	return l
}

// noEntries is an empty map of entries.
var noEntries = immutable.NewSortedMap[string, *entryRecord](nil)

// Step implements [notch.Part].
func (p Leader) Step(e notch.Event) (notch.Part, []notch.Effect) {
	switch b := e.Body.(type) {
	case notch.Leadership:
		if !b.Leading || b.Term != p.leadership.Term {
			p.entries, p.targets, p.former = noEntries, nil, nil
		}
		p.leadership = b
	case notch.TablesCommitted:
		p.tables, p.history = b.Tables, p.history.with(b.Tables)
		p = p.withDivisionDue()
	case notch.ServersChanged:
		if p.leadership.Leading {
			p.former = p.former.afterChange(p.servers, b.Servers)
		}
		p.servers = b.Servers
		p = p.withDivisionDue()
	case notch.ReplicasChanged:
		p.voters = nil
		for _, v := range b.Set.Voters {
			p.voters = append(p.voters, v.Name)
		}
	case notch.QueryReceived:
		if b.Question.Kind == notch.QueryEntries && p.leadership.Leading {
			return nil, []notch.Effect{notch.Emit{Body: notch.QueryAnswered{Origin: b.Origin, Ticket: b.Ticket, View: p.queryResult(e.At)}}}
		}
		return nil, nil
	case notch.PeerDown:
		return p.onPeerDown(b.Name), nil
	case notch.MessageReceived:
		switch m := b.Message.(type) {
		case notch.EntryReport:
			return p.onReport(e.At, b.From, m)
		case notch.LeaveMessage:
			return p.onLeave(b.From, m), nil
		}
		return nil, nil
	default:
		return nil, nil
	}
	return p, nil
}

// queryResult lists the entries with their revisions and remaining leases.
func (p Leader) queryResult(now notch.Time) notch.QueryResult {
	result := notch.QueryResult{Revision: p.tables.Revision, Complete: p.knowsAllLeases(now)}
	for it := p.entries.Iterator(); !it.Done(); {
		_, e, _ := it.Next()
		if e.leaving {
			continue
		}
		result.Entries = append(result.Entries, notch.EntryStatus{Name: e.name, Revision: e.revision, Lease: e.leaseEnd.Sub(now)})
	}
	return result
}

// knowsAllLeases reports whether every lease that a former leader granted has ended
// or has been renewed by this leader.
func (p Leader) knowsAllLeases(now notch.Time) bool {
	if p.leadership.Ready == 0 || p.entries.Len() == 0 {
		return false
	}
	return p.leadership.Term <= firstTerm || !now.Before(p.leadership.Ready.Add(withDrift(p.timing.Lease)))
}

// onLeave frees the slots of an entry that has left.
func (p Leader) onLeave(from string, m notch.LeaveMessage) Leader {
	return p.withoutEntries(func(e *entryRecord) bool {
		return e.name == from && (m.Incarnation == 0 || e.incarnation == m.Incarnation)
	}).withDivisionDue()
}

// withDivisionDue returns p with a new division of the slots due at the next report.
func (p Leader) withDivisionDue() Leader {
	p.inputVersion++
	p.dividedAt = 0
	return p
}

// entryKey returns the key of an incarnation of an entry.
func entryKey(name string, incarnation uint64) string {
	return name + "#" + strconv.FormatUint(incarnation, 10)
}

// onLeaving frees the slots of an entry that has left, except for those that its requests in
// flight use.
func (p Leader) onLeaving(from string, m notch.EntryReport) Leader {
	key := entryKey(from, m.Incarnation)
	e, known := p.entry(key)
	if !known {
		return p
	}
	return p.withEntry(key, e.withLeaving(m.Holds)).withDivisionDue()
}

func (p Leader) onReport(now notch.Time, from string, m notch.EntryReport) (notch.Part, []notch.Effect) {
	if m.Leaving {
		return p.onLeaving(from, m), nil
	}
	lease := p.leaseDuration(now)
	if !p.leadership.Leading || p.leadership.Ready == 0 || lease <= 0 {
		return nil, nil
	}
	if m.Term != p.leadership.Term {
		m.Seq = 0
	}
	key := entryKey(from, m.Incarnation)
	e, known := p.entry(key)
	e.name, e.incarnation, e.domain = from, m.Incarnation, m.Domain
	e, changed, ok := e.withRevision(m).withReport(m)
	if !ok {
		reply := notch.EntryGrant{Incarnation: m.Incarnation, Term: p.leadership.Term, AskFull: true, SentAt: m.SentAt}
		return p, []notch.Effect{notch.Send{To: from, Message: reply}}
	}
	p = p.withEntry(key, e)
	if !known {
		p = p.withDivisionDue()
	} else if changed {
		p.inputVersion++
	}
	p = p.withoutDrained(now).divide(now)
	p, grant := p.grant(now, key, lease)
	grant.SentAt, grant.Incarnation = m.SentAt, m.Incarnation
	p, grant = p.withTables(key, grant, m)
	return p, []notch.Effect{notch.Send{To: from, Message: grant}}
}

// withTables adds to the answer to report m the tables that the entry lacks. What is already
// on its way isn't sent again: on a slow link it would hold back the leases behind it.
func (p Leader) withTables(key string, g notch.EntryGrant, m notch.EntryReport) (Leader, notch.EntryGrant) {
	if !m.AcceptsChanges {
		if m.Revision < p.tables.Revision {
			g.Tables = &p.history.tables
		}
		return p, g
	}
	e, _ := p.entry(key)
	g.Changes = p.history.since(max(m.Revision, e.sentRevision))
	if len(g.Changes) == 0 {
		return p, g
	}
	return p.withEntry(key, e.withChangesSent(p.tables.Revision, m)), g
}

// onPeerDown marks the changes on their way to a daemon as lost, as its link was lost.
func (p Leader) onPeerDown(name string) Leader {
	for it := p.entries.Iterator(); !it.Done(); {
		if key, e, _ := it.Next(); e.name == name && e.sentRevision != 0 {
			p = p.withEntry(key, e.withChangesLost())
		}
	}
	return p
}

// leaseDuration returns the duration of a lease granted now. It ends Timing.Lease
// after the last instant at which a quorum confirmed the leadership, as another
// replica may lead after that.
func (p Leader) leaseDuration(now notch.Time) time.Duration {
	return p.leadership.Contact.Add(p.timing.Lease).Sub(now)
}

func (p Leader) withEntry(key string, e entryRecord) Leader {
	p.entries = p.entries.Set(key, &e)
	return p
}

// entry returns the record of an entry, or an empty one if there is none.
func (p Leader) entry(key string) (e entryRecord, known bool) {
	if e, ok := p.entries.Get(key); ok {
		return *e, true
	}
	return entryRecord{}, false
}

// withoutEntries drops the entries that match.
func (p Leader) withoutEntries(match func(*entryRecord) bool) Leader {
	for it := p.entries.Iterator(); !it.Done(); {
		if key, e, _ := it.Next(); match(e) {
			p.entries = p.entries.Delete(key)
		}
	}
	return p
}

// withoutDrained drops the entries whose leases and requests have certainly ended.
func (p Leader) withoutDrained(now notch.Time) Leader {
	next := p.withoutEntries(func(e *entryRecord) bool { return e.drainedAt != 0 && !now.Before(e.drainedAt) })
	if next.entries.Len() == p.entries.Len() {
		return p
	}
	return next.withDivisionDue()
}

// unreportedSlotsFree reports whether the leases granted by a former leader, and the
// requests sent under them, have ended. From then on a slot that no entry reports is
// free.
func (p Leader) unreportedSlotsFree(now notch.Time) bool {
	if p.leadership.Term <= firstTerm {
		return true // a new cluster has no former leader
	}
	return !now.Before(p.leadership.Ready.Add(withDrift(p.timing.Lease + maxSlotOccupancy(p.tables))))
}

// firstTerm is the term of the first leader that a new cluster elects.
const firstTerm = 2

// divide recomputes the targets if an input has changed and the last division isn't
// too recent.
func (p Leader) divide(now notch.Time) Leader {
	// The end of a lease doesn't change inputVersion, although it changes the
	// division. withoutDrained soon drops that entry and makes a division due.
	if p.dividedAt != 0 && (p.dividedVersion == p.inputVersion || now.Sub(p.dividedAt) < p.timing.DivideInterval) {
		return p
	}
	p.dividedAt, p.dividedVersion = now, p.inputVersion
	p.former = p.former.inUse(p.slotsInUse)
	p.targets = map[string]map[notch.ServerID]int{}
	var keys []string
	for it := p.entries.Iterator(); !it.Done(); {
		if key, e, _ := it.Next(); !e.leaving && (e.leaseEnd == 0 || now.Before(e.leaseEnd)) {
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
		e, _ := p.entry(key)
		share := notch.EntryShare{Entry: key, Domain: e.domain, Demand: e.demand[pool.Name]}
		for _, s := range servers {
			share.Held = append(share.Held, e.maxInUse(s.Server))
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

// grant returns the next grant for an entry. It renews the grant that the entry has
// applied if its slots stay the same.
func (p Leader) grant(now notch.Time, key string, lease time.Duration) (Leader, notch.EntryGrant) {
	unreportedFree := p.unreportedSlotsFree(now)
	if unreportedFree != p.unreportedFree {
		p.unreportedFree = unreportedFree
		p.inputVersion++
	}
	e, _ := p.entry(key)
	g := notch.EntryGrant{
		Term: p.leadership.Term, Base: e.applied.seq, Seq: e.applied.seq, Lease: lease, Entries: p.entries.Len(),
		Voters: p.voters, Revision: p.tables.Revision,
	}
	if e.inputVersion != p.inputVersion || len(e.pending) > 0 || e.applied.seq == 0 || p.dividedVersion != p.inputVersion {
		e.inputVersion = p.inputVersion
		if p.dividedVersion != p.inputVersion {
			e.inputVersion = 0 // check again after the next division
		}
		slots := p.grantableSlots(key, unreportedFree)
		if !maps.Equal(slots, e.applied.slots) || len(e.pending) > 0 || e.applied.seq == 0 {
			e.seq++
			e.pending = append(slices.Clone(e.pending), sentGrant{seq: e.seq, slots: slots})
			g.Seq, g.Slots = e.seq, slotChanges(e.applied.slots, slots)
			if g.Base == 0 {
				g.Slots = allocationsOf(slots)
			}
		}
	}
	e.leaseEnd = max(e.leaseEnd, now.Add(withDrift(lease)))
	e.drainedAt = max(e.drainedAt, e.leaseEnd.Add(withDrift(maxSlotOccupancy(p.tables))))
	return p.withEntry(key, e), g
}

// slotChanges lists the allocations that differ between two sets of slots, with zero
// slots for those that are revoked.
func slotChanges(from, to map[notch.ServerID]int) []notch.SlotAllocation {
	out := allocationsOf(to)
	out = slices.DeleteFunc(out, func(a notch.SlotAllocation) bool { return from[a.Server] == a.Slots })
	for _, id := range slices.Sorted(maps.Keys(from)) {
		if to[id] == 0 {
			out = append(out, notch.SlotAllocation{Server: id})
		}
	}
	return out
}

// grantableSlots returns an entry's target, reduced by the slots that other entries may
// have in use, and by those of earlier incarnations of the backend server that any entry
// may have in use. Unless unreportedFree is set, an entry gets no more slots than it has
// reported.
func (p Leader) grantableSlots(key string, unreportedFree bool) map[notch.ServerID]int {
	e, _ := p.entry(key)
	slots := map[notch.ServerID]int{}
	limits := p.slotLimits()
	for id, target := range p.targets[key] {
		free := limits[id] - p.formerSlotsInUse(id)
		for it := p.entries.Iterator(); !it.Done(); {
			if other, o, _ := it.Next(); other != key {
				free -= o.maxInUse(id)
			}
		}
		n := min(target, free)
		if !unreportedFree {
			n = min(n, e.reported[id])
		}
		if n > 0 {
			slots[id] = n
		}
	}
	return slots
}

// slotLimits returns the number of slots of each backend server.
func (p Leader) slotLimits() map[notch.ServerID]int {
	out := map[notch.ServerID]int{}
	for _, b := range p.servers {
		if pool, ok := p.tables.Pool(b.Pool); ok {
			out[b.ID()] = b.WithPool(pool).Slots
		}
	}
	return out
}
