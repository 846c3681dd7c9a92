package share

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	notch "tamaracknotch"
)

// TestDivideDifferential checks both dividers against the rules for any divider: no
// backend server's row exceeds its slots, no share is negative, and all slots are
// assigned if there is an entry. Both dividers thus assign the same total.
func TestDivideDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := []string{"north", "south", "west"}
		var servers []notch.ServerShare
		total := 0
		for i := range rapid.IntRange(0, 20).Draw(t, "servers") {
			slots := rapid.IntRange(0, 12).Draw(t, "slots")
			total += slots
			servers = append(servers, notch.ServerShare{Server: notch.ServerID(fmt.Sprint("s", i)), Domain: domains[i%3], Slots: slots})
		}
		var entries []notch.EntryShare
		for i := range rapid.IntRange(1, 9).Draw(t, "entries") {
			e := notch.EntryShare{Entry: fmt.Sprint("e", i), Domain: rapid.SampledFrom(domains).Draw(t, "domain"), Demand: rapid.IntRange(0, 300).Draw(t, "demand")}
			for range servers {
				e.Held = append(e.Held, rapid.IntRange(0, 8).Draw(t, "held"))
			}
			entries = append(entries, e)
		}
		for _, d := range []notch.Divider{Equal{}, ByDemand{FloorDivisor: DefaultFloorDivisor}} {
			if got := sumAndCheck(t, d.Divide(servers, entries), servers); got != total {
				t.Fatalf("%T: got %d slots, want %d", d, got, total)
			}
		}
	})
}

// sumAndCheck checks each row against the slots of its server and returns the total.
func sumAndCheck(t *rapid.T, rows [][]int, servers []notch.ServerShare) (sum int) {
	for i, row := range rows {
		n := 0
		for _, k := range row {
			if k < 0 {
				t.Fatalf("server %d: got %v, want no negative share", i, row)
			}
			n += k
		}
		if n > servers[i].Slots {
			t.Fatalf("server %d: got %v, want at most %d", i, row, servers[i].Slots)
		}
		sum += n
	}
	return sum
}

func TestDivideFollowsDemand(t *testing.T) {
	servers := []notch.ServerShare{{Server: "s1", Domain: "north", Slots: 8}, {Server: "s2", Domain: "south", Slots: 8}}
	cases := []struct {
		name    string
		demands [2]int
		want    [2]int // slots per entry
		local   [2]int // of these, slots in the entry's failure domain
	}{
		{"no demand", [2]int{0, 0}, [2]int{8, 8}, [2]int{8, 8}},
		{"one entry needs few slots", [2]int{4, 0}, [2]int{10, 6}, [2]int{8, 6}},
		{"one entry needs more than all slots", [2]int{100, 0}, [2]int{15, 1}, [2]int{8, 1}},
		{"both entries need more than all slots", [2]int{100, 100}, [2]int{8, 8}, [2]int{8, 8}},
	}
	for _, c := range cases {
		entries := []notch.EntryShare{{Entry: "a", Domain: "north", Demand: c.demands[0]}, {Entry: "b", Domain: "south", Demand: c.demands[1]}}
		rows := ByDemand{FloorDivisor: DefaultFloorDivisor}.Divide(servers, entries)
		got := [2]int{rows[0][0] + rows[1][0], rows[0][1] + rows[1][1]}
		local := [2]int{rows[0][0], rows[1][1]}
		if got != c.want || local != c.local {
			t.Errorf("%s: got %v, local %v, want %v, local %v", c.name, got, local, c.want, c.local)
		}
	}
}
