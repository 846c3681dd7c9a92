// Package graph holds workflows as immutable values: which of their tasks may run, given the
// dependencies between stages, and how a change of one task changes the workflow.
package graph

import (
	"slices"
	"time"

	notch "tamaracknotch"
)

// Workflow is a workflow with its tasks and with counts derived from them. Values are shared
// and must not be modified.
type Workflow struct {
	notch.WorkflowRecord
	unfinished    []int           // number of tasks that are not done, by group
	waiting       []int           // number of open tasks without a run, by group
	liveRuns      int             // number of runs that aren't known to have ended
	criticalPaths []time.Duration // by stage
}

// New returns a workflow that was accepted at the given time and has no runs yet.
func New(w notch.Workflow, at notch.Time) *Workflow {
	r := notch.WorkflowRecord{Flow: w, At: at, State: notch.WorkflowQueued}
	for range w.RoundCount() {
		for _, st := range w.Stages {
			tasks := make([]notch.WorkflowTask, st.Count)
			for i := range tasks {
				tasks[i].Idle = at
			}
			r.Tasks = append(r.Tasks, tasks)
		}
	}
	return Restore(r)
}

// Restore returns the workflow of a record.
func Restore(r notch.WorkflowRecord) *Workflow {
	w := &Workflow{WorkflowRecord: r}
	for _, tasks := range r.Tasks {
		unfinished, waiting := 0, 0
		for _, t := range tasks {
			w.liveRuns += len(t.Runs)
			if t.State != notch.TaskDone {
				unfinished++
			}
			waiting += countWaiting(t)
		}
		w.unfinished = append(w.unfinished, unfinished)
		w.waiting = append(w.waiting, waiting)
	}
	w.criticalPaths = criticalPaths(r.Flow.Stages)
	return w
}

// Record returns the part of the workflow that snapshots contain.
func (w *Workflow) Record() notch.WorkflowRecord { return w.WorkflowRecord }

// LiveRuns returns the number of runs that aren't known to have ended.
func (w *Workflow) LiveRuns() int { return w.liveRuns }

// GroupCount returns the number of groups: rounds times stages. A group is the tasks of one
// stage in one round.
func (w *Workflow) GroupCount() int { return len(w.Tasks) }

// GroupIndex returns the position of the group of a round's stage.
func (w *Workflow) GroupIndex(round, stage int) int { return round*len(w.Flow.Stages) + stage }

// TaskRef returns the name of a task by its group and its index there.
func (w *Workflow) TaskRef(group, index int) notch.TaskRef {
	n := len(w.Flow.Stages)
	return notch.TaskRef{Flow: w.Flow.ID, Round: group / n, Stage: group % n, Index: index}
}

// Stage returns the stage of a group.
func (w *Workflow) Stage(group int) notch.Stage { return w.Flow.Stages[group%len(w.Flow.Stages)] }

// Task returns a task, or false if the workflow has no such task.
func (w *Workflow) Task(t notch.TaskRef) (notch.WorkflowTask, bool) {
	if t.Stage < 0 || t.Stage >= len(w.Flow.Stages) || t.Round < 0 || t.Index < 0 {
		return notch.WorkflowTask{}, false
	}
	g := w.GroupIndex(t.Round, t.Stage)
	if g >= len(w.Tasks) || t.Index >= len(w.Tasks[g]) {
		return notch.WorkflowTask{}, false
	}
	return w.Tasks[g][t.Index], true
}

// RoundDueAt returns when a round is due, as Unix time in ms; 0: immediately.
func (w *Workflow) RoundDueAt(round int) int64 {
	if w.Flow.Rounds == 0 {
		return 0
	}
	return w.Flow.First + int64(round)*w.Flow.Every.Milliseconds()
}

// Due reports whether the tasks of a group may run at the time unixMilli: their round is due
// and all stages that they depend on are done.
func (w *Workflow) Due(group int, unixMilli int64) bool {
	round := group / len(w.Flow.Stages)
	if w.State.Ended() || unixMilli < w.RoundDueAt(round) {
		return false
	}
	for _, a := range w.Stage(group).After {
		if w.unfinished[w.GroupIndex(round, a)] > 0 {
			return false
		}
	}
	return true
}

// Unfinished returns the number of tasks of a group that aren't done.
func (w *Workflow) Unfinished(group int) int { return w.unfinished[group] }

// HasWaiting reports whether a task of the workflow is open, may have runs and has none.
func (w *Workflow) HasWaiting() bool {
	return !w.State.Ended() && slices.ContainsFunc(w.waiting, func(n int) bool { return n > 0 })
}

