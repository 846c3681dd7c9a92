package flow

import (
	"fmt"
	"testing"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/assign"
	"tamaracknotch/colocation"
)

// countingPolicy counts what plans examine.
type countingPolicy struct {
	agents       int // agent views that the placer examined
	headrooms    int // estimates of the headroom of service tasks
	coefficients int // look-ups of interference coefficients
}

func (c *countingPolicy) policy() Policy {
	placer := func(model notch.ColocationModel) notch.RunPlacer {
		return countingPlacer{assign.ByScore{ColocationModel: model}, c}
	}
	return Policy{Order: assign.BySlack{}, Placer: placer, ColocationModel: countingModel{colocation.New(), c}}
}

type countingPlacer struct {
	notch.RunPlacer
	count *countingPolicy
}

func (p countingPlacer) Score(st notch.Stage, agents notch.AgentViews) notch.AgentScores {
	return p.RunPlacer.Score(st, countingViews{agents, p.count})
}

type countingViews struct {
	notch.AgentViews
	count *countingPolicy
}

func (v countingViews) At(i int) (*notch.AgentView, bool) {
	v.count.agents++
	return v.AgentViews.At(i)
}

type countingModel struct {
	notch.ColocationModel
	count *countingPolicy
}

func (m countingModel) HeadroomAlone(group notch.TaskRef, at notch.Time) float64 {
	m.count.headrooms++
	return m.ColocationModel.HeadroomAlone(group, at)
}

func (m countingModel) InterferenceCoefficient(service, opportunistic string) float64 {
	m.count.coefficients++
	return m.ColocationModel.InterferenceCoefficient(service, opportunistic)
}

// plan makes a plan and returns its placements.
func (s *testLeader) plan() []notch.RunPlacement {
	s.advance(time.Second)
	part, effects := s.state.Parts()[0].Step(notch.Event{At: s.now, Seed: s.index, Body: notch.Flush{}})
	if part != nil {
		s.state = notch.NewState(part)
	}
	for _, e := range effects {
		if emit, ok := e.(notch.Emit); ok {
			return emit.Body.(notch.Proposal).Command.(notch.PlaceRuns).Placements
		}
	}
	return nil
}

// planAfter makes a plan after some time, whether the state has changed or not, and returns its
// placements.
func (s *testLeader) planAfter(d time.Duration) []notch.RunPlacement {
	s.advance(d)
	part, _ := s.state.Parts()[0].Step(notch.Event{At: s.now, Seed: s.index, Body: notch.Tick{}})
	s.state = notch.NewState(part)
	next, effects := part.Step(notch.Event{At: s.now, Seed: s.index, Body: notch.Flush{}})
	if next != nil {
		s.state = notch.NewState(next)
	}
	for _, f := range effects {
		if c, ok := proposedCommand(f).(notch.PlaceRuns); ok {
			return c.Placements
		}
	}
	return nil
}

// TestPlanScoresAgentsOncePerGroup guards against plans whose cost grows with tasks times agents.
func TestPlanScoresAgentsOncePerGroup(t *testing.T) {
	const agents, tasks = 40, 200
	count := &countingPolicy{}
	s := newTestLeader(agents, WithPolicy(count.policy()))
	s.submit("f", tasks)
	if got, want := len(s.plan()), tasks; got != want {
		t.Errorf("placements: got %d, want %d", got, want)
	}
	if got, want := count.agents, agents+tasks; got != want {
		t.Errorf("agent views examined: got %d, want %d", got, want)
	}
}

// TestPlanEstimatesHeadroomOnDemand guards against plans that estimate the headroom of all service
// tasks although no group that waits depends on it.
func TestPlanEstimatesHeadroomOnDemand(t *testing.T) {
	const agents = 5
	count := &countingPolicy{}
	s := newTestLeader(agents, WithPolicy(count.policy()))
	s.occupy(agents)
	opportunistic := notch.Stage{Count: 2, Size: notch.Resources{MilliCPU: 100, MemoryMB: 1}, Image: "o", Fills: true}
	for _, c := range []struct {
		stage notch.Stage
		want  int
	}{
		{notch.Stage{Count: 2, Size: notch.Resources{MilliCPU: 100, MemoryMB: 1}}, 0},
		{opportunistic, agents * servicesPerAgent},
	} {
		for i := range 3 {
			s.commit(notch.SubmitWorkflow{Flow: notch.Workflow{ID: fmt.Sprint(c.stage.Image, i), Route: "r", Stages: []notch.Stage{c.stage}}})
		}
		count.headrooms = 0
		placed := s.plan()
		if got, want := len(placed), 6; got != want {
			t.Errorf("placements: got %d, want %d", got, want)
		}
		s.commit(notch.PlaceRuns{Token: 2, Placements: placed})
		if got := count.headrooms; got != c.want {
			t.Errorf("headroom estimates of a plan with image %q: got %d, want %d", c.stage.Image, got, c.want)
		}
	}
}

// TestPlanLooksUpCoefficientsOncePerGroup guards against plans that look up the interference of all
// tasks on an agent for each group that waits.
func TestPlanLooksUpCoefficientsOncePerGroup(t *testing.T) {
	const agents, groups = 40, 60
	count := &countingPolicy{}
	s := newTestLeader(agents, WithPolicy(count.policy()))
	most := groups * serviceImageCount
	for i := range agents {
		s.colocate(i)
		most += serviceImagesPerAgent * opportunisticPerAgent
	}
	s.submitOpportunistic(groups)
	count.coefficients = 0
	if got, want := len(s.plan()), 0; got != want {
		t.Errorf("placements: got %d, want %d", got, want)
	}
	if got := count.coefficients; got > most {
		t.Errorf("interference coefficients looked up: got %d, want at most %d", got, most)
	}
}

// TestGroupLooksUpCoefficientOncePerImage guards against a plan that looks up the interference of a
// group with the same service image again for each agent.
func TestGroupLooksUpCoefficientOncePerImage(t *testing.T) {
	const agents = 40
	count := &countingPolicy{}
	s := newTestLeader(agents, WithPolicy(count.policy()))
	for i := range agents {
		s.colocate(i)
	}
	st := notch.Stage{Count: 1, Size: notch.Resources{MilliCPU: 1000, MemoryMB: 100}, Fills: true, Image: "o0"}
	s.commit(notch.SubmitWorkflow{Flow: notch.Workflow{ID: "f", Route: "r", Stages: []notch.Stage{st}}})
	count.coefficients = 0
	s.plan()
	views := agents * serviceImagesPerAgent * opportunisticPerAgent
	if got, most := count.coefficients, views+serviceImageCount+serviceImagesPerAgent; got > most {
		t.Errorf("interference coefficients looked up: got %d, want at most %d", got, most)
	}
}
