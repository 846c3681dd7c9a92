package fake

import (
	"testing"
	"time"
)

// finishTime is the time after the end of the load from which no task may wait for a run while most of the room is free.
const finishTime = 14 * time.Second

// lostAgents is how many of the agents crash for good.
const lostAgents = 3

// TestTasksOfCrashedAgentsRunAgainSoon guards against jobs that have nothing running long after the end of the load (LOST): some
// agents crash for good 5 s before it, and their hosts go dark, so that starts to them get no answer.
func TestTasksOfCrashedAgentsRunAgainSoon(t *testing.T) {
	playSeeds(t, *seeds/4, func(t *testing.T, seed uint64) {
		r := newCrashLateTest(t, seed)
		r.submitSome(6 * time.Second)
		for _, a := range r.agents[:lostAgents] {
			r.After(r.between(0, 200*time.Millisecond), func() { r.KillAgent(a) })
		}
		crash := r.Now()
		r.submitSome(5 * time.Second)
		r.checkRunAgain(t, r.Now(), crash)
	})
}

// TestTasksOfLostHostsRunAgainSoon guards against jobs that have nothing running long after the end of the load (LOST), as
// their starts were under way to hosts that were lost for good with it: the inventory shows that these are gone. In half
// of the plays the leader is lost beside them, just before or after.
func TestTasksOfLostHostsRunAgainSoon(t *testing.T) {
	playSeeds(t, *seeds/4, func(t *testing.T, seed uint64) {
		r := newCrashLateTest(t, seed)
		r.UseInventory()
		r.Run(5 * time.Second)
		r.submitSome(6 * time.Second)
		if r.Rand.IntN(2) == 0 {
			r.After(r.between(0, time.Second), r.killLeader)
		}
		for _, a := range r.agents[:lostAgents] {
			r.After(r.between(300*time.Millisecond, 500*time.Millisecond), func() { r.LoseHost(a) })
		}
		crash := r.Now()
		r.submitSome(500 * time.Millisecond)
		r.checkRunAgain(t, r.Now(), crash)
		for _, v := range r.Violations {
			t.Error(v)
		}
	})
}

// TestTasksOfRestartedHostsRunAgainSoon guards against jobs that have nothing running long after the end of the load (LOST), as
// agents crash with it and come back under other ids, and each of two leaders that are elected meanwhile waits anew for
// the leases of those that have ended.
func TestTasksOfRestartedHostsRunAgainSoon(t *testing.T) {
	playSeeds(t, *seeds/4, func(t *testing.T, seed uint64) {
		r := newCrashLateTest(t, seed)
		r.NameHosts()
		r.submitSome(6 * time.Second)
		for _, a := range r.agents[:lostAgents] {
			a.NewID = true
			r.After(r.between(0, 200*time.Millisecond), func() { r.crashAgent(a) })
		}
		crash := r.Now()
		r.After(time.Second, r.killLeader)
		r.After(8500*time.Millisecond, r.killLeader)
		r.submitSome(500 * time.Millisecond)
		r.checkRunAgain(t, r.Now(), crash)
		for _, v := range r.Violations {
			t.Error(v)
		}
	})
}

// newCrashLateTest returns a test with agents that fail no runs and whose hosts go dark when they crash.
func newCrashLateTest(t *testing.T, seed uint64) *rebornTest {
	r := newRebornTest(t, seed, rebornCase{MaxRestart: time.Second})
	for _, a := range r.agents {
		a.Fails = nil
		a.Dark = true
	}
	return r
}

// checkRunAgain lets a minute pass from the end of the load on, and checks that the tasks whose runs were lost in a crash
// ran again in time.
func (r *rebornTest) checkRunAgain(t *testing.T, end, crash time.Duration) {
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
}
