package flow

import (
	"fmt"
	"testing"
	"time"

	notch "tamaracknotch"
)

// testLeader is a leading part with agents, each of which may run tasks.
type testLeader struct {
	state notch.State
	now   notch.Time
	index uint64
}

func (s *testLeader) step(b notch.Body) {
	s.state, _ = notch.Step(s.state, notch.Event{At: s.now, Seed: s.index, Body: b})
}

func (s *testLeader) commit(c notch.Command) {
	s.index++
	s.step(notch.Committed{Entry: notch.LogEntry{Index: s.index, Term: 2, At: s.now, Command: c}})
}

func (s *testLeader) advance(d time.Duration) {
	s.now = s.now.Add(d)
	s.step(notch.Leadership{Leading: true, Term: 2, Ready: 1, Contact: s.now})
}

func newTestLeader(agents int, opts ...Option) *testLeader {
	s := &testLeader{state: notch.NewState(New(notch.Daemon{Name: "a"}, opts...)), now: notch.Time(time.Hour)}
	s.step(notch.TablesCommitted{Tables: testTables()})
	s.advance(0)
	for i := range agents {
		s.admit(testAgent(i), i)
	}
	return s
}

// testTables returns tables with two routes to one pool.
func testTables() notch.Tables {
	return notch.Tables{
		Revision: 1, Routes: []notch.Route{
			{Name: "r", Path: "/r/", Pool: "p", Attempts: 3, Stretch: 2, Priority: 1},
			{Name: "urgent", Path: "/urgent/", Pool: "p", Attempts: 3, Stretch: 2},
		},
		Pools: []notch.Pool{{Name: "p", Kind: notch.WorkerPool}},
	}
}

// testAgent returns agent i.
func testAgent(i int) notch.Agent {
	return notch.Agent{ID: fmt.Sprintf("w%d", i), Born: 1, Pool: "p", Address: "x", Size: notch.Resources{MilliCPU: 64000, MemoryMB: 256000}}
}

// admit admits agent i and answers its first lease renewal.
func (s *testLeader) admit(a notch.Agent, i int) {
	s.commit(notch.AdmitAgent{Agent: a})
	s.answerRenewal(i)
}

// answerRenewal sends agent i's answer to a lease renewal, with empty lists.
func (s *testLeader) answerRenewal(i int) {
	id := fmt.Sprintf("w%d", i)
	o := notch.AgentOrder{Kind: notch.AgentRenew, Token: 2<<incarnationBits | uint64(i+1)}
	s.step(notch.AgentAnswered{
		Life: notch.AgentIncarnation{Agent: id, Born: 1}, Order: o, SentAt: s.now,
		Answer: notch.AgentAnswer{Kind: notch.AgentOK, Clock: int64(s.now / 1e6), Born: 1},
	})
}

func (s *testLeader) submit(id string, tasks int) {
	s.commit(notch.SubmitWorkflow{Flow: notch.Workflow{ID: id, Route: "r", Spec: "x", Stages: []notch.Stage{
		{Count: tasks, Size: notch.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Second},
	}}})
}

// agentCounts are the numbers of agents that the benchmarks run with.
var agentCounts = []int{50, 400, 3900}

// BenchmarkLeaseRenewal measures the leader's cost of an agent's answer with empty lists.
func BenchmarkLeaseRenewal(b *testing.B) {
	for _, n := range agentCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newTestLeader(n)
			for i := 0; b.Loop(); i++ {
				s.answerRenewal(i % n)
			}
		})
	}
}

// BenchmarkTick measures the cost of a tick; there are 20 ticks a second.
func BenchmarkTick(b *testing.B) {
	for _, n := range agentCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newTestLeader(n)
			for b.Loop() {
				s.step(notch.Tick{})
			}
		})
	}
}

// BenchmarkWorkflow measures the leader's cost of a workflow of ten tasks, from its submission
// through one plan to the ends of its runs.
func BenchmarkWorkflow(b *testing.B) {
	for _, n := range agentCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newTestLeader(n)
			for i := 0; b.Loop(); i++ {
				s.runWorkflow(fmt.Sprintf("f%d", i), 10)
			}
		})
	}
}

