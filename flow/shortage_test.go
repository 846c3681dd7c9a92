package flow

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	notch "tamaracknotch"
)

// TestPlanSkipsGroupsThatDemandMore guards against plans that examine all agents for each group of
// a backlog that fits nowhere.
func TestPlanSkipsGroupsThatDemandMore(t *testing.T) {
	const agents = 30
	for _, groups := range []int{1, 10, 300} {
		count := &countingPolicy{}
		s := newTestLeader(agents, WithPolicy(count.policy()))
		s.occupy(agents)
		for i := range groups {
			s.commit(notch.SubmitWorkflow{Flow: notch.Workflow{ID: fmt.Sprint("f", i), Route: "r", Stages: []notch.Stage{
				{Count: 3, Size: notch.Resources{MilliCPU: 5000 + int64(i)}, Estimate: time.Second},
			}}})
		}
		if got, want := len(s.plan()), 0; got != want {
			t.Errorf("%d groups: got %d placements, want %d", groups, got, want)
		}
		if got, want := count.agents, agents; got != want {
			t.Errorf("%d groups: got %d agent views examined, want %d", groups, got, want)
		}
	}
}

// TestSkippedGroupsDontFit guards against tasks that wait although they fit on an agent, because a
// plan skipped their group: it compares the placements with those of a plan that skips no group.
func TestSkippedGroupsDontFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policies := []Policy{DefaultPolicy(), NaivePolicy()}
		policy := policies[rapid.IntRange(0, 1).Draw(t, "policy")]
		policy.ColocationModel = interferenceByImage{policy.ColocationModel}
		unskipped := policy
		unskipped.Placer = func(model notch.ColocationModel) notch.RunPlacer { return roomyPlacer{policy.Placer(model)} }
		agents, stages := drawAgents(t), drawStages(t)
		var placed [2][]notch.RunPlacement
		for i, p := range []Policy{policy, unskipped} {
			s := newTestLeader(0, WithPolicy(p))
			for k, a := range agents {
				s.admit(a, k)
			}
			for k, st := range stages {
				s.now = s.now.Add(60 * time.Millisecond)
				s.commit(notch.SubmitWorkflow{Flow: notch.Workflow{ID: fmt.Sprint("f", k), Route: "r", Stages: []notch.Stage{st}}})
			}
			placed[i] = s.plan()
		}
		if got, want := placed[0], placed[1]; !reflect.DeepEqual(got, want) {
			t.Fatalf("placements: got %v, want %v", got, want)
		}
	})
}

// TestReserveIsNoShortage guards against short tasks that wait because a long-running task may not
// take the reserve for them.
func TestReserveIsNoShortage(t *testing.T) {
	s := newTestLeader(1)
	s.occupy(1)
	for _, st := range []notch.Stage{
		{Count: 1, Size: notch.Resources{MilliCPU: 1000}, Lasts: true},
		{Count: 1, Size: notch.Resources{MilliCPU: 2000}, Estimate: time.Second},
	} {
		s.commit(notch.SubmitWorkflow{Flow: notch.Workflow{ID: fmt.Sprintf("lasts=%v", st.Lasts), Route: "r", Stages: []notch.Stage{st}}})
	}
	placed := s.plan()
	if len(placed) != 1 || placed[0].Task.Flow != "lasts=false" {
		t.Errorf("got placements %v, want one of the short task", placed)
	}
}

// roomyPlacer never reports a lack of capacity.
type roomyPlacer struct{ notch.RunPlacer }

func (p roomyPlacer) Score(st notch.Stage, agents notch.AgentViews) notch.AgentScores {
	return roomyScores{p.RunPlacer.Score(st, agents)}
}

type roomyScores struct{ notch.AgentScores }

func (roomyScores) HasCapacity() bool { return true }

// interferenceByImage makes images of opportunistic tasks differ in their interference.
type interferenceByImage struct{ notch.ColocationModel }

func (interferenceByImage) HeadroomAlone(notch.TaskRef, notch.Time) float64 { return 2 }

func (interferenceByImage) InterferenceCoefficient(_, opportunistic string) float64 {
	return map[string]float64{"a": 5, "b": 0.1}[opportunistic]
}

func drawAgents(t *rapid.T) []notch.Agent {
	var out []notch.Agent
	for i := range rapid.IntRange(1, 5).Draw(t, "agents") {
		a := notch.Agent{ID: fmt.Sprintf("w%d", i), Born: 1, Pool: "p", Address: "x"}
		a.Size = notch.Resources{MilliCPU: rapid.Int64Range(4, 20).Draw(t, "milli-cpu") * 1000, MemoryMB: rapid.Int64Range(4, 40).Draw(t, "memory")}
		if rapid.Bool().Draw(t, "labelled") {
			a.Labels = []string{"l"}
		}
		out = append(out, a)
	}
	return out
}

func drawStages(t *rapid.T) []notch.Stage {
	var out []notch.Stage
	for range rapid.IntRange(1, 20).Draw(t, "stages") {
		st := notch.Stage{Count: rapid.IntRange(1, 5).Draw(t, "count"), Estimate: time.Second}
		st.Size = notch.Resources{MilliCPU: rapid.Int64Range(0, 5).Draw(t, "milli-cpu") * 1000, MemoryMB: rapid.Int64Range(0, 4).Draw(t, "memory")}
		st.Image = rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "image")
		st.Label = rapid.SampledFrom([]string{"", "", "l"}).Draw(t, "label")
		st.PerAgent = rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(t, "per agent")
		st.Fills, st.Lasts = rapid.Bool().Draw(t, "opportunistic"), rapid.Bool().Draw(t, "long-running")
		if rapid.Bool().Draw(t, "service") {
			st.Target = time.Second
		}
		out = append(out, st)
	}
	return out
}
