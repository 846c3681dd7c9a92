package share

import (
	"maps"
	"slices"

	notch "tamaracknotch"
)

// entryRecord is the leader's record of one incarnation of an entry.
type entryRecord struct {
	name         string
	incarnation  uint64
	domain       string
	revision     uint64
	leaseEnd     notch.Time             // by the leader's clock, with an allowance for drift
	drainedAt    notch.Time             // when every request that it may have started has ended
	seq          uint64                 // of the last grant sent
	applied      sentGrant              // the grant that the entry last reported as applied
	reported     map[notch.ServerID]int // slots that the entry may use or has in use by its last report; the map is never modified
	asGranted    bool                   // reported equals the slots of applied
	pending      []sentGrant            // not yet acknowledged, oldest first
	demand       map[string]int         // smoothed, in slots by pool
	leaving      bool                   // the entry has left; it only holds the slots of its requests in flight
	inputVersion uint64                 // Leader.inputVersion at the last grant; zero: check again

	sentRevision uint64     // of the tables after the changes that are on their way; zero: none are
	sentFor      notch.Time // SentAt of the report that was answered with the last of them
}

// sentGrant is a grant that was sent to an entry.
type sentGrant struct {
	seq   uint64
	slots map[notch.ServerID]int // the map is never modified
}

// maxInUse returns the most slots of a backend server that the entry may have in use.
func (e *entryRecord) maxInUse(id notch.ServerID) int {
	n := e.reported[id]
	for _, g := range e.pending {
		n = max(n, g.slots[id])
	}
	return n
}

// withReport returns e after a report. changed reports whether the slots or the
// demand differ from before. ok is false if the report refers to a grant that the
// leader doesn't know.
func (e entryRecord) withReport(m notch.EntryReport) (next entryRecord, changed, ok bool) {
	base, known := e.slotsOfGrant(m.Seq)
	if !m.Full && !known {
		return e, false, false
	}
	// If the leader dropped the record meanwhile, the numbering continues from the
	// entry's own sequence number.
	e.seq = max(e.seq, m.Seq)
	asGranted := !m.Full && len(m.Holds) == 0
	changed = !asGranted || !e.asGranted || e.applied.seq != m.Seq
	e.applied, e.asGranted = sentGrant{m.Seq, base}, asGranted
	if asGranted {
		e.reported = base
	} else {
		e.reported = map[notch.ServerID]int{}
		if !m.Full {
			maps.Copy(e.reported, base)
		}
		for _, a := range m.Holds {
			e.reported[a.Server] = a.Slots
		}
	}
	if m.Full {
		e.applied.slots = e.reported
	}
	e.pending = slices.DeleteFunc(slices.Clone(e.pending), func(g sentGrant) bool { return g.seq <= m.Seq })
	demand := e.smoothedDemand(m.Demand)
	changed = changed || !maps.Equal(demand, e.demand)
	e.demand = demand
	return e, changed, true
}

// withLeaving returns e after the entry has left with some slots still in use.
func (e entryRecord) withLeaving(inUse []notch.SlotAllocation) entryRecord {
	e.leaving, e.asGranted, e.pending, e.demand = true, false, nil, nil
	e.reported = map[notch.ServerID]int{}
	for _, a := range inUse {
		e.reported[a.Server] = a.Slots
	}
	return e
}

// withRevision returns e after a report of the tables in force. If the grant with the last
// changes has arrived and the tables are still older, changes were lost.
func (e entryRecord) withRevision(m notch.EntryReport) entryRecord {
	e.revision = m.Revision
	if e.revision >= e.sentRevision || m.LatestGrantFor >= e.sentFor {
		return e.withChangesLost()
	}
	return e
}

// withChangesLost returns e without changes on their way.
func (e entryRecord) withChangesLost() entryRecord {
	e.sentRevision, e.sentFor = 0, 0
	return e
}

// withChangesSent returns e after changes were sent in answer to report m.
func (e entryRecord) withChangesSent(revision uint64, m notch.EntryReport) entryRecord {
	e.sentRevision, e.sentFor = revision, m.SentAt
	return e
}

func (e entryRecord) slotsOfGrant(seq uint64) (map[notch.ServerID]int, bool) {
	if e.applied.seq == seq && e.applied.slots != nil {
		return e.applied.slots, true
	}
	i := slices.IndexFunc(e.pending, func(g sentGrant) bool { return g.seq == seq })
	if i < 0 {
		return nil, false
	}
	return e.pending[i].slots, true
}

// demandDecayDivisor limits how fast the demand falls: by at most 1/demandDecayDivisor
// per report. A rise counts at once. This keeps noise from moving slots back and forth
// between entries.
const demandDecayDivisor = 8

func (e entryRecord) smoothedDemand(ds []notch.Demand) map[string]int {
	out := map[string]int{}
	for _, d := range ds {
		old := e.demand[d.Pool]
		maxFall := (old + demandDecayDivisor - 1) / demandDecayDivisor
		out[d.Pool] = max(d.Slots, old-maxFall)
	}
	return out
}
