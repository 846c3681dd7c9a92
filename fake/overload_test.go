package fake

import (
	"fmt"
	"strings"
	"testing"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/drive"
)

// slowStepTime is the time of steps with which a leader of 350 agents can't keep up.
func slowStepTime(_ *drive.Node, b notch.Body, _ []notch.Effect) time.Duration {
	switch b.(type) {
	case notch.Tick, notch.Flush:
		return 8 * time.Millisecond
	}
	return 1500 * time.Microsecond
}

// A leader with more work than it could do lost contact with its quorum right after a burst of
// workflows, and so did each leader after it.
func TestOverloadedLeaderKeepsLeading(t *testing.T) {
	w := newWorkflowTest(t, 1)
	for i := range 345 {
		w.agents = append(w.agents, w.addAgent(5+i))
	}
	w.Run(5 * time.Second)
	w.StepTime = slowStepTime
	w.Run(2 * time.Second)
	before := len(w.LogMessages)
	for i := range 500 {
		stage := notch.Stage{Count: 4, Estimate: time.Second, Size: notch.Resources{MilliCPU: 500, MemoryMB: 500}}
		w.submit(w.entries[i%2], notch.Workflow{ID: fmt.Sprintf("b%d", i), Route: "sort", Pool: "sorters", Spec: fmt.Sprint(i), Stages: []notch.Stage{stage}})
		w.Run(time.Millisecond)
	}
	w.Run(5 * time.Second)
	for _, m := range w.LogMessages[before:] {
		if strings.Contains(m, "stepped down") || strings.Contains(m, "leads") {
			t.Errorf("log message %q, want no change of the leader", m)
		}
	}
	if got, want := len(w.accepted), 300; got < want {
		t.Errorf("accepted workflows: got %d, want at least %d", got, want)
	}
}
