package fake

import (
	"fmt"
	"testing"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/drive"
)

// newLeaseTest returns a cluster whose agents each run a long-running task, and short tasks beside
// it.
func newLeaseTest(t *testing.T) *workflowTest {
	w := newWorkflowTest(t, 1)
	short := notch.Stage{Count: 1, Estimate: time.Second, Size: notch.Resources{MilliCPU: 3000, MemoryMB: 500}}
	long := notch.Stage{Count: len(w.agents), Lasts: true, PerAgent: 1, Size: notch.Resources{MilliCPU: 500, MemoryMB: 500}}
	w.submit(w.entries[0], notch.Workflow{ID: "long", Route: "sort", Pool: "sorters", Spec: "long", Stages: []notch.Stage{long}})
	for i := range 40 {
		id := fmt.Sprintf("short%d", i)
		w.submit(w.entries[0], notch.Workflow{ID: id, Route: "sort", Pool: "sorters", Spec: id, Stages: []notch.Stage{short}})
		w.Run(250 * time.Millisecond)
	}
	w.checkLongRuns(t, 1)
	return w
}

// checkLongRuns checks that every long-running task runs, and that it is the wanted run.
func (w *workflowTest) checkLongRuns(t *testing.T, want uint64) {
	t.Helper()
	runs := 0
	for _, a := range w.agents {
		for ref := range a.runs {
			if ref.Task.Flow != "long" {
				continue
			}
			runs++
			if got := ref.Number; got != want {
				t.Errorf("at %v: %s runs %v as run %d, want run %d", w.Now(), a.ID, ref.Task, got, want)
			}
		}
	}
	if got, want := runs, len(w.agents); got != want {
		t.Errorf("at %v: long-running tasks that run: got %d, want %d", w.Now(), got, want)
	}
}

// leader returns the leading replica.
func (w *workflowTest) leader(t *testing.T) *drive.Node {
	t.Helper()
	for _, n := range w.Up() {
		if w.IsLeader(n) {
			return n
		}
	}
	t.Fatalf("at %v: no replica leads", w.Now())
	return nil
}

// Runs ended with their agents' leases after a change of the leader, because the new leader
// granted no lease before it had an answer, and the first answers were lost or late.
func TestNewLeaderRenewsLeasesWithoutAnswer(t *testing.T) {
	w := newLeaseTest(t)
	w.Kill(w.leader(t))
	up := w.Up()
	w.Cut(up[0].Self.Name, up[1].Self.Name)
	w.Cut(up[1].Self.Name, up[0].Self.Name)
	for _, a := range w.agents {
		a.AnswersLost = true
	}
	w.Run(2600 * time.Millisecond) // leases last for 4 to 5 s
	w.Heal()
	w.Run(time.Second)
	w.leader(t)
	w.Run(time.Second)
	for _, a := range w.agents {
		a.AnswersLost = false
	}
	w.Run(10 * time.Second)
	w.checkLongRuns(t, 1)
	if len(w.Violations) > 0 {
		t.Error(w.Violations)
	}
}

// A new leader's first order granted a lease by the clock of an agent's earlier incarnation, which
// the next one under the same id takes as its own time. The leader doesn't count this lease, so it
// gave up the runs of an agent that was cut off soon after, and started them elsewhere meanwhile.
func TestNewLeaderGrantsRestartedAgentsNoLongerLease(t *testing.T) {
	w := newWorkflowTest(t, 1)
	size := notch.Resources{MilliCPU: 500, MemoryMB: 500}
	short := notch.Stage{Count: len(w.agents), PerAgent: 1, Estimate: time.Second, Size: size}
	w.submit(w.entries[0], notch.Workflow{ID: "short", Route: "sort", Pool: "sorters", Spec: "short", Stages: []notch.Stage{short}})
	w.Run(6 * time.Second) // the agents' clocks are committed with the ends of the runs
	w.Kill(w.leader(t))
	for _, a := range w.agents {
		w.KillAgent(a)
	}
	w.Run(500 * time.Millisecond)
	for _, a := range w.agents {
		w.StartAgent(a)
	}
	w.Run(2 * time.Second)
	long := notch.Stage{Count: len(w.agents), Lasts: true, Size: size}
	w.submit(w.entries[0], notch.Workflow{ID: "long", Route: "sort", Pool: "sorters", Spec: "long", Stages: []notch.Stage{long}})
	w.Run(time.Second)
	w.checkLongRuns(t, 1)
	w.agents[0].CutOff = true
	w.Run(10 * time.Second)
	if len(w.Violations) > 0 {
		t.Error(w.Violations)
	}
}
