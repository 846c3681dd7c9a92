package share

import (
	"slices"

	notch "tamaracknotch"
)

// formerServers lists the earlier incarnations of backend servers whose slots may still be in use,
// by the id of the present one. It is never modified. An entry that hasn't heard of the present
// incarnation sends requests under the slots of an earlier one, and the present one gets them if
// it has the same address.
//
// A leader needs those that it saw replaced itself: before that it treats the slots of every
// incarnation as taken for as long as a former leader's grants may last.
type formerServers map[notch.ServerID][]notch.ServerID

// afterChange returns f after the announced backend servers have changed.
func (f formerServers) afterChange(from, to []notch.BackendServer) formerServers {
	ids := map[string]notch.ServerID{}
	for _, b := range from {
		ids[b.Name] = b.ID()
	}
	out := formerServers{}
	for _, b := range to {
		id := b.ID()
		before, known := ids[b.Name]
		if !known {
			continue
		}
		former := f[before]
		if before != id {
			former = append(slices.Clip(former), before)
		}
		if len(former) > 0 {
			out[id] = former
		}
	}
	return out
}

// inUse returns f without the incarnations of which no entry may have slots in use.
func (f formerServers) inUse(slots func(notch.ServerID) int) formerServers {
	out := formerServers{}
	for id, former := range f {
		former = slices.DeleteFunc(slices.Clone(former), func(old notch.ServerID) bool { return slots(old) == 0 })
		if len(former) > 0 {
			out[id] = former
		}
	}
	return out
}

// slotsInUse returns the most slots of a backend server that all entries may have in use.
func (p Leader) slotsInUse(id notch.ServerID) int {
	n := 0
	for it := p.entries.Iterator(); !it.Done(); {
		_, e, _ := it.Next()
		n += e.maxInUse(id)
	}
	return n
}

// formerSlotsInUse returns the most slots of the earlier incarnations of a backend server that all
// entries may have in use.
func (p Leader) formerSlotsInUse(id notch.ServerID) int {
	n := 0
	for _, old := range p.former[id] {
		n += p.slotsInUse(old)
	}
	return n
}
