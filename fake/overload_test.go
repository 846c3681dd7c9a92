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

// newOverloadTest returns a cluster of 350 agents with slow steps.
func newOverloadTest(t *testing.T) *workflowTest {
	w := newWorkflowTest(t, 1)
	for i := range 345 {
		w.agents = append(w.agents, w.addAgent(5+i))
	}
	w.Run(5 * time.Second)
	w.StepTime = slowStepTime
	w.Run(2 * time.Second)
	return w
}

// submitBurst submits 500 workflows of 4 tasks each within half a second.
func (w *workflowTest) submitBurst() {
	for i := range 500 {
		stage := notch.Stage{Count: 4, Estimate: time.Second, Size: notch.Resources{MilliCPU: 500, MemoryMB: 500}}
		w.submit(w.entries[i%2], notch.Workflow{ID: fmt.Sprintf("b%d", i), Route: "sort", Pool: "sorters", Spec: fmt.Sprint(i), Stages: []notch.Stage{stage}})
		w.Run(time.Millisecond)
	}
}

// A leader with more work than it could do lost contact with its quorum right after a burst of
// workflows, and so did each leader after it.
func TestOverloadedLeaderKeepsLeading(t *testing.T) {
	w := newOverloadTest(t)
	before := len(w.LogMessages)
	w.submitBurst()
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

// The leases of entries ended while a leader had more work than it could do, because their
// reports waited behind other events.
func TestOverloadedLeaderRenewsEntryLeases(t *testing.T) {
	w := newOverloadTest(t)
	w.submitBurst()
	for range 50 {
		w.Run(100 * time.Millisecond)
		for _, n := range w.entries {
			if !w.Leased(n) {
				t.Fatalf("at %v: entry %s holds no lease, want one", w.Now(), n.Self.Name)
			}
		}
	}
}
