package share

import (
	"maps"
	"slices"
	"time"

	notch "tamaracknotch"
)

// Entry is the part that holds an entry's lease and grants its slots to the lanes.
type Entry struct {
	self          notch.Daemon
	timing        Timing
	leader        string
	term          uint64                // highest term known
	grantSeq      uint64                // of the last grant applied in term; zero: none
	laneSeq       uint64                // of the last SlotsGranted sent to the lanes
	revision      uint64                // of the tables in force
	voters        []string              // as listed in the last grant
	knownReplicas []string              // daemons with a data folder that were linked; queried until a grant lists the voters
	noLeaderAt    map[string]notch.Time // by replica: when the latest query was sent that it answered without a leader or later tables

	leaseEnd         notch.Time
	latestGrantFor   notch.Time             // when the report was sent that the latest grant answers, applied or not
	leaseRequestedAt notch.Time             // when the report was sent that the last grant answers
	grantedSlots     map[notch.ServerID]int // by grant grantSeq; the map is never modified
	slotOccupancy    time.Duration          // maxSlotOccupancy of the tables in force
	fullRequested    bool                   // the leader asked for a full report
	laneCount        int
	laneLoads        map[int]notch.LaneLoad
	reportedAt       notch.Time
	queriedAt        notch.Time
	reportedDemand   int
	entryCount       int
	leased           bool
	stopping         bool
}

// EntryOption adjusts a new Entry.
type EntryOption func(*Entry)

// WithEntryTiming replaces DefaultTiming.
func WithEntryTiming(t Timing) EntryOption { return func(e *Entry) { e.timing = t } }

// NewEntry returns an entry with the given number of lanes and without a lease.
func NewEntry(self notch.Daemon, lanes int, opts ...EntryOption) Entry {
	e := Entry{self: self, timing: DefaultTiming, laneCount: lanes}
	for _, opt := range opts {
		opt(&e)
	}
	return e
}

// LeaseEnd returns when the lease ends.
func (p Entry) LeaseEnd() notch.Time { return p.leaseEnd }

// Step implements [notch.Part].
func (p Entry) Step(e notch.Event) (notch.Part, []notch.Effect) {
	switch b := e.Body.(type) {
	case notch.Tick:
		return p.tick(e.At)
	case notch.LeaderChanged:
		return p.onLeaderChanged(b), nil
	case notch.TablesInForce:
		p.revision, p.slotOccupancy = b.Tables.Revision, maxSlotOccupancy(b.Tables)
		return p.sendReport(e.At)
	case notch.SlotsGranted, notch.LeaseExtended: // emitted by onGrant
		return nil, []notch.Effect{notch.ToLanes{Body: b}}
	case notch.PeerUp:
		return p.onPeerUp(b.Hello), nil
	case notch.LaneLoad:
		return p.onLaneLoad(e.At, b)
	case notch.ShutdownStarted:
		return p.onShutdownStarted()
	case notch.MessageReceived:
		switch m := b.Message.(type) {
		case notch.EntryGrant:
			return p.onGrant(e.At, b.From, m)
		case notch.LeaderHint:
			return p.onLeaderHint(e.At, b.From, m)
		}
	}
	return nil, nil
}

// onShutdownStarted takes the slots from the lanes. Once they have confirmed that, the slots
// in use only become fewer, and the entry leaves.
func (p Entry) onShutdownStarted() (notch.Part, []notch.Effect) {
	p.stopping, p.grantedSlots = true, nil
	next, out := p.grantToLanes(nil)
	more := next.(Entry).leave()
	return next, append(out, more...)
}

// leave returns the slots to the leader, except for those that requests in flight still use.
// An attempt may outlast its request, and a backend server may work on it for longer than
// this process lasts.
func (p Entry) leave() []notch.Effect {
	if p.leader == "" || !p.lanesUpToDate() {
		return nil
	}
	inUse := p.slotAllocations(true)
	if len(inUse) == 0 {
		return []notch.Effect{notch.Send{To: p.leader, Message: notch.LeaveMessage{Incarnation: p.self.Incarnation}}}
	}
	return []notch.Effect{notch.Send{To: p.leader, Message: notch.EntryReport{
		Incarnation: p.self.Incarnation, Domain: p.self.Domain, Revision: p.revision,
		Term: p.term, Seq: p.grantSeq, Holds: inUse, Full: true, AcceptsChanges: true, Leaving: true,
	}}}
}

func (p Entry) onPeerUp(h notch.Hello) Entry {
	if h.Storage != 0 && !slices.Contains(p.knownReplicas, h.Daemon.Name) {
		p.knownReplicas = append(slices.Clip(p.knownReplicas), h.Daemon.Name)
	}
	return p
}

