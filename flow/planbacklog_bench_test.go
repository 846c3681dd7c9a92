package flow

import (
	"fmt"
	"testing"
	"time"

	notch "tamaracknotch"
)

// BenchmarkPlanBacklog measures a plan of a leader with 1,800 agents that have room, and more workflows than it
// can start: an operation is a plan that places as many tasks as may be under way.
func BenchmarkPlanBacklog(b *testing.B) {
	const agents = 1800
	for _, waiting := range []int{50, 1000} {
		b.Run(fmt.Sprint("waiting=", waiting), func(b *testing.B) {
			s := newTestLeader(agents)
			for i := range waiting {
				stage := notch.Stage{Count: 40, Size: notch.Resources{MilliCPU: 1800, MemoryMB: 3200}, Estimate: time.Second}
				next := stage
				next.After = []int{0}
				s.commit(notch.SubmitWorkflow{Flow: notch.Workflow{ID: fmt.Sprint("f", i), Route: "r", Stages: []notch.Stage{stage, next}}})
			}
			placed := s.plan()
			s.commit(notch.PlaceRuns{Token: 2, Placements: placed})
			s.advance(time.Second) // the starts no longer count as under way
			s.step(notch.Tick{})
			b.ReportAllocs()
			for b.Loop() {
				_, effects := notch.Step(s.state, notch.Event{At: s.now, Body: notch.Flush{}})
				if planMade(effects).Ready == 0 {
					b.Fatal("no plan was made")
				}
			}
		})
	}
}
