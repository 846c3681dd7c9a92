// Package graph holds jobs made of stages as immutable values: which tasks are due,
// after which stages, and what a change of one task does to its job.
package graph

import (
	"slices"
	"time"

	notch "tamaracknotch"
)

// Job is a job made of stages. Values are shared and never modified.
type Job struct {
	notch.FlowRecord
	left []int // tasks that aren't done, by round and stage
	live int   // runs that aren't known to have ended
}

// New returns a job of which nothing has begun.
func New(f notch.Flow, at notch.Time) *Job {
	r := notch.FlowRecord{Flow: f, At: at, State: notch.FlowQueued}
	for range f.RoundCount() {
		for _, st := range f.Stages {
			tasks := make([]notch.FlowTask, st.Count)
			for i := range tasks {
				tasks[i].Idle = at
			}
			r.Tasks = append(r.Tasks, tasks)
		}
	}
	return Restore(r)
}

// Restore returns the job of a record.
func Restore(r notch.FlowRecord) *Job {
	j := &Job{FlowRecord: r}
	for _, tasks := range r.Tasks {
		left := 0
		for _, t := range tasks {
			j.live += len(t.Runs)
			if t.State != notch.TaskDone {
				left++
			}
		}
		j.left = append(j.left, left)
	}
	return j
}

// Record returns what a snapshot holds of the job.
func (j *Job) Record() notch.FlowRecord { return j.FlowRecord }

// Live returns the number of runs that aren't known to have ended.
func (j *Job) Live() int { return j.live }

// Groups returns the number of rounds times stages.
func (j *Job) Groups() int { return len(j.Tasks) }

// Group returns the position of a round's stage.
func (j *Job) Group(round, stage int) int { return round*len(j.Flow.Stages) + stage }

// Ref returns the name of task index of a group.
func (j *Job) Ref(group, index int) notch.TaskRef {
	n := len(j.Flow.Stages)
	return notch.TaskRef{Flow: j.Flow.ID, Round: group / n, Stage: group % n, Index: index}
}

// Stage returns the stage of a group.
func (j *Job) Stage(group int) notch.Stage { return j.Flow.Stages[group%len(j.Flow.Stages)] }

// Task returns a task of the job.
func (j *Job) Task(t notch.TaskRef) (notch.FlowTask, bool) {
	if t.Stage < 0 || t.Stage >= len(j.Flow.Stages) || t.Round < 0 || t.Index < 0 {
		return notch.FlowTask{}, false
	}
	g := j.Group(t.Round, t.Stage)
	if g >= len(j.Tasks) || t.Index >= len(j.Tasks[g]) {
		return notch.FlowTask{}, false
	}
	return j.Tasks[g][t.Index], true
}

// DueAt returns when a round is due, Unix time in ms; 0: at once.
func (j *Job) DueAt(round int) int64 {
	if j.Flow.Rounds == 0 {
		return 0
	}
	return j.Flow.First + int64(round)*j.Flow.Every.Milliseconds()
}

// Due reports whether the tasks of a group may run at the Unix time in ms.
func (j *Job) Due(group int, wall int64) bool {
	round := group / len(j.Flow.Stages)
	if j.State.Ended() || wall < j.DueAt(round) {
		return false
	}
	for _, a := range j.Stage(group).After {
		if j.left[j.Group(round, a)] > 0 {
			return false
		}
	}
	return true
}

// Left returns the number of tasks of a group that aren't done.
func (j *Job) Left(group int) int { return j.left[group] }

// WithTask returns the job with one task replaced. The job's state follows.
func (j *Job) WithTask(ref notch.TaskRef, t notch.FlowTask, at notch.Time) *Job {
	g := j.Group(ref.Round, ref.Stage)
	old := j.Tasks[g][ref.Index]
	next := *j
	next.Tasks = slices.Clone(j.Tasks)
	next.Tasks[g] = slices.Clone(j.Tasks[g])
	next.Tasks[g][ref.Index] = t
	next.live += len(t.Runs) - len(old.Runs)
	if old.State != notch.TaskDone && t.State == notch.TaskDone {
		next.left = slices.Clone(j.left)
		next.left[g]--
	}
	return next.settle(at)
}

// settle derives the state of a job that was just copied.
func (j *Job) settle(at notch.Time) *Job {
	switch {
	case j.State.Ended():
	case slices.ContainsFunc(j.Tasks, hasFailed):
		j.State, j.Ended = notch.FlowFailed, at
	case !slices.ContainsFunc(j.left, func(n int) bool { return n > 0 }):
		j.State, j.Ended = notch.FlowCompleted, at
	case j.State == notch.FlowQueued && j.live > 0:
		j.State = notch.FlowRunning
	}
	return j.shrink()
}

func hasFailed(tasks []notch.FlowTask) bool {
	return slices.ContainsFunc(tasks, func(t notch.FlowTask) bool { return t.State == notch.TaskFailed })
}

// shrink drops what an ended job no longer needs.
func (j *Job) shrink() *Job {
	if j.State.Ended() && j.live == 0 {
		j.Tasks, j.left = nil, nil
		j.Flow = notch.Flow{ID: j.Flow.ID, Route: j.Flow.Route, Pool: j.Flow.Pool, Terms: j.Flow.Terms}
	}
	return j
}

// WithCancel returns the job cancelled, unless it had ended before.
func (j *Job) WithCancel(at notch.Time) *Job {
	if j.State.Ended() {
		return j
	}
	next := *j
	next.State, next.Ended = notch.FlowCancelled, at
	return next.shrink()
}

// Wanted reports whether a task may have runs.
func (j *Job) Wanted(t notch.FlowTask) bool { return !j.State.Ended() && t.State == notch.TaskOpen }

// Runs calls f for every run that isn't known to have ended.
func (j *Job) Runs(f func(ref notch.TaskRef, t notch.FlowTask, r notch.Run)) {
	if j.live == 0 {
		return
	}
	for g, tasks := range j.Tasks {
		for i, t := range tasks {
			for _, r := range t.Runs {
				f(j.Ref(g, i), t, r)
			}
		}
	}
}

// Chain returns the run time of the longest chain of stages from a group on,
// itself included, by the given estimate of one stage.
func (j *Job) Chain(group int, estimate func(notch.Stage) time.Duration) time.Duration {
	n := len(j.Flow.Stages)
	longest := make([]time.Duration, n)
	for i := n - 1; i >= group%n; i-- {
		longest[i] += estimate(j.Flow.Stages[i])
		for _, a := range j.Flow.Stages[i].After {
			longest[a] = max(longest[a], longest[i])
		}
	}
	return longest[group%n]
}
