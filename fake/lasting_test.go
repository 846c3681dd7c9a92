package fake

import (
	"fmt"
	"strings"
	"testing"
	"time"

	notch "tamaracknotch"
)

// lastingTest is a randomized test of long-running tasks. Agents fail for some seconds and are sound
// for some seconds, in turn. The leader stands, and there is always room for every task.
type lastingTest struct {
	*workflowTest
	tasks      []notch.TaskRef
	lastRunAt  map[notch.TaskRef]time.Duration // when the task was last seen running
	soundSince time.Duration                   // when the last failure ended; zero: agents fail
	longest    time.Duration                   // time that a task was away, in a sound time
}

const (
	lastingAway     = 6 * time.Second // for which a long-running task may be away
	lastingSettle   = 7 * time.Second // after the last failure, from which on the bound holds
	lastingSound    = 16 * time.Second
	lastingPoll     = 50 * time.Millisecond
	lastingAgents   = 12
	lastingFlows    = 4
	lastingFailures = 8 // times that agents fail
)

func newLastingTest(t *testing.T, seed uint64) *lastingTest {
	l := &lastingTest{workflowTest: newWorkflowTest(t, seed), lastRunAt: map[notch.TaskRef]time.Duration{}}
	l.keepRoom()
	for range lastingFlows {
		l.submitLasting()
	}
	l.Run(lastingSettle)
	return l
}

// submitLasting submits a workflow with long-running tasks.
func (l *lastingTest) submitLasting() {
	st := notch.Stage{Count: 1 + l.Rand.IntN(4), Lasts: true, Saves: l.Rand.IntN(2) == 0, Estimate: time.Second,
		Size: notch.Resources{MilliCPU: int64(500 + l.Rand.IntN(800)), MemoryMB: 500}}
	if l.Rand.IntN(3) == 0 {
		st.PerAgent = 1
	}
	if l.Rand.IntN(2) == 0 {
		st.Image, st.Target = "s", time.Second
	}
	w := notch.Workflow{ID: fmt.Sprintf("f%d", len(l.ids)), Route: "sort", Pool: "sorters", Stages: []notch.Stage{st}}
	l.ids = append(l.ids, w.ID)
	l.submit(l.replicas[0], w)
	for i := range st.Count {
		ref := notch.TaskRef{Flow: w.ID, Index: i}
		l.tasks, l.lastRunAt[ref] = append(l.tasks, ref), l.Now()
	}
}

// fail causes failures of agents for some seconds. Agents that are down or drain stay so.
func (l *lastingTest) fail() {
	l.soundSince = 0
	for range 2 + l.Rand.IntN(6) {
		l.changeAgentFailures()
		l.watch(time.Duration(l.Rand.IntN(1200)) * time.Millisecond)
	}
	for _, x := range l.agents {
		x.CutOff, x.LateShare, x.Broken = false, 0, false
	}
	l.keepRoom()
	l.soundSince = l.Now()
}

// keepRoom adds agents until enough of them accept runs.
func (l *lastingTest) keepRoom() {
	accepting := 0
	for _, x := range l.agents {
		if x.Up && !x.Draining {
			accepting++
		}
	}
	for ; accepting < lastingAgents; accepting++ {
		l.agents = append(l.agents, l.addAgent(len(l.agents)))
	}
}

// watch lets d pass and checks the long-running tasks meanwhile.
func (l *lastingTest) watch(d time.Duration) {
	for end := l.Now() + d; l.Now() < end; {
		l.Run(min(lastingPoll, end-l.Now()))
		for _, ref := range l.tasks {
			l.checkTask(ref)
		}
	}
}

// checkTask reports a violation if a task is away for too long. It does so once for each sound time.
func (l *lastingTest) checkTask(ref notch.TaskRef) {
	if l.workflowChecker.activeRuns[ref] > 0 {
		l.lastRunAt[ref] = l.Now()
	}
	if l.soundSince == 0 || l.Now() < l.soundSince+lastingSettle || !l.accepted[ref.Flow] {
		return
	}
	away := l.Now() - l.lastRunAt[ref]
	l.longest = max(l.longest, away)
	if away > lastingAway {
		l.reportViolation("LOST: %v hasn't run for %v, with room for it, %v after the last failure", ref, away, l.Now()-l.soundSince)
		l.soundSince = 0
	}
}

func (l *lastingTest) run(t *testing.T) {
	for range lastingFailures {
		l.fail()
		l.watch(lastingSound)
	}
	t.Logf("longest time without a run: %v", l.longest)
	if errs := l.Violations; len(errs) > 0 {
		t.Fatalf("%s\nlast log messages:\n%s", strings.Join(errs[:min(len(errs), 12)], "\n"),
			strings.Join(l.LogMessages[max(0, len(l.LogMessages)-20):], "\n"))
	}
}

// TestLongRunningTasksComeBack guards against a long-running task that stays away although a leader
// stands and there is room for it.
func TestLongRunningTasksComeBack(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			newLastingTest(t, seed).run(t)
		})
	}
}
