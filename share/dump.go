package share

import ()

// EntryDump is the state of an entry's lease in GET /v1/state.
type EntryDump struct {
	Part     string         `json:"part"`
	Leader   string         `json:"leader,omitempty"`
	Term     uint64         `json:"term"`
	Grant    uint64         `json:"grant"`
	Revision uint64         `json:"revision"`
	Leased   bool           `json:"leased"`
	Slots    map[string]int `json:"slots"`
}

// Dump implements [notch.Dumper].
func (p Entry) Dump() any {
	s := EntryDump{
		Part: "share-entry", Leader: p.leader, Term: p.term, Grant: p.grantSeq, Revision: p.revision, Leased: p.leased,
		Slots: map[string]int{},
	}
	for id, n := range p.grantedSlots {
		s.Slots[string(id)] = n
	}
	return s
}

// LeaderDump is the leader's state of the entries' leases in GET /v1/state.
type LeaderDump struct {
	Part    string      `json:"part"`
	Leading bool        `json:"leading"`
	Entries []GrantDump `json:"entries,omitempty"`
}

// GrantDump is the leader's state of one entry.
type GrantDump struct {
	Entry    string         `json:"entry"`
	Revision uint64         `json:"revision"`
	Grant    uint64         `json:"grant"`
	Pending  int            `json:"grants-not-acknowledged"`
	Demand   map[string]int `json:"demand"`
	Slots    int            `json:"slots"`
}

// Dump implements [notch.Dumper].
func (p Leader) Dump() any {
	s := LeaderDump{Part: "share-leader", Leading: p.leadership.Leading}
	for it := p.entries.Iterator(); !it.Done(); {
		key, e, _ := it.Next()
		g := GrantDump{Entry: key, Revision: e.revision, Grant: e.seq, Pending: len(e.pending), Demand: e.demand}
		for _, n := range e.reported {
			g.Slots += n
		}
		s.Entries = append(s.Entries, g)
	}
	return s
}
