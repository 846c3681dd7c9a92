package flow

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	notch "tamaracknotch"
)

// submitShortOf submits workflows with a task each of a stage that fits on no agent of testAgent's
// size once that has a run. The size of the tasks falls, so that no shortage includes another.
func (s *testLeader) submitShortOf(workflows int, st notch.Stage) {
	for i := range workflows {
		st.Count, st.Size, st.Estimate = 1, notch.Resources{MilliCPU: 64000 - int64(i), MemoryMB: 1000}, time.Second
		s.commit(notch.SubmitWorkflow{Flow: notch.Workflow{ID: fmt.Sprintf("short%03d", i), Route: "r", Stages: []notch.Stage{st}}})
		s.now = s.now.Add(time.Millisecond)
	}
}

// newBacklogLeader returns a leader of agents that run tasks, with groups of a stage that fit on none
// of them.
func newBacklogLeader(agents, groups int, st notch.Stage, count *countingPolicy) *testLeader {
	s := newTestLeader(agents, WithPolicy(count.policy()))
	for i := range agents {
		s.colocate(i)
	}
	s.submitShortOf(groups, st)
	return s
}

// endRun commits the end of the first task of a workflow on agent i.
func (s *testLeader) endRun(workflow string, i int) {
	s.commit(notch.EndRuns{
		Life: notch.AgentIncarnation{Agent: fmt.Sprintf("w%d", i), Born: 1},
		Ends: []notch.RunEnd{{Run: runOf(workflow, 0), Kind: notch.RunDone}},
	})
}

// proposedCommand returns the command that an effect proposes, or nil.
func proposedCommand(f notch.Effect) notch.Command {
	emit, _ := f.(notch.Emit)
	p, _ := emit.Body.(notch.Proposal)
	return p.Command
}

// TestPlanExaminesWhatChanged guards against plans that score the same agents again for the same
// groups: they took half of the control thread's time.
func TestPlanExaminesWhatChanged(t *testing.T) {
	const agents, groups = 30, 20
	cases := []struct {
		name          string
		change        func(s *testLeader)
		want          int // agents examined for a group
		opportunistic int // the same for an opportunistic group
	}{
		{"nothing", func(*testLeader) {}, 0, 0},
		{"an answer that measures headroom", func(s *testLeader) { s.answerColocated(3, 50) }, 0, 1},
		{"the end of a run", func(s *testLeader) { s.endRun("base4-6", 4) }, 1, 1},
		{"another agent", func(s *testLeader) { s.admit(notch.Agent{ID: "w30", Born: 1, Pool: "p", Address: "x"}, agents) }, 1, 1},
		{"a larger agent", func(s *testLeader) {
			a := testAgent(5)
			a.Size.MilliCPU++
			s.commit(notch.AdmitAgent{Agent: a})
		}, 1, 1},
		{"other labels", func(s *testLeader) {
			a := testAgent(5)
			a.Labels = []string{"l"}
			s.commit(notch.AdmitAgent{Agent: a})
		}, 1, 1},
		{"a pool that no agent leaves", func(s *testLeader) { s.step(notch.TablesCommitted{Tables: testTables()}) }, 0, 0},
	}
	for _, c := range cases {
		for _, st := range []notch.Stage{{}, {PerAgent: 1}, {Fills: true, Image: "o"}} {
			count := &countingPolicy{}
			s := newBacklogLeader(agents, groups, st, count)
			if got, want := len(s.planAfter(20*time.Millisecond)), 0; got != want {
				t.Fatalf("%s: got %d placements, want %d", c.name, got, want)
			}
			if got, want := count.agents, groups*agents; got != want {
				t.Errorf("%s, first plan: got %d agents examined, want %d", c.name, got, want)
			}
			count.agents = 0
			c.change(s)
			s.planAfter(200 * time.Millisecond)
			want := groups * c.want
			if st.Fills {
				want = groups * c.opportunistic
			}
			if got := count.agents; got != want {
				t.Errorf("%s, opportunistic %t, limit %d: got %d agents examined, want %d", c.name, st.Fills, st.PerAgent, got, want)
			}
		}
	}
}

// submitLimited submits a workflow of which only one task may run on each agent.
func (s *testLeader) submitLimited(id string, tasks int) {
	s.commit(notch.SubmitWorkflow{Flow: notch.Workflow{ID: id, Route: "r", Stages: []notch.Stage{
		{Count: tasks, PerAgent: 1, Size: notch.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Second},
	}}})
}

