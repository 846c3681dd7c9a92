package flow

import (
	"fmt"
	"slices"
	"testing"
	"time"

	notch "tamaracknotch"
)

// TestPlanLooksAtPartOfLargePool guards against plans that look at each of 1,800 agents for each group,
// which took so long that too few starts were sent (SHORT). Each agent has its turn, and a task that fits
// on one agent only is placed by the first plan.
func TestPlanLooksAtPartOfLargePool(t *testing.T) {
	const agents, tasks = 1800, 40
	count := &countingPolicy{}
	s := newTestLeader(agents, WithPolicy(count.policy()))
	used := map[string]bool{}
	for i := range 8 {
		for k := range agents {
			s.answerRenewal(k)
		}
		s.submit(fmt.Sprint("f", i), tasks)
		count.agents = 0
		placed := s.plan()
		if got, want := len(placed), tasks; got != want {
			t.Fatalf("plan %d: got %d placements, want %d", i, got, want)
		}
		if got, want := count.agents, agents/3; got > want {
			t.Errorf("plan %d: got %d agents examined, want at most %d", i, got, want)
		}
		for _, p := range placed {
			used[p.Life.Agent] = true
		}
		s.commit(notch.PlaceRuns{Token: 2, Placements: placed})
		s.advance(time.Second)
	}
	if got, want := len(used), 8*tasks/2; got < want {
		t.Errorf("agents used: got %d, want at least %d", got, want)
	}
	big := testAgent(agents)
	big.Size = big.Size.Plus(big.Size)
	s.admit(big, agents)
	s.advance(time.Second)
	st := notch.Stage{Count: 1, Estimate: time.Second, Size: notch.Resources{MilliCPU: 100_000, MemoryMB: 100}}
	s.commit(notch.SubmitWorkflow{Flow: notch.Workflow{ID: "big", Route: "r", Stages: []notch.Stage{st}}})
	for k := range agents + 1 {
		s.answerRenewal(k)
	}
	placed := s.plan()
	if !slices.ContainsFunc(placed, func(p notch.RunPlacement) bool { return p.Life.Agent == big.ID }) {
		t.Errorf("got placements %v, want one on %s", placed, big.ID)
	}
}