func (p Entry) onLeaderChanged(b notch.LeaderChanged) Entry {
	if b.Term < p.term {
		return p
	}
	if b.Term > p.term {
		p.grantSeq = 0
	}
	p.leader, p.term = b.Leader, b.Term
	return p
}

func (p Entry) tick(now notch.Time) (notch.Part, []notch.Effect) {
	var out []notch.Effect
	if p.leased && !now.Before(p.leaseEnd) {
		p.leased = false
		out = append(out, p.logMessage("lease ended: requests are refused until control answers"))
	}
	if now.Sub(p.reportedAt) >= p.reportInterval() {
		next, more := p.sendReport(now)
		p = next.(Entry)
		out = append(out, more...)
	}
	next, more := p.queryLeader(now)
	return next, append(out, more...)
}

// reportInterval returns the time between the reports of this entry while nothing changes. The more entries there are, the
// longer, as each report and its answer cost the leader as much as a call. An entry without a lease or a grant
// of the present leader doesn't wait longer.
func (p Entry) reportInterval() time.Duration {
	if !p.leased || p.grantSeq == 0 {
		return p.timing.ReportInterval
	}
	affordable := time.Duration(p.entryCount) * time.Second / time.Duration(p.timing.MaxReports)
	return max(p.timing.ReportInterval, min(affordable, p.timing.Lease/reportsPerLease))
}

func (p Entry) onLaneLoad(now notch.Time, b notch.LaneLoad) (notch.Part, []notch.Effect) {
	p.laneLoads = maps.Clone(p.laneLoads)
	if p.laneLoads == nil {
		p.laneLoads = map[int]notch.LaneLoad{}
	}
	p.laneLoads[b.Lane] = b
	if p.stopping {
		return p, p.leave()
	}
	total := 0
	for _, d := range p.totalDemand() {
		total += d.Slots
	}
	// Report at once when the demand has risen by more than a quarter, and early when
	// a lane has applied the last grant.
	if total > p.reportedDemand+p.reportedDemand/4 || b.Seq == p.laneSeq && now.Sub(p.reportedAt) >= p.timing.DivideInterval {
		return p.sendReport(now)
	}
	return p, nil
}

// totalDemand returns the demand of all lanes by pool.
func (p Entry) totalDemand() []notch.Demand {
	sum := map[string]int{}
	for _, l := range p.laneLoads {
		for _, d := range l.Demand {
			sum[d.Pool] += d.Slots
		}
	}
	var out []notch.Demand
	for _, pool := range slices.Sorted(maps.Keys(sum)) {
		out = append(out, notch.Demand{Pool: pool, Slots: sum[pool]})
	}
	return out
}

// slotAllocations returns the slots that the entry may use or has in use: all of them if
// full is set, else only those in use beyond the grant.
func (p Entry) slotAllocations(full bool) []notch.SlotAllocation {
	slots := map[notch.ServerID]int{}
	if full {
		maps.Copy(slots, p.grantedSlots)
	}
	for _, l := range p.laneLoads {
		for _, a := range l.InUse {
			if a.Slots > p.grantedSlots[a.Server] {
				slots[a.Server] = a.Slots
			}
		}
	}
	return allocationsOf(slots)
}

// allocationsOf lists the slots that aren't zero, sorted by backend server.
func allocationsOf(m map[notch.ServerID]int) []notch.SlotAllocation {
	var out []notch.SlotAllocation
	for _, id := range slices.Sorted(maps.Keys(m)) {
		if m[id] > 0 {
			out = append(out, notch.SlotAllocation{Server: id, Slots: m[id]})
		}
	}
	return out
}

// lanesUpToDate reports whether every lane has applied the last grant. From then on
// the slots in use don't grow beyond it.
func (p Entry) lanesUpToDate() bool {
	for _, l := range p.laneLoads {
		if l.Seq != p.laneSeq {
			return false
		}
	}
	return len(p.laneLoads) == p.laneCount
}

// sendReport sends the entry's demand and allocations to the leader. It sends nothing if
// no leader is known, if the entry is stopping, or if a lane has yet to apply the last
// grant.
func (p Entry) sendReport(now notch.Time) (notch.Part, []notch.Effect) {
	if p.leader == "" || p.stopping || !p.lanesUpToDate() {
		return p, nil
	}
	p = p.withoutLostSlots(now)
	p.reportedAt = now
	demand := p.totalDemand()
	p.reportedDemand = 0
	for _, d := range demand {
		p.reportedDemand += d.Slots
	}
	full := p.fullRequested || p.grantSeq == 0
	return p, []notch.Effect{notch.Send{To: p.leader, Message: notch.EntryReport{
		Incarnation: p.self.Incarnation, Domain: p.self.Domain, Revision: p.revision,
		Term: p.term, Seq: p.grantSeq, SentAt: now, Demand: demand, Holds: p.slotAllocations(full), Full: full,
		AcceptsChanges: true, LatestGrantFor: p.latestGrantFor,
	}}}
}

