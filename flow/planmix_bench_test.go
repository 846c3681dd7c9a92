package flow

import (
	"fmt"
	"slices"
	"testing"
	"time"

	notch "tamaracknotch"
)

// The images of the mix of tasks that BenchmarkPlanMix plans.
const (
	serviceImageCount       = 10
	opportunisticImageCount = 18
)

// What colocate places on each agent.
const (
	serviceImagesPerAgent = 2
	serviceTasksPerAgent  = 4
	opportunisticPerAgent = 3 // of an image each
	opportunisticMilliCPU = 4000
)

// BenchmarkPlanMix measures a plan for opportunistic groups that wait for headroom beside service
// tasks, by the number of groups. Between two plans, some agents answer with new measurements. It
// reports the median, without the time of these answers.
func BenchmarkPlanMix(b *testing.B) {
	const agents = 350
	for _, waiting := range []int{1, 100, 400} {
		for _, answers := range []int{0, 35, 350} {
			b.Run(fmt.Sprintf("waiting=%d/answers=%d", waiting, answers), func(b *testing.B) {
				s := newTestLeader(agents)
				for i := range agents {
					s.colocate(i)
				}
				s.submitOpportunistic(waiting)
				s.plan()
				var times []time.Duration
				next, scores := 0, 0
				for b.Loop() {
					s.advance(20 * time.Millisecond)
					for range answers {
						s.answerColocated(next%agents, 30+next%7)
						next++
					}
					start := time.Now()
					s.step(notch.Tick{})
					state, effects := notch.Step(s.state, notch.Event{At: s.now, Body: notch.Flush{}})
					took, made := time.Since(start), planMade(effects)
					if made.Ready > 0 { // else the plan before needs a longer pause
						times, scores = append(times, took), scores+made.AgentsExamined
					}
					s.state = state
				}
				slices.Sort(times)
				b.ReportMetric(float64(times[len(times)/2].Microseconds()), "us/plan")
				b.ReportMetric(float64(scores)/float64(len(times)), "scores/plan")
			})
		}
	}
}

// planMade returns the report of the plan among effects.
func planMade(effects []notch.Effect) notch.PlanMade {
	for _, e := range effects {
		if made, ok := e.(notch.PlanMade); ok {
			return made
		}
	}
	return notch.PlanMade{}
}

// colocatedRuns lists the stages of the tasks that colocate places on agent i.
func colocatedRuns(i int) []notch.Stage {
	var out []notch.Stage
	for k := range serviceTasksPerAgent {
		out = append(out, notch.Stage{
			Count: 1, Size: notch.Resources{MilliCPU: 5000, MemoryMB: 1000}, Lasts: true,
			Image: fmt.Sprint("s", (i+k%serviceImagesPerAgent)%serviceImageCount), Target: 100 * time.Millisecond,
		})
	}
	for k := range opportunisticPerAgent {
		out = append(out, notch.Stage{
			Count: 1, Size: notch.Resources{MilliCPU: opportunisticMilliCPU, MemoryMB: 1000}, Fills: true,
			Image: fmt.Sprint("o", (i+k)%opportunisticImageCount),
		})
	}
	return out
}

// colocate places colocatedRuns on agent i.
func (s *testLeader) colocate(i int) {
	for k, st := range colocatedRuns(i) {
		id := fmt.Sprintf("base%d-%d", i, k)
		s.commit(notch.SubmitWorkflow{Flow: notch.Workflow{ID: id, Route: "r", Stages: []notch.Stage{st}}})
		s.commit(notch.PlaceRuns{Token: 2, Placements: []notch.RunPlacement{
			{Task: notch.TaskRef{Flow: id}, Life: notch.AgentIncarnation{Agent: fmt.Sprintf("w%d", i), Born: 1}},
		}})
	}
}

// answerColocated sends agent i's answer to a lease renewal with the tail latency of its service
// tasks in ms.
func (s *testLeader) answerColocated(i, tail int) {
	var live []notch.LiveRun
	for k, st := range colocatedRuns(i) {
		l := notch.LiveRun{Run: runOf(fmt.Sprintf("base%d-%d", i, k), 0), Progress: 100, Measurement: tail}
		if st.Fills {
			l.Progress, l.Measurement = 50, int(st.Size.MilliCPU)
		}
		live = append(live, l)
	}
	o := notch.AgentOrder{Kind: notch.AgentRenew, Token: 2<<incarnationBits | uint64(i+1)}
	s.step(notch.AgentAnswered{
		Life: notch.AgentIncarnation{Agent: fmt.Sprintf("w%d", i), Born: 1}, Order: o, SentAt: s.now,
		Answer: notch.AgentAnswer{Kind: notch.AgentOK, Clock: int64(s.now / 1e6), Born: 1, Live: live},
	})
}

// submitOpportunistic submits opportunistic workflows that fit on no agent.
func (s *testLeader) submitOpportunistic(workflows int) {
	for i := range workflows {
		size := notch.Resources{MilliCPU: 60000 + int64(i*7919%4000), MemoryMB: 1000 + int64(i*104729%3000)}
		st := notch.Stage{Count: 20, Size: size, Estimate: time.Second, Fills: true, Image: fmt.Sprint("o", i%opportunisticImageCount)}
		s.commit(notch.SubmitWorkflow{Flow: notch.Workflow{ID: fmt.Sprintf("waiting%d", i), Route: "r", Stages: []notch.Stage{st}}})
	}
}
