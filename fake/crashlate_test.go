package fake

import (
	"testing"
	"time"
)

// finishTime is the time after the end of the load from which no task may wait for a run while most of the room is free.
const finishTime = 14 * time.Second

// TestTasksOfCrashedAgentsRunAgainSoon guards against jobs that have nothing running long after the end of the load (LOST): some
// agents crash for good 5 s before it, and their hosts go dark, so that starts to them get no answer.
func TestTasksOfCrashedAgentsRunAgainSoon(t *testing.T) {
	playSeeds(t, *seeds/4, func(t *testing.T, seed uint64) {
		r := newRebornTest(t, seed, rebornCase{MaxRestart: time.Second})
		for _, a := range r.agents {
			a.Fails = nil
			a.Dark = true
		}
		r.submitSome(6 * time.Second)
		for _, a := range r.agents[:3] {
			r.After(r.between(0, 200*time.Millisecond), func() { r.KillAgent(a) })
		}
		crash := r.Now()
		r.submitSome(5 * time.Second)
		end := r.Now()
		r.Run(60 * time.Second)
		for task, runs := range r.workflowChecker.history {
			for i, run := range runs {
				if i > 0 && runs[i-1].kind != runCrashed || i == 0 && run.ref.Number == 1 {
					continue // the run before it, if there was one, wasn't lost in the crash
				}
				if run.startedAt > end+finishTime {
					t.Errorf("%v: run %d begins %v after the end of the load, %v after the crash", task, run.ref.Number, run.startedAt-end, run.startedAt-crash)
				}
			}
		}
	})
}
