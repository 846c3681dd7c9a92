package flow

import (
	"fmt"
	"testing"
	"time"

	notch "tamaracknotch"
)

// starvationTest is a leader whose agents each run a service task that leaves little latency headroom.
type starvationTest struct {
	*testLeader
	agents int
}

// newStarvationTest returns a leader with agents whose service tasks are just below their targets.
func newStarvationTest(agents int) starvationTest {
	s := starvationTest{newTestLeader(agents), agents}
	for i := range agents {
		id := fmt.Sprint("service", i)
		s.commit(notch.SubmitWorkflow{Flow: notch.Workflow{ID: id, Route: "r", Stages: []notch.Stage{
			{Count: 1, Size: notch.Resources{MilliCPU: 4000, MemoryMB: 1000}, Lasts: true, Image: "s", Target: 100 * time.Millisecond},
		}}})
		s.commit(notch.PlaceRuns{Token: 2, Placements: []notch.RunPlacement{{Task: notch.TaskRef{Flow: id}, Life: lifeOnAgent(i)}}})
	}
	return s
}

func lifeOnAgent(agent int) notch.AgentIncarnation {
	return notch.AgentIncarnation{Agent: fmt.Sprint("w", agent), Born: 1}
}

// submit submits an opportunistic workflow that interferes too much for any agent.
func (s starvationTest) submit(id string) {
	s.commit(notch.SubmitWorkflow{Flow: notch.Workflow{ID: id, Route: "r", Stages: []notch.Stage{
		{Count: 8, Size: notch.Resources{MilliCPU: 8000, MemoryMB: 32000}, Estimate: time.Second, Fills: true, Image: "f"},
	}}})
}

// pass lets time pass in which all agents report.
func (s starvationTest) pass(d time.Duration) {
	const interval = 500 * time.Millisecond
	for ; d > 0; d -= interval {
		s.advance(interval)
		for i := range s.agents {
			s.answer(i)
		}
	}
}

// answer sends agent i's list of runs, in which its service task has a headroom of 1.4.
func (s starvationTest) answer(i int) {
	s.step(notch.AgentAnswered{
		Life: lifeOnAgent(i), Order: notch.AgentOrder{Kind: notch.AgentRenew, Token: 2<<incarnationBits | uint64(i+1)}, SentAt: s.now,
		Answer: notch.AgentAnswer{Kind: notch.AgentOK, Clock: int64(s.now / 1e6), Born: 1, Live: []notch.LiveRun{
			{Run: runOf(fmt.Sprint("service", i), 0), Progress: 100, Measurement: 70},
		}},
	})
}

// placedThrottled makes a plan, commits it and returns the throttled runs by workflow.
func (s starvationTest) placedThrottled(t *testing.T) map[string]int {
	t.Helper()
	placed := s.planAfter(50 * time.Millisecond)
	out := map[string]int{}
	for _, pl := range placed {
		if !pl.Throttled {
			t.Errorf("got a placement of %v that isn't throttled, want none", pl.Task)
		}
		out[pl.Task.Flow]++
	}
	s.commit(notch.PlaceRuns{Token: 2, Placements: placed})
	return out
}

// TestStarvingWorkflowsRun guards against workflows that wait for ever, as their opportunistic tasks interfere
// too much to fit whole on any agent, while most of the room is free (LOST).
func TestStarvingWorkflowsRun(t *testing.T) {
	const agents, old = 4, 12
	s := newStarvationTest(agents)
	for i := range old {
		s.submit(fmt.Sprint("old", i))
	}
	s.pass(starvationWait - time.Second)
	if got := s.placedThrottled(t); len(got) > 0 {
		t.Errorf("before they starve: got throttled runs %v, want none", got)
	}
	s.submit("new")
	s.pass(2 * time.Second)
	got := s.placedThrottled(t)
	for i := range old {
		if id := fmt.Sprint("old", i); got[id] != 1 {
			t.Errorf("%s: got %d throttled runs, want 1", id, got[id])
		}
	}
	if got["new"] != 0 {
		t.Errorf("a new workflow: got %d throttled runs, want 0", got["new"])
	}
	s.pass(time.Second)
	if got := s.placedThrottled(t); len(got) > 0 {
		t.Errorf("while a task of each runs: got throttled runs %v, want none", got)
	}
}

