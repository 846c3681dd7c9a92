package share

import (
	"slices"

	notch "tamaracknotch"
)

// Equal divides each backend server's slots evenly, whatever the demand. It is
// the naive baseline.
type Equal struct{}

// Divide implements [notch.Divider].
func (Equal) Divide(servers []notch.ServerShare, entries []notch.EntryShare) [][]int {
	out := grid(len(servers), len(entries))
	if len(entries) == 0 {
		return out
	}
	for i, s := range servers {
		for k := range s.Slots {
			// The remainder goes to other entries at each server.
			out[i][(i+k)%len(entries)]++
		}
	}
	return out
}

// ByDemand divides a pool's slots in proportion to the entries' demand, with a
// floor for entries without any, and prefers entries in the backend server's
// failure domain.
type ByDemand struct {
	// Floor is the part of the pool, in parts of 1/Floor, that is divided
	// evenly, so that an entry can begin to send before its demand is known.
	Floor int
}

// DefaultFloor reserves an eighth of a pool.
const DefaultFloor = 8

// Divide implements [notch.Divider].
func (d ByDemand) Divide(servers []notch.ServerShare, entries []notch.EntryShare) [][]int {
	out := grid(len(servers), len(entries))
	need := d.quotas(servers, entries)
	if keeps(servers, entries, need) {
		for i := range servers {
			for j, e := range entries {
				out[i][j] = e.Held[i]
			}
		}
		return out
	}
	used := make([]int, len(servers))
	local := func(i, j int) bool { return servers[i].Domain == entries[j].Domain }
	// A slot that changes hands is idle meanwhile, so holders come first.
	held := func(i, j int) bool { return i < len(entries[j].Held) && out[i][j] < entries[j].Held[i] }
	assign(servers, out, need, used, func(i, j int) bool { return local(i, j) && held(i, j) })
	assign(servers, out, need, used, local)
	assign(servers, out, need, used, held)
	assign(servers, out, need, used, func(int, int) bool { return true })
	return out
}

// tolerance is the part of what an entry holds, 1 in so many, by which it may
// differ from its due without a new division: a slot that changes hands is idle
// for as long as a report takes, and demands are noisy.
const tolerance = 4

// keeps reports whether the present division uses every slot and is close enough to
// what is due.
func keeps(servers []notch.ServerShare, entries []notch.EntryShare, due []int) bool {
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
		off := held - due[j]
		if max(off, -off) > max(1, held/tolerance) {
			return false
		}
	}
	return len(servers) > 0
}

// quotas returns the slots due to each entry over the whole pool.
func (d ByDemand) quotas(servers []notch.ServerShare, entries []notch.EntryShare) []int {
	total, demand := 0, 0
	for _, s := range servers {
		total += s.Slots
	}
	for _, e := range entries {
		demand += e.Demand
	}
	n := len(entries)
	quotas := make([]int, n)
	if n == 0 {
		return quotas
	}
	left := total
	if demand <= total {
		// What nobody asks for now is divided evenly: anybody may need it next.
		for j, e := range entries {
			quotas[j] = e.Demand + (total-demand)/n
		}
		left -= demand + (total-demand)/n*n
	} else {
		even := total / max(d.Floor, 1)
		for j, e := range entries {
			quotas[j] = even/n + (total-even)*e.Demand/demand
			left -= quotas[j]
		}
	}
	// Rounding leaves a few slots; they go round the entries.
	for j := 0; left > 0; j = (j + 1) % n {
		quotas[j]++
		left--
	}
	return quotas
}

// assign gives free slots to the allowed entry with the largest need left, one
// slot of each backend server at a time, so that an entry's slots are spread.
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

func grid(rows, columns int) [][]int {
	cells := make([]int, rows*columns)
	out := make([][]int, rows)
	for i := range out {
		out[i] = slices.Clip(cells[i*columns : (i+1)*columns])
	}
	return out
}

// New returns the named divider.
func New(name string) (notch.Divider, bool) {
	switch name {
	case "demand":
		return ByDemand{Floor: DefaultFloor}, true
	case "equal":
		return Equal{}, true
	}
	return nil, false
}

// Names lists the dividers, the default first.
func Names() []string { return []string{"demand", "equal"} }
