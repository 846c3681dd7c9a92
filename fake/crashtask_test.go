package fake

import (
	"fmt"
	"testing"
	"time"

	notch "tamaracknotch"
)

// crashingFlow is the id of the workflow whose task crashes each agent that starts it.
const crashingFlow = "deadly"

// newCrashTest returns a cluster with ten agents in two racks, on which the task of crashingFlow
// crashes each agent that starts it.
func newCrashTest(t *testing.T, seed uint64, newID bool) *workflowTest {
	w := newWorkflowTest(t, seed)
	for range 5 {
		w.agents = append(w.agents, w.addAgent(len(w.agents)))
	}
	for _, a := range w.agents {
		a.Crashes = func(ref notch.TaskRef) bool { return ref.Flow == crashingFlow && ref.Index == 0 }
		a.NewID = newID
	}
	return w
}

// submitOne submits a workflow of one stage.
func (w *workflowTest) submitOne(id string, st notch.Stage) {
	st.Estimate, st.Size = time.Second, notch.Resources{MilliCPU: 1000, MemoryMB: 500}
	w.ids = append(w.ids, id)
	w.submit(w.entries[0], notch.Workflow{ID: id, Route: "sort", Pool: "sorters", Spec: id, Stages: []notch.Stage{st}})
}

// submitNeighbours submits short workflows for a while, of which some share the agents of others.
func (w *workflowTest) submitNeighbours(d time.Duration) {
	for end := w.Now() + d; w.Now() < end; w.Run(500 * time.Millisecond) {
		w.submitOne(fmt.Sprintf("short%d", len(w.ids)), notch.Stage{Count: 4})
	}
}

// checkStates checks the states of all accepted workflows: crashingFlow as wanted, the others completed.
func (w *workflowTest) checkStates(t *testing.T, want notch.WorkflowState) {
	t.Helper()
	for _, id := range w.ids {
		want := want
		if id != crashingFlow {
			want = notch.WorkflowCompleted
		}
		got := notch.WorkflowState("unanswered")
		w.QueryWorkflow(w.entries[0], id, func(s notch.WorkflowState) { got = s })
		w.Run(100 * time.Millisecond)
		if got != want {
			t.Errorf("state of %s: got %q, want %q", id, got, want)
		}
	}
	for _, v := range w.Violations {
		t.Error(v)
	}
}

// A task crashed one agent after another until the end of the day, as no run that ended with its
// agent's incarnation counted against the task.
func TestTaskThatCrashesItsAgentsIsGivenUp(t *testing.T) {
	stages := map[string]notch.Stage{"short": {Count: 1}, "long-running": {Count: 1, Lasts: true}, "several": {Count: 6}}
	for name, st := range stages {
		for _, newID := range []bool{false, true} {
			for seed := range uint64(4) {
				t.Run(fmt.Sprintf("%s, new id %v, seed %d", name, newID, seed+1), func(t *testing.T) {
					t.Parallel()
					w := newCrashTest(t, seed+1, newID)
					w.submitOne(crashingFlow, st)
					w.submitNeighbours(10 * time.Second)
					w.Kill(w.leader(t))
					w.submitNeighbours(30 * time.Second)
					w.Run(30 * time.Second)
					w.checkStates(t, notch.WorkflowFailed)
				})
			}
		}
	}
}