// TestPlanRemembersStagesAtTheirLimit guards against plans that score all agents again for each
// group with a limit of runs per agent, so that a backlog of them delays the groups behind.
func TestPlanRemembersStagesAtTheirLimit(t *testing.T) {
	const agents, stages = 20, 10
	count := &countingPolicy{}
	s := newTestLeader(agents, WithPolicy(count.policy()))
	for i := range stages {
		s.submitLimited(fmt.Sprint("limited", i), agents+1)
	}
	var first notch.RunPlacement
	for _, c := range []struct {
		name     string
		change   func()
		examined int
		placed   int
	}{
		{"the first plan", func() {}, stages * 2 * agents, stages * agents}, // each agent again after its placement
		{"the placements", func() {}, 0, 0},
		{"a run ended", func() {
			s.commit(notch.EndRuns{Life: first.Life, Ends: []notch.RunEnd{{Run: notch.RunRef{Task: first.Task, Number: 1}, Kind: notch.RunStopped}}})
		}, stages + 1, 1},
		{"another agent that is too small", func() {
			a := testAgent(agents)
			a.Size.MilliCPU = 500
			s.admit(a, agents)
		}, stages, 0},
		{"the same size without a limit", func() { s.submit("unlimited", 1) }, agents + 1 + 1, 1},
		{"another stage with a limit", func() { s.submitLimited("other", 1) }, agents + 1 + 1, 1},
		{"agents that lack free resources too", func() { s.occupy(agents); s.forgetPlans() }, agents + 1, 0},
	} {
		c.change()
		count.agents = 0
		placed := s.planAfter(200 * time.Millisecond)
		if got := count.agents; got != c.examined {
			t.Errorf("%s: got %d agents examined, want %d", c.name, got, c.examined)
		}
		if got := len(placed); got != c.placed {
			t.Errorf("%s: got %d placements, want %d", c.name, got, c.placed)
		}
		if first.After == 0 && len(placed) == stages*agents {
			first = placed[0]
		}
		s.commit(notch.PlaceRuns{Token: 2, Placements: placed})
	}
}

// TestPlanForgetsStagesThatDontWait guards against a memory that grows with the ended workflows
// while each plan leaves groups out.
func TestPlanForgetsStagesThatDontWait(t *testing.T) {
	s := newTestLeader(1)
	s.submitLimited("waits", 1)
	waits := demandKind{}.withLimitOf(notch.TaskRef{Flow: "waits"})
	v := agentViews{s: &stepper{Part: s.state.Parts()[0].(Part)}, plan: 2, shortages: map[demandKind]shortages{
		{}: {lookedAt: 1}, waits: {lookedAt: 1}, demandKind{}.withLimitOf(notch.TaskRef{Flow: "ended"}): {lookedAt: 1},
	}}
	got, want := v.remembered(true).shortages, map[demandKind]shortages{{}: {lookedAt: 1}, waits: {lookedAt: 1}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got shortages %v, want %v", got, want)
	}
}

// TestLimitedGroupsDontDelayOthers guards against urgent groups with a limit of runs per agent that
// use up the first half of each plan, so that a short task behind them waits for its turn.
func TestLimitedGroupsDontDelayOthers(t *testing.T) {
	const agents, groups = 490, 400
	s := newTestLeader(0)
	for i := range agents {
		s.admit(testAgent(i), i)
		id := fmt.Sprint("base", i)
		s.commit(notch.SubmitWorkflow{Flow: notch.Workflow{ID: id, Route: "r", Stages: []notch.Stage{
			{Count: 1, Size: notch.Resources{MilliCPU: 2000, MemoryMB: 1000}, Lasts: true},
		}}})
		s.commit(notch.PlaceRuns{Token: 2, Placements: []notch.RunPlacement{
			{Task: notch.TaskRef{Flow: id}, Life: testAgent(i).Incarnation()},
		}})
	}
	s.submitShortOf(groups, notch.Stage{Lasts: true, PerAgent: 1})
	for range 5 {
		if got, want := len(s.planAfter(100*time.Millisecond)), 0; got != want {
			t.Fatalf("got %d placements, want %d", got, want)
		}
	}
	for i := range 3 {
		s.submit(fmt.Sprint("task", i), 1)
		placed := s.planAfter(100 * time.Millisecond)
		if got, want := len(placed), 1; got != want {
			t.Errorf("task %d: got %d placements by the next plan, want %d", i, got, want)
		}
		s.commit(notch.PlaceRuns{Token: 2, Placements: placed})
	}
}

