package fake

import (
	"testing"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/drive"
)

// Guards against calls that keep a leader overloaded: each time that a daemon sent a call again,
// the copy waited behind the first one, and became a log entry after that one was applied.
func TestResentCallIsAppendedOnceByLeaderThatIsBehind(t *testing.T) {
	w := newOverloadTest(t)
	type call struct {
		origin string
		ticket uint64
	}
	entries := map[call]int{}
	w.StepTime = func(n *drive.Node, b notch.Body, effects []notch.Effect) time.Duration {
		for _, f := range effects {
			p, ok := f.(notch.Persist)
			if !ok || !w.IsLeader(n) {
				continue
			}
			for _, e := range p.Entries {
				if _, ok := e.Command.(notch.SubmitWorkflow); ok {
					entries[call{e.Origin, e.Ticket}]++
				}
			}
		}
		return slowStepTime(n, b, effects)
	}
	w.submitBurst()
	w.Run(5 * time.Second)
	again := 0
	for _, n := range entries {
		again += n - 1
	}
	if again > 0 {
		t.Errorf("entries of %d calls: got %d more than one for each, want none", len(entries), again)
	}
}