// runWorkflow submits a workflow, places its tasks and ends its runs.
func (s *testLeader) runWorkflow(id string, tasks int) {
	s.submit(id, tasks)
	s.advance(20 * time.Millisecond)
	s.step(notch.Flush{})
	var placed []notch.RunPlacement
	byAgent := map[notch.AgentIncarnation][]notch.RunEnd{}
	for i := range tasks {
		t := notch.TaskRef{Flow: id, Index: i}
		incarnation := notch.AgentIncarnation{Agent: fmt.Sprintf("w%d", i), Born: 1}
		placed = append(placed, notch.RunPlacement{Task: t, Life: incarnation})
		byAgent[incarnation] = append(byAgent[incarnation], notch.RunEnd{Run: notch.RunRef{Task: t, Number: 1}, Kind: notch.RunDone})
	}
	s.commit(notch.PlaceRuns{Token: 2, Placements: placed})
	for incarnation, ends := range byAgent {
		s.commit(notch.EndRuns{Life: incarnation, Ends: ends})
	}
}

// BenchmarkColocation measures the cost of an agent's answer with measurements, by the number of
// service tasks. There are as many opportunistic tasks.
func BenchmarkColocation(b *testing.B) {
	for _, n := range []int{2, 6, 12} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newTestLeader(1)
			live := s.placeColocated(n)
			o := notch.AgentOrder{Kind: notch.AgentRenew, Token: 2<<incarnationBits | 1}
			for b.Loop() {
				s.now = s.now.Add(100 * time.Millisecond)
				s.step(notch.Leadership{Leading: true, Term: 2, Ready: 1, Contact: s.now})
				s.step(notch.AgentAnswered{
					Life: notch.AgentIncarnation{Agent: "w0", Born: 1}, Order: o, SentAt: s.now,
					Answer: notch.AgentAnswer{Kind: notch.AgentOK, Clock: int64(s.now / 1e6), Born: 1, Live: live},
				})
			}
		})
	}
}

// BenchmarkLists measures the cost of an agent's answer that lists runs, by their number.
func BenchmarkLists(b *testing.B) {
	for _, n := range []int{5, 20, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newTestLeader(1)
			s.submit("f", n)
			var live []notch.LiveRun
			var placed []notch.RunPlacement
			for i := range n {
				run := notch.RunRef{Task: notch.TaskRef{Flow: "f", Index: i}, Number: 1}
				placed = append(placed, notch.RunPlacement{Task: run.Task, Life: notch.AgentIncarnation{Agent: "w0", Born: 1}})
				live = append(live, notch.LiveRun{Run: run, Progress: 40, Measurement: 900})
			}
			s.commit(notch.PlaceRuns{Token: 2, Placements: placed})
			o := notch.AgentOrder{Kind: notch.AgentRenew, Token: 2<<incarnationBits | 1}
			b.ReportAllocs()
			for b.Loop() {
				s.advance(100 * time.Millisecond)
				s.step(notch.AgentAnswered{
					Life: notch.AgentIncarnation{Agent: "w0", Born: 1}, Order: o, SentAt: s.now,
					Answer: notch.AgentAnswer{Kind: notch.AgentOK, Clock: int64(s.now / 1e6), Born: 1, Live: live},
				})
			}
		})
	}
}

// placeColocated places n service tasks and n opportunistic tasks on the first agent, and returns
// its list of live runs.
func (s *testLeader) placeColocated(n int) []notch.LiveRun {
	var live []notch.LiveRun
	var placed []notch.RunPlacement
	for i := range 2 * n {
		id := fmt.Sprint("f", i)
		st := notch.Stage{Count: 1, Size: notch.Resources{MilliCPU: 1000, MemoryMB: 100}, Image: fmt.Sprint("i", i%8)}
		l := notch.LiveRun{Run: notch.RunRef{Task: notch.TaskRef{Flow: id}, Number: 1}, Progress: 100, Measurement: 40}
		if st.Fills = i >= n; !st.Fills {
			st.Lasts, st.Target = true, 100*time.Millisecond
		}
		s.commit(notch.SubmitWorkflow{Flow: notch.Workflow{ID: id, Route: "r", Stages: []notch.Stage{st}}})
		placed = append(placed, notch.RunPlacement{Task: l.Run.Task, Life: notch.AgentIncarnation{Agent: "w0", Born: 1}})
		live = append(live, l)
	}
	s.commit(notch.PlaceRuns{Token: 2, Placements: placed})
	return live
}
