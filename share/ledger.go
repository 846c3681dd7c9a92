package share

import (
	"maps"
	"slices"

	notch "tamaracknotch"
)

// entry is what the leader knows of one incarnation of an entry.
type entry struct {
	name     string
	domain   string
	revision uint64
	until    notch.Time             // the lease, with drift, by the leader's clock
	gone     notch.Time             // when nothing that it began can still be in flight
	seq      uint64                 // of the last grant sent
	current  sentGrant              // the grant that the entry obeys
	acked    map[notch.ServerID]int // what it reported; never modified
	exact    bool                   // acked is what current granted
	pending  []sentGrant            // not yet acknowledged, oldest first
	demand   map[string]int
	version  uint64 // of the leader's inputs when the last grant was made
}

type sentGrant struct {
	seq   uint64
	slots map[notch.ServerID]int // never modified
}

// atMost returns the slots of a backend server that the entry may have in use.
func (e entry) atMost(id notch.ServerID) int {
	n := e.acked[id]
	for _, g := range e.pending {
		n = max(n, g.slots[id])
	}
	return n
}

// withReport returns e after a report; news says that the slots or the demand are
// others than before. It is false if the report builds on a grant that the leader
// doesn't know.
func (e entry) withReport(m notch.EntryReport) (next entry, news, ok bool) {
	base, known := e.grantOf(m.Seq)
	if !m.Full && !known {
		return e, false, false
	}
	// An entry that was forgotten meanwhile goes on with its own numbers.
	e.seq = max(e.seq, m.Seq)
	exact := !m.Full && len(m.Holds) == 0
	news = !exact || !e.exact || e.current.seq != m.Seq
	e.current, e.exact = sentGrant{m.Seq, base}, exact
	if exact {
		e.acked = base
	} else {
		e.acked = map[notch.ServerID]int{}
		if !m.Full {
			maps.Copy(e.acked, base)
		}
		for _, h := range m.Holds {
			e.acked[h.Server] = h.Slots
		}
	}
	if m.Full {
		e.current.slots = e.acked
	}
	e.pending = slices.DeleteFunc(slices.Clone(e.pending), func(g sentGrant) bool { return g.seq <= m.Seq })
	demand := e.demandAfter(m.Demand)
	news = news || !maps.Equal(demand, e.demand)
	e.demand = demand
	return e, news, true
}

func (e entry) grantOf(seq uint64) (map[notch.ServerID]int, bool) {
	if e.current.seq == seq && e.current.slots != nil {
		return e.current.slots, true
	}
	i := slices.IndexFunc(e.pending, func(g sentGrant) bool { return g.seq == seq })
	if i < 0 {
		return nil, false
	}
	return e.pending[i].slots, true
}

// demandDecay slows the fall of a demand to a part in so many a report, while it
// rises at once, so that slots don't go to and fro with the noise.
const demandDecay = 8

func (e entry) demandAfter(ds []notch.Demand) map[string]int {
	out := map[string]int{}
	for _, d := range ds {
		old := e.demand[d.Pool]
		fall := (old + demandDecay - 1) / demandDecay
		out[d.Pool] = max(d.Slots, old-fall)
	}
	return out
}
