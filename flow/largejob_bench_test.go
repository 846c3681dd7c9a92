package flow

import (
	"fmt"
	"testing"
	"time"

	notch "tamaracknotch"
)

// BenchmarkLargeJob measures the placement of all tasks of one job, by 500 an entry, and their ends,
// one an entry. It reports the longest entry with placements and the time for all ends.
func BenchmarkLargeJob(b *testing.B) {
	const agents = 490
	for _, tasks := range []int{500, 5_000, 20_000} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			var longest, ends time.Duration
			for b.Loop() {
				s := newTestLeader(agents)
				s.submitSmall("f", tasks)
				for first := 0; first < tasks; first += maxStartsUnderWay {
					longest = max(longest, s.timed(s.placements("f", first, agents)))
				}
				for i := range tasks {
					ends += s.timed(endOf("f", i, agents))
				}
			}
			b.ReportMetric(float64(longest.Microseconds())/1000, "ms/longest-placement")
			b.ReportMetric(float64(ends.Milliseconds())/float64(b.N), "ms/ends")
		})
	}
}

// submitSmall submits a workflow of tasks that all fit on the agents at the same time.
func (s *testLeader) submitSmall(id string, tasks int) {
	s.commit(notch.SubmitWorkflow{Flow: notch.Workflow{ID: id, Route: "r", Spec: "x", Stages: []notch.Stage{
		{Count: tasks, Size: notch.Resources{MilliCPU: 100, MemoryMB: 100}, Estimate: time.Second},
	}}})
}

// placements places the tasks from the first one on, as many as a plan does.
func (s *testLeader) placements(id string, first, agents int) notch.PlaceRuns {
	s.advance(10 * time.Millisecond)
	var out []notch.RunPlacement
	for i := range maxStartsUnderWay {
		out = append(out, notch.RunPlacement{Task: notch.TaskRef{Flow: id, Index: first + i}, Life: lifeOf(first+i, agents)})
	}
	return notch.PlaceRuns{Token: 2, Placements: out}
}

// endOf returns the end of the first run of a task.
func endOf(id string, task, agents int) notch.EndRuns {
	run := notch.RunRef{Task: notch.TaskRef{Flow: id, Index: task}, Number: 1}
	return notch.EndRuns{Life: lifeOf(task, agents), Ends: []notch.RunEnd{{Run: run, Kind: notch.RunDone}}}
}

// lifeOf returns the incarnation of the agent that runs a task.
func lifeOf(task, agents int) notch.AgentIncarnation {
	return notch.AgentIncarnation{Agent: fmt.Sprint("w", task%agents), Born: 1}
}

// timed commits a command and returns how long that took.
func (s *testLeader) timed(c notch.Command) time.Duration {
	start := time.Now()
	s.commit(c)
	return time.Since(start)
}