// forgetPlans drops what the plans before found out.
func (s *testLeader) forgetPlans() {
	p := s.state.Parts()[0].(Part)
	p.planMemory = planMemory{}
	s.state = notch.NewState(p)
}

// planChange is a random change between two plans.
type planChange struct {
	kind  string
	agent int
	route string
	stage notch.Stage
}

func drawPlanChanges(t *rapid.T, agents int) []planChange {
	kinds := []string{"submit", "submit", "end", "end", "answer", "admit", "drain", "restart", "refuse", "cancel", "wait", "move", "leave", "standby", "reroute"}
	var out []planChange
	for range rapid.IntRange(1, 6).Draw(t, "changes") {
		out = append(out, planChange{
			kind: rapid.SampledFrom(kinds).Draw(t, "change"), agent: rapid.IntRange(0, agents-1).Draw(t, "agent"),
			route: rapid.SampledFrom([]string{"r", "r", "s"}).Draw(t, "route"), stage: drawStages(t)[0],
		})
	}
	return out
}

// planHistory is a leader whose plans are committed, with the runs that they placed.
type planHistory struct {
	*testLeader
	tables notch.Tables // with the routes r and s to the pools p and q
	agents []notch.Agent
	live   []notch.RunPlacement
	flows  int
}

// apply applies a change. Changes that don't fit the state have no effect.
func (h *planHistory) apply(c planChange) {
	a := &h.agents[c.agent]
	switch c.kind {
	case "submit":
		h.flows++
		h.commit(notch.SubmitWorkflow{Flow: notch.Workflow{ID: fmt.Sprint("f", h.flows), Route: c.route, Stages: []notch.Stage{c.stage}}})
	case "end":
		h.endRunOn(c.agent)
	case "answer":
		h.answerIncarnation(*a, notch.AgentRenew, notch.AgentAnswer{Kind: notch.AgentOK})
	case "admit":
		a.Draining = false
		a.Size.MilliCPU += 1000
		h.commit(notch.AdmitAgent{Agent: *a})
	case "drain":
		a.Draining = true
		h.commit(notch.AdmitAgent{Agent: *a})
	case "restart":
		a.Born++
		a.Draining = false
		h.commit(notch.AdmitAgent{Agent: *a})
	case "refuse":
		h.refuseRunOn(c.agent)
	case "cancel":
		h.commit(notch.CancelWorkflow{ID: fmt.Sprint("f", h.flows-c.agent)})
	case "wait":
		h.advance(700 * time.Millisecond)
	case "move":
		a.Pool = h.otherPool(a.Pool)
		h.commit(notch.AdmitAgent{Agent: *a})
	default:
		h.changeTables(c.kind, a.ID)
	}
}

// newPlanHistory returns the history of a leader with some agents in the first of two pools.
func newPlanHistory(policy Policy, agents []notch.Agent) *planHistory {
	h := &planHistory{testLeader: newTestLeader(0, WithPolicy(policy)), tables: testTables(), agents: slices.Clone(agents)}
	h.tables.Pools = append(h.tables.Pools, notch.Pool{Name: "q", Kind: notch.WorkerPool})
	h.tables.Routes = append(h.tables.Routes, notch.Route{Name: "s", Path: "/s/", Pool: "q", Attempts: 3, Stretch: 2})
	h.step(notch.TablesCommitted{Tables: h.tables})
	for i, a := range agents {
		h.admit(a, i)
	}
	return h
}

// otherPool returns the name of the pool that isn't named.
func (h *planHistory) otherPool(name string) string {
	if name == h.tables.Pools[0].Name {
		return h.tables.Pools[1].Name
	}
	return h.tables.Pools[0].Name
}

// changeTables applies a change of the first route or of its pool.
func (h *planHistory) changeTables(kind, agent string) {
	h.tables.Revision++
	h.tables.Routes, h.tables.Pools = slices.Clone(h.tables.Routes), slices.Clone(h.tables.Pools)
	route := &h.tables.Routes[0]
	pool := &h.tables.Pools[slices.IndexFunc(h.tables.Pools, func(p notch.Pool) bool { return p.Name == route.Pool })]
	switch {
	case kind == "reroute":
		route.Pool = h.otherPool(route.Pool)
	case kind == "standby":
		pool.Standby = !pool.Standby
	case pool.IsLeaving(agent, ""):
		pool.Leaving = slices.DeleteFunc(slices.Clone(pool.Leaving), func(id string) bool { return id == agent })
	default:
		pool.Leaving = append(slices.Clone(pool.Leaving), agent)
	}
	h.step(notch.TablesCommitted{Tables: h.tables})
}

