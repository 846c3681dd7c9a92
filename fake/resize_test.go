package fake

import (
	"fmt"
	"testing"
	"time"

	notch "tamaracknotch"
)

// Starts could bring an agent that starts whatever it is ordered to over its size, once that had
// shrunk below what runs there.
func TestShrunkAgentsAreNotOverfilled(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			t.Parallel()
			w := newWorkflowTest(t, seed+1)
			for _, a := range w.agents {
				a.Unguarded, a.LateShare = true, []float64{0, 0.1}[w.Rand.IntN(2)]
			}
			for i := range 60 {
				w.submitOne(fmt.Sprintf("f%d", i), notch.Stage{Count: 4, Lasts: i%20 == 0, Saves: i%3 == 0})
				w.ResizeAgent(w.agents[w.Rand.IntN(len(w.agents))], notch.Resources{MilliCPU: int64(w.Rand.IntN(5)) * 1000, MemoryMB: 8000})
				if w.Rand.IntN(4) == 0 { // a stop that isn't confirmed yet
					w.CancelWorkflow(w.entries[0], w.ids[w.Rand.IntN(len(w.ids))], time.Second, func(notch.Answer) {})
				}
				switch i {
				case 20:
					w.Kill(w.leader(t))
				case 40:
					w.endFailures()
				}
				w.Run(time.Duration(w.Rand.IntN(1000)) * time.Millisecond)
			}
			for _, v := range w.Violations {
				t.Error(v)
			}
		})
	}
}
