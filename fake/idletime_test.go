package fake

import (
	"fmt"
	"slices"
	"testing"
	"time"

	notch "tamaracknotch"
)

// maxIdleTime is the time from which on a task whose turn has come counts as waiting, while no run of it is on an agent.
const maxIdleTime = 3 * time.Second

// checkRoom checks that most of the room on the agents is free, so that no task waits for room.
func (l *lateOrdersTest) checkRoom(t *testing.T) {
	var size, used int64
	for _, a := range l.agents {
		size += a.Size.MilliCPU
		for ref := range a.runs {
			st, _ := l.workflowChecker.stage(ref.Task)
			used += st.Size.MilliCPU
		}
	}
	if used > size/2 {
		t.Fatalf("the load leaves too little room for this test: %d of %d mCPU are in use", used, size)
	}
}

// waits returns an error for each task that was waiting finishTime after the end of the load or later, and for each
// workflow that wasn't accepted or completed.
func (l *lateOrdersTest) waits(end time.Duration) (errs []string) {
	for _, id := range l.ids {
		if !l.accepted[id] {
			errs = append(errs, fmt.Sprintf("LOST: workflow %s wasn't accepted", id))
			continue
		}
		for i, st := range l.workflowChecker.workflows[id].Stages {
			turn := l.turnOf(id, st)
			for k := range st.Count {
				task := notch.TaskRef{Flow: id, Stage: i, Index: k}
				for _, idle := range l.idleTimes(task, turn) {
					if idle.To > end+finishTime && idle.To-idle.From > maxIdleTime {
						errs = append(errs, fmt.Sprintf("LOST: %v had nothing running from %v to %v after the end of the load", task, idle.From-end, idle.To-end))
					}
				}
			}
		}
	}
	return errs
}

// turnOf returns when the tasks of a stage could start: when the workflow was accepted, and the stages before were done.
func (l *lateOrdersTest) turnOf(id string, st notch.Stage) time.Duration {
	turn := l.acceptedAt[id]
	for _, before := range st.After {
		for k := range l.workflowChecker.workflows[id].Stages[before].Count {
			turn = max(turn, l.finishedAt[notch.TaskRef{Flow: id, Stage: before, Index: k}])
		}
	}
	return turn
}

// idleTimes returns the times since the turn of a task in which no run of it was on an agent, as the agents have seen it. It
// records when the task was finished. An end that isn't acknowledged may have been lost with its agent: then another run
// is done later.
func (l *lateOrdersTest) idleTimes(task notch.TaskRef, turn time.Duration) (out []timeRange) {
	runs, idleFrom := l.workflowChecker.history[task], turn
	for i, r := range runs {
		if r.startedAt > idleFrom {
			out = append(out, timeRange{idleFrom, r.startedAt})
		}
		idleFrom = max(idleFrom, r.endedAt)
		if r.kind == notch.RunDone && (r.acknowledgedAt != 0 || !slices.ContainsFunc(runs[i+1:], isDone)) {
			l.finishedAt[task] = r.endedAt
			return out
		}
		if r.endedAt == 0 {
			return out
		}
	}
	l.finishedAt[task] = l.Now()
	return append(out, timeRange{idleFrom, l.Now()})
}

func isDone(r *runRecord) bool { return r.kind == notch.RunDone }
