package share

import (
	"slices"

	notch "tamaracknotch"
)

// Equal divides each backend server's slots evenly and ignores the demand. It is
// the naive baseline.
type Equal struct{}

// Divide implements [notch.Divider].
func (Equal) Divide(servers []notch.ServerShare, entries []notch.EntryShare) [][]int {
	out := newMatrix(len(servers), len(entries))
	if len(entries) == 0 {
		return out
	}
	for i, s := range servers {
		for k := range s.Slots {
			// Start at another entry for each server, so that the remainders are
			// spread over the entries.
			out[i][(i+k)%len(entries)]++
		}
	}
	return out
}

// ByDemand divides a pool's slots in proportion to the entries' demand, with a
// floor for entries without any, and prefers entries in the backend server's
// failure domain.
type ByDemand struct {
	// FloorDivisor sets the fraction 1/FloorDivisor of a pool's slots that is divided evenly
	// when the demand exceeds the pool, so that an entry can send requests before
	// its demand is known.
	FloorDivisor int
}

// DefaultFloorDivisor divides an eighth of a pool evenly.
const DefaultFloorDivisor = 8

// Divide implements [notch.Divider].
func (d ByDemand) Divide(servers []notch.ServerShare, entries []notch.EntryShare) [][]int {
	out := newMatrix(len(servers), len(entries))
	quotas := d.quotas(servers, entries)
	if withinTolerance(servers, entries, quotas) {
		for i := range servers {
			for j, e := range entries {
				out[i][j] = e.Held[i]
			}
		}
		return out
	}
	used := make([]int, len(servers))
	local := func(i, j int) bool { return servers[i].Domain == entries[j].Domain }
	// A slot is idle while it moves to another entry, so entries that hold slots
	// take precedence.
	held := func(i, j int) bool { return i < len(entries[j].Held) && out[i][j] < entries[j].Held[i] }
	assign(servers, out, quotas, used, func(i, j int) bool { return local(i, j) && held(i, j) })
	assign(servers, out, quotas, used, local)
	assign(servers, out, quotas, used, held)
	assign(servers, out, quotas, used, func(int, int) bool { return true })
	return out
}

// toleranceDivisor limits how far the slots that an entry holds may deviate from
// its quota without a new division: by at most held/toleranceDivisor slots, or by 1.
// A slot that moves to another entry is idle until the next report, and the demand
// is noisy.
const toleranceDivisor = 4

// withinTolerance reports whether the current division uses every slot and deviates
// from the quotas by no more than the tolerance.
func withinTolerance(servers []notch.ServerShare, entries []notch.EntryShare, quotas []int) bool {
	for i, s := range servers {
		sum := 0
		for _, e := range entries {
			if i >= len(e.Held) {
				return false
			}
			sum += e.Held[i]
		}
		if sum != s.Slots {
			return false
		}
	}
	for j, e := range entries {
		held := 0
		for _, n := range e.Held {
			held += n
		}
		deviation := held - quotas[j]
		if max(deviation, -deviation) > max(1, held/toleranceDivisor) {
			return false
		}
	}
	return len(servers) > 0
}

// quotas returns the number of slots that each entry gets in the whole pool.
func (d ByDemand) quotas(servers []notch.ServerShare, entries []notch.EntryShare) []int {
	totalSlots, totalDemand := 0, 0
	for _, s := range servers {
		totalSlots += s.Slots
	}
	for _, e := range entries {
		totalDemand += e.Demand
	}
	n := len(entries)
	quotas := make([]int, n)
	if n == 0 {
		return quotas
	}
	unassigned := totalSlots
	if totalDemand <= totalSlots {
		// Slots beyond the demand are divided evenly, as any entry may need them next.
		for j, e := range entries {
			quotas[j] = e.Demand + (totalSlots-totalDemand)/n
		}
		unassigned -= totalDemand + (totalSlots-totalDemand)/n*n
	} else {
		floorSlots := totalSlots / max(d.FloorDivisor, 1)
		for j, e := range entries {
			quotas[j] = floorSlots/n + (totalSlots-floorSlots)*e.Demand/totalDemand
			unassigned -= quotas[j]
		}
	}
	// Slots left over by rounding go to the entries in turn.
	for j := 0; unassigned > 0; j = (j + 1) % n {
		quotas[j]++
		unassigned--
	}
	return quotas
}

// assign gives each free slot to the allowed entry with the largest remaining need.
// It takes one slot of each backend server in turn, so that an entry's slots are
// spread over the servers.
func assign(servers []notch.ServerShare, out [][]int, need, used []int, allowed func(i, j int) bool) {
	for progress := true; progress; {
		progress = false
		for i, s := range servers {
			if used[i] >= s.Slots {
				continue
			}
			best := -1
			for j := range need {
				if need[j] > 0 && allowed(i, j) && (best < 0 || need[j] > need[best]) {
					best = j
				}
			}
			if best < 0 {
				continue
			}
			out[i][best]++
			need[best]--
			used[i]++
			progress = true
		}
	}
}

// newMatrix returns a matrix of zeros.
func newMatrix(rows, columns int) [][]int {
	cells := make([]int, rows*columns)
	out := make([][]int, rows)
	for i := range out {
		out[i] = slices.Clip(cells[i*columns : (i+1)*columns])
	}
	return out
}

// New returns the divider with the given name.
func New(name string) (notch.Divider, bool) {
	switch name {
	case "demand":
		return ByDemand{FloorDivisor: DefaultFloorDivisor}, true
	case "equal":
		return Equal{}, true
	}
	return nil, false
}

// Names lists the names that New accepts, the default first.
func Names() []string { return []string{"demand", "equal"} }