// endRunOn ends the oldest run on an agent.
func (h *planHistory) endRunOn(agent int) {
	i := slices.IndexFunc(h.live, func(p notch.RunPlacement) bool { return p.Life.Agent == h.agents[agent].ID })
	if i < 0 {
		return
	}
	p := h.live[i]
	h.live = slices.Delete(h.live, i, i+1)
	ref := notch.RunRef{Task: p.Task, Number: p.After + 1}
	h.commit(notch.EndRuns{Life: p.Life, Ends: []notch.RunEnd{{Run: ref, Kind: notch.RunStopped}}})
}

// refuseRunOn answers the start of the oldest run on an agent with a refusal.
func (h *planHistory) refuseRunOn(agent int) {
	i := slices.IndexFunc(h.live, func(p notch.RunPlacement) bool { return p.Life.Agent == h.agents[agent].ID })
	if i < 0 || h.live[i].Life != h.agents[agent].Incarnation() {
		return
	}
	o := notch.AgentOrder{Kind: notch.AgentStart, Token: 2 << incarnationBits, Run: notch.RunRef{Task: h.live[i].Task, Number: h.live[i].After + 1}}
	h.step(notch.AgentAnswered{Life: h.live[i].Life, Order: o, SentAt: h.now, Answer: notch.AgentAnswer{Kind: notch.AgentRefused, Reason: notch.ReasonNoCapacity}})
}

// answerIncarnation sends an agent's answer with lists that are partial, so that they end no run.
func (h *planHistory) answerIncarnation(a notch.Agent, kind notch.AgentOrderKind, answer notch.AgentAnswer) {
	answer.Partial, answer.Born, answer.Clock = true, a.Born, int64(h.now/1e6)
	h.step(notch.AgentAnswered{Life: a.Incarnation(), Order: notch.AgentOrder{Kind: kind, Token: 2 << incarnationBits}, SentAt: h.now, Answer: answer})
}

// answerAll sends an answer of each agent.
func (h *planHistory) answerAll() {
	for _, a := range h.agents {
		h.answerIncarnation(a, notch.AgentRenew, notch.AgentAnswer{Kind: notch.AgentOK})
	}
}

// plan makes a plan and commits it after a change, unless the placements are lost. It returns them.
func (h *planHistory) plan(change planChange, lost bool) []notch.RunPlacement {
	placed := h.planAfter(100 * time.Millisecond)
	h.apply(change)
	if lost {
		h.advance(DefaultTiming.ReproposeInterval)
	} else if len(placed) > 0 {
		h.commit(notch.PlaceRuns{Token: 2, Placements: placed})
		h.live = append(h.live, placed...)
	}
	return placed
}

// TestPlansRememberDifferential guards against tasks that wait although an agent has gained room for
// them: it compares plans with ones that remember nothing of those before.
func TestPlansRememberDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := []Policy{DefaultPolicy(), NaivePolicy()}[rapid.IntRange(0, 1).Draw(t, "policy")]
		policy.ColocationModel = interferenceByImage{policy.ColocationModel}
		var histories [2]*planHistory
		drawn := drawAgents(t)
		for i := range histories {
			histories[i] = newPlanHistory(policy, drawn)
		}
		for n := range rapid.IntRange(1, 12).Draw(t, "plans") {
			changes, meanwhile := drawPlanChanges(t, len(drawn)), drawPlanChanges(t, len(drawn))[0]
			lost, answered := rapid.IntRange(0, 9).Draw(t, "lost") == 0, rapid.Bool().Draw(t, "answered")
			var placed [2][]notch.RunPlacement
			for i, h := range histories {
				for _, c := range changes {
					h.apply(c)
				}
				if answered {
					h.answerAll()
				}
				if i == 1 {
					h.forgetPlans()
				}
				placed[i] = h.plan(meanwhile, lost)
			}
			if got, want := placed[0], placed[1]; !reflect.DeepEqual(got, want) {
				t.Fatalf("plan %d: got placements %v, want %v", n, got, want)
			}
		}
	})
}
