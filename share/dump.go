package share

import (
	"maps"
	"slices"
)

// EntryState is what an entry shows of its lease.
type EntryState struct {
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
	s := EntryState{
		Part: "share-entry", Leader: p.leader, Term: p.term, Grant: p.seq, Revision: p.revised, Leased: p.leased,
		Slots: map[string]int{},
	}
	for id, n := range p.caps {
		s.Slots[string(id)] = n
	}
	return s
}

// LeaderState is what a leader shows of the entries.
type LeaderState struct {
	Part    string         `json:"part"`
	Leading bool           `json:"leading"`
	Entries []GrantedState `json:"entries,omitempty"`
}

// GrantedState is what a leader knows of one entry.
type GrantedState struct {
	Entry    string         `json:"entry"`
	Revision uint64         `json:"revision"`
	Grant    uint64         `json:"grant"`
	Pending  int            `json:"grants-not-acknowledged"`
	Demand   map[string]int `json:"demand"`
	Slots    int            `json:"slots"`
}

// Dump implements [notch.Dumper].
func (p Leader) Dump() any {
	s := LeaderState{Part: "share-leader", Leading: p.leading.Leading}
	for _, key := range slices.Sorted(maps.Keys(p.entries)) {
		e := p.entries[key]
		g := GrantedState{Entry: key, Revision: e.revision, Grant: e.seq, Pending: len(e.pending), Demand: e.demand}
		for _, n := range e.acked {
			g.Slots += n
		}
		s.Entries = append(s.Entries, g)
	}
	return s
}
