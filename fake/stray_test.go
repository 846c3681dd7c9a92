package fake

import (
	"testing"
	"time"

	notch "tamaracknotch"
)

// Guards against an agent that was brought over its size: a run that it had started by a late order to
// its earlier incarnation was being stopped, and its room was given away at once.
func TestStrayRunKeepsItsRoom(t *testing.T) {
	w := newWorkflowTest(t, 1)
	for _, x := range w.agents[1:] {
		w.KillAgent(x)
	}
	x := w.agents[0]
	x.Unguarded = true
	submit := func(id string) {
		stage := notch.Stage{Count: 1, Estimate: time.Second, Size: notch.Resources{MilliCPU: 3000, MemoryMB: 500}}
		w.submit(w.entries[0], notch.Workflow{ID: id, Route: "sort", Pool: "sorters", Spec: id, Stages: []notch.Stage{stage}})
	}
	submit("f0")
	w.Run(20 * time.Second)
	w.KillAgent(x)
	submit("f1")
	w.Run(10 * time.Second)
	w.StartAgent(x)
	stray := notch.RunRef{Task: notch.TaskRef{Flow: "f0"}, Number: 7}
	x.runs[stray], x.leaseEnd = &agentRun{startedAt: w.Now()}, maxAgentLease.Milliseconds()
	w.workflowChecker.activeRuns[stray.Task]++
	w.Run(30 * time.Second)
	for _, v := range w.Violations {
		t.Error(v)
	}
	if x.runs[stray] != nil {
		t.Error("the run that shouldn't be live goes on")
	}
	if !w.workflowChecker.allTasksDone("f1") {
		t.Error("f1 isn't done, want that it is placed once the room is free")
	}
}