// withoutLostSlots drops the slots that the leader may have granted to others, as the lease
// and the requests sent under it have ended. A new leader would take them for the entry's own.
func (p Entry) withoutLostSlots(now notch.Time) Entry {
	if !now.Before(p.leaseEnd.Add(p.slotOccupancy)) {
		p.grantSeq, p.grantedSlots = 0, nil
	}
	return p
}

// accepts reports whether a grant applies to this incarnation and to the slots that
// the entry holds now.
func (p Entry) accepts(m notch.EntryGrant) bool {
	if m.Incarnation != p.self.Incarnation || m.Term < p.term {
		return false
	}
	if m.Base == 0 {
		return m.Term > p.term || m.Seq > p.grantSeq
	}
	return m.Term == p.term && m.Base == p.grantSeq
}

// revisionAfter returns the revision of the tables after those of grant m. It is less than the
// current one if tables that were sent before m were lost.
func (p Entry) revisionAfter(m notch.EntryGrant) uint64 {
	revision := p.revision
	if m.Tables != nil {
		revision = max(revision, m.Tables.Revision)
	}
	return notch.RevisionAfter(revision, m.Changes)
}

func (p Entry) onGrant(now notch.Time, from string, m notch.EntryGrant) (notch.Part, []notch.Effect) {
	if m.AskFull && m.Incarnation == p.self.Incarnation && m.Term >= p.term {
		p.fullRequested = true
		if m.Term > p.term {
			p.term, p.grantSeq = m.Term, 0
		}
		return p.sendReport(now)
	}
	if m.Incarnation == p.self.Incarnation {
		p.latestGrantFor = max(p.latestGrantFor, m.SentAt)
	}
	if p.stopping || !p.accepts(m) || p.revisionAfter(m) < m.Revision {
		return p, nil
	}
	var out []notch.Effect
	if m.Term > p.term || p.leader != from {
		p.leader = from
		if !p.self.Replica {
			out = append(out, notch.Emit{Body: notch.LeaderChanged{Leader: from, Term: m.Term}})
		}
	}
	renewal := m.Base != 0 && m.Seq == m.Base
	p.term, p.grantSeq, p.voters, p.fullRequested = m.Term, m.Seq, m.Voters, false
	p.leaseRequestedAt = m.SentAt
	p.leaseEnd = max(p.leaseEnd, m.SentAt.Add(m.Lease))
	p.noLeaderAt = nil
	if m.Tables != nil {
		out = append(out, notch.Emit{Body: notch.TablesReceived{Tables: *m.Tables}})
	}
	if len(m.Changes) > 0 {
		out = append(out, notch.Emit{Body: notch.TablesChanged{Changes: m.Changes}})
	}
	if !p.leased && now.Before(p.leaseEnd) {
		p.leased = true
		out = append(out, p.logMessage("holds a lease"))
	}
	p.entryCount = m.Entries
	if renewal {
		return p, append(out, notch.Emit{Body: notch.LeaseExtended{Until: p.leaseEnd}})
	}
	p.grantedSlots = slotsAfter(p.grantedSlots, m)
	return p.grantToLanes(out)
}

// slotsAfter returns the slots after grant m is applied to the old ones.
func slotsAfter(old map[notch.ServerID]int, m notch.EntryGrant) map[notch.ServerID]int {
	out := map[notch.ServerID]int{}
	if m.Base != 0 {
		maps.Copy(out, old)
	}
	for _, a := range m.Slots {
		if a.Slots == 0 {
			delete(out, a.Server)
		} else {
			out[a.Server] = a.Slots
		}
	}
	return out
}

// grantToLanes sends the granted slots to the lanes. It emits them, so that they follow
// the tables of the same grant, which were emitted before.
func (p Entry) grantToLanes(out []notch.Effect) (notch.Part, []notch.Effect) {
	p.laneSeq++
	slots := notch.SlotsGranted{Seq: p.laneSeq, Until: p.leaseEnd, Entries: p.entryCount, Slots: allocationsOf(p.grantedSlots)}
	return p, append(out, notch.Emit{Body: slots})
}

func (p Entry) logMessage(text string) notch.Effect {
	return notch.LogMessage{Text: text, Fields: []notch.LogField{{Name: "entry", Value: p.self.Name}}}
}