// TestStarvingWorkflowRunsAgain guards against a workflow that starves again once its throttled run has ended.
func TestStarvingWorkflowRunsAgain(t *testing.T) {
	s := newStarvationTest(1)
	s.submit("old")
	s.pass(starvationWait + time.Second)
	if got := s.placedThrottled(t); got["old"] != 1 {
		t.Fatalf("got throttled runs %v, want one of old", got)
	}
	s.pass(5 * time.Second)
	s.commit(notch.EndRuns{Life: lifeOnAgent(0), Ends: []notch.RunEnd{{Run: runOf("old", 0), Kind: notch.RunDone}}, UpTo: 1})
	if got := s.placedThrottled(t); len(got) > 0 {
		t.Errorf("as soon as the run has ended: got throttled runs %v, want none", got)
	}
	s.pass(maxIdleTime)
	if got := s.placedThrottled(t); got["old"] != 1 {
		t.Errorf("got throttled runs %v, want another one of old", got)
	}
}

// TestThrottledTasksLeaveMemory guards against throttled tasks, which run for long, that take the memory of more
// urgent ones.
func TestThrottledTasksLeaveMemory(t *testing.T) {
	s := newStarvationTest(1)
	for i := range 10 {
		s.submit(fmt.Sprint("old", i))
	}
	s.pass(starvationWait + time.Second)
	s.placedThrottled(t)
	s.pass(time.Second)
	s.placedThrottled(t)
	load := s.part().load("w0")
	if got, want := load.throttledMB, int64(4*32000); got != want {
		t.Errorf("memory of throttled tasks: got %d MB, want %d", got, want)
	}
}

// TestCPULimitsOfThrottledTasks checks how throttled tasks and others share the headroom of an agent.
func TestCPULimitsOfThrottledTasks(t *testing.T) {
	cost := func(headroom float64, throttled bool) loadCost {
		return loadCost{headroom: []float64{headroom}, maxHeadroom: headroom, milliCPU: 10000, throttled: throttled}
	}
	cases := []struct {
		name     string
		headroom float64
		milliCPU int64 // unused
		costs    []loadCost
		want     []int
	}{
		{"a throttled task alone", 0.5, 64000, []loadCost{cost(1, true)}, []int{5}},
		{"room for a whole one", 1.7, 64000, []loadCost{cost(1, true)}, []int{100}},
		{"room for a whole one, but no processors", 1.7, 5000, []loadCost{cost(1, true)}, []int{5}},
		{"two throttled tasks, room for one whole one", 2, 64000, []loadCost{cost(1, true), cost(1, true)}, []int{100, 5}},
		{"another task goes first", 1.05, 64000, []loadCost{cost(0.1, true), cost(1, false)}, []int{5, 100}},
		{"another task takes no more than the rest", 0.5, 64000, []loadCost{cost(1, true), cost(1, false)}, []int{5, 45}},
		{"hardly any headroom", 0.02, 64000, []loadCost{cost(1, true), cost(1, false)}, []int{2, 0}},
		{"no headroom", 0, 64000, []loadCost{cost(1, true)}, []int{0}},
	}
	for _, c := range cases {
		spare := spareLoad{services: []notch.ServiceImage{{Image: "s", SpareHeadroom: c.headroom}}, milliCPU: c.milliCPU}
		if got := spare.limits(c.costs); fmt.Sprint(got) != fmt.Sprint(c.want) {
			t.Errorf("%s: got limits %v, want %v", c.name, got, c.want)
		}
	}
}
