package flow

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	notch "tamaracknotch"
	"tamaracknotch/graph"
)

// TestDerivedDifferential compares the data derived from the workflows with that of a part restored
// from a snapshot, while workflows are submitted and cancelled and their runs are placed and end.
func TestDerivedDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestLeader(2)
		for n := range 40 {
			s.advance(time.Minute)
			s.commit(drawCommand(t, s.part(), n))
			if got, want := derived(s.part()), derived(restored(s.part())); got != want {
				t.Fatalf("step %d: got derived data\n%s\nwant\n%s", n, got, want)
			}
		}
	})
}

func (s *testLeader) part() Part { return s.state.Parts()[0].(Part) }

// drawCommand draws a command that the part can apply; n is unique.
func drawCommand(t *rapid.T, p Part, n int) notch.Command {
	var placeable []notch.RunPlacement
	var runs []notch.RunRef
	life := notch.AgentIncarnation{Agent: rapid.SampledFrom([]string{"w0", "w1"}).Draw(t, "agent"), Born: 1}
	for it := p.waiting.Iterator(); !it.Done(); {
		id, _, _ := it.Next()
		w, _ := p.workflows.Get(id)
		for g := range w.GroupCount() {
			w.EachWaiting(g, func(ref notch.TaskRef, t notch.WorkflowTask) bool {
				placeable = append(placeable, notch.RunPlacement{Task: ref, After: t.Latest, Life: life})
				return true
			})
		}
	}
	load := p.load(life.Agent)
	for _, r := range load.runs {
		runs = append(runs, r.ref)
	}
	switch kind := rapid.IntRange(0, 9).Draw(t, "kind"); {
	case kind < 4 && len(placeable) > 0:
		return notch.PlaceRuns{Token: 2, Placements: []notch.RunPlacement{rapid.SampledFrom(placeable).Draw(t, "placement")}}
	case kind < 8 && len(runs) > 0:
		ends := []notch.RunEndKind{notch.RunDone, notch.RunFailed, notch.RunStopped}
		end := notch.RunEnd{Run: rapid.SampledFrom(runs).Draw(t, "run"), Kind: rapid.SampledFrom(ends).Draw(t, "end")}
		return notch.EndRuns{Life: life, Ends: []notch.RunEnd{end}}
	case kind == 8:
		return notch.CancelWorkflow{ID: fmt.Sprint("f", rapid.IntRange(0, n).Draw(t, "cancelled"))}
	}
	size := notch.Resources{MilliCPU: rapid.Int64Range(1, 9).Draw(t, "milli-cpu"), MemoryMB: 1}
	return notch.SubmitWorkflow{Flow: notch.Workflow{ID: fmt.Sprint("f", n), Route: "r", Stages: []notch.Stage{
		{Count: rapid.IntRange(1, 2).Draw(t, "count"), Size: size, Fills: rapid.Bool().Draw(t, "opportunistic")},
		{Count: 1, Size: size, After: []int{0}, Target: time.Second},
	}}}
}

// restored returns a part with the replicated state of p.
func restored(p Part) Part {
	next, _ := New(notch.Daemon{Name: "a"}).Step(notch.Event{Body: notch.Restored{Snapshot: notch.Snapshot{Images: []notch.PartSnapshot{p.Snapshot()}}}})
	return next.(Part)
}

// derived formats the derived data of a part.
func derived(p Part) string {
	var out strings.Builder
	queued, _ := p.queuedByRoute.Get("r")
	fmt.Fprintf(&out, "active %d, queued %d\n", p.active, queued)
	for it := p.waiting.Iterator(); !it.Done(); {
		id, _, _ := it.Next()
		w, _ := p.workflows.Get(id)
		fmt.Fprintf(&out, "%s waits: %v\n", id, waitingByGroup(w))
	}
	for _, id := range []string{"w0", "w1"} {
		l := p.load(id)
		var refs []notch.RunRef
		for _, r := range l.runs {
			refs = append(refs, r.ref)
		}
		slices.SortFunc(refs, compareRunRefs)
		fmt.Fprintf(&out, "%s: runs %v, reserved %v, opportunistic %d, services %d\n", id, refs, l.reserved, l.opportunisticMilliCPU, l.serviceMilliCPU)
	}
	return out.String()
}

func waitingByGroup(w *graph.Workflow) []int {
	var out []int
	for g := range w.GroupCount() {
		out = append(out, w.Waiting(g))
	}
	return out
}

// TestRoutesByName compares the index of routes with look-ups in the tables.
func TestRoutesByName(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tables notch.Tables
		for i := range rapid.IntRange(0, 8).Draw(t, "routes") {
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
			tables.Routes = append(tables.Routes, notch.Route{Name: name, Priority: i})
		}
		index := routesByName(tables)
		for _, name := range []string{"a", "b", "c", "d"} {
			got, gotOK := index[name]
			want, wantOK := tables.Route(name)
			if got != want || gotOK != wantOK {
				t.Fatalf("route %s of %v: got %v %t, want %v %t", name, tables.Routes, got, gotOK, want, wantOK)
			}
		}
	})
}