// Waiting returns the number of tasks of a group that are open and have no run.
func (w *Workflow) Waiting(group int) int { return w.waiting[group] }

// EachWaiting calls f for each task of a group that is open and has no run, until f returns
// false.
func (w *Workflow) EachWaiting(group int, f func(ref notch.TaskRef, t notch.WorkflowTask) bool) {
	tasks := w.Tasks[group]
	left := w.waiting[group]
	for i := 0; left > 0; i++ {
		if countWaiting(tasks[i]) == 0 {
			continue
		}
		if left--; !f(w.TaskRef(group, i), tasks[i]) {
			return
		}
	}
}

// countWaiting returns 1 for an open task without a run, otherwise 0.
func countWaiting(t notch.WorkflowTask) int {
	if t.State == notch.TaskOpen && len(t.Runs) == 0 {
		return 1
	}
	return 0
}

// WithTask returns the workflow with one task replaced, and with the state that follows from it.
func (w *Workflow) WithTask(ref notch.TaskRef, t notch.WorkflowTask, at notch.Time) *Workflow {
	g := w.GroupIndex(ref.Round, ref.Stage)
	old := w.Tasks[g][ref.Index]
	next := *w
	next.Tasks = slices.Clone(w.Tasks)
	next.Tasks[g] = slices.Clone(w.Tasks[g])
	next.Tasks[g][ref.Index] = t
	next.liveRuns += len(t.Runs) - len(old.Runs)
	if old.State != notch.TaskDone && t.State == notch.TaskDone {
		next.unfinished = slices.Clone(w.unfinished)
		next.unfinished[g]--
	}
	if change := countWaiting(t) - countWaiting(old); change != 0 {
		next.waiting = slices.Clone(w.waiting)
		next.waiting[g] += change
	}
	return next.deriveState(t, at)
}

// deriveState sets the state that follows from the tasks, of which t was replaced last. It modifies
// w, which must be a copy that isn't shared yet.
func (w *Workflow) deriveState(t notch.WorkflowTask, at notch.Time) *Workflow {
	switch {
	case w.State.Ended():
	case t.State == notch.TaskFailed:
		w.State, w.Ended = notch.WorkflowFailed, at
	case !slices.ContainsFunc(w.unfinished, func(n int) bool { return n > 0 }):
		w.State, w.Ended = notch.WorkflowCompleted, at
	case w.State == notch.WorkflowQueued && w.liveRuns > 0:
		w.State = notch.WorkflowRunning
	}
	return w.dropUnneeded()
}

// dropUnneeded drops the tasks and the specification of a workflow that has ended and has no
// runs left. It modifies w, which must be a copy that isn't shared yet.
func (w *Workflow) dropUnneeded() *Workflow {
	if w.State.Ended() && w.liveRuns == 0 {
		w.Tasks, w.unfinished, w.waiting, w.criticalPaths = nil, nil, nil, nil
		w.Flow = notch.Workflow{ID: w.Flow.ID, Route: w.Flow.Route, Pool: w.Flow.Pool, Terms: w.Flow.Terms}
	}
	return w
}

// WithCancel returns the workflow cancelled. A workflow that has ended stays as it is.
func (w *Workflow) WithCancel(at notch.Time) *Workflow {
	if w.State.Ended() {
		return w
	}
	next := *w
	next.State, next.Ended = notch.WorkflowCancelled, at
	return next.dropUnneeded()
}

// MayRun reports whether a task may have runs.
func (w *Workflow) MayRun(t notch.WorkflowTask) bool {
	return !w.State.Ended() && t.State == notch.TaskOpen
}

// EachRun calls f for every run that isn't known to have ended.
func (w *Workflow) EachRun(f func(ref notch.TaskRef, t notch.WorkflowTask, r notch.Run)) {
	if w.liveRuns == 0 {
		return
	}
	for g, tasks := range w.Tasks {
		for i, t := range tasks {
			for _, r := range t.Runs {
				f(w.TaskRef(g, i), t, r)
			}
		}
	}
}

// CriticalPath returns the declared run time of the longest chain of dependent stages that starts
// with the stage of a group.
func (w *Workflow) CriticalPath(group int) time.Duration {
	return w.criticalPaths[group%len(w.criticalPaths)]
}

// criticalPaths returns the critical path from each stage on.
func criticalPaths(stages []notch.Stage) []time.Duration {
	longest := make([]time.Duration, len(stages))
	for i, st := range slices.Backward(stages) {
		longest[i] += st.Estimate
		for _, a := range st.After {
			longest[a] = max(longest[a], longest[i])
		}
	}
	return longest
}
