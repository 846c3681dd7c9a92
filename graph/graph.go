// Package graph holds workflows as immutable values: which of their tasks may run, given the
// dependencies between stages, and how a change of one task changes the workflow.
package graph

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// Workflow is a workflow with its tasks and with counts derived from them. Values are shared
// and must not be modified.
type Workflow struct {
	Flow          *notch.Workflow // never modified
	At            notch.Time      // when it was accepted, by the clock of the leader that proposed it
	Ended         notch.Time
	State         notch.WorkflowState
	Reason        string                  // why it failed, unless runs of a task did
	groups        *immutable.List[*group] // one for each stage of each round; empty once they were dropped
	tasks         int                     // number of tasks
	unfinished    int                     // number of tasks that are not done
	waiting       int                     // number of open tasks without a run
	liveRuns      int                     // number of runs that aren't known to have ended
	begun         bool                    // a run of a task is known to have been done or to have failed
	idleSince     notch.Time              // when the last run ended, or the workflow was accepted
	criticalPaths []time.Duration         // by stage
	runTimes      []time.Duration         // by stage, of its longest run where that was longer than declared; nil: none was; not in records
	failedTimes   []time.Duration         // by stage, what the task with the most failed runs lost to them; nil: none failed; not in records
}

// New returns a workflow that was accepted at the given time and has no runs yet.
func New(f notch.Workflow, at notch.Time) *Workflow {
	w := &Workflow{Flow: &f, At: at, State: notch.WorkflowQueued, idleSince: at, criticalPaths: criticalPaths(f.Stages, nil)}
	var round []*group // the rounds share them until their tasks change
	for _, st := range f.Stages {
		round = append(round, newGroup(st.Count, at))
	}
	groups := immutable.NewListBuilder[*group]()
	for range f.RoundCount() {
		for _, g := range round {
			groups.Append(g)
			w.unfinished += g.unfinished
			w.tasks += g.unfinished
			w.waiting += g.waiting
		}
	}
	w.groups = groups.List()
	return w
}

// Restore returns the workflow of a record.
func Restore(r notch.WorkflowRecord) *Workflow {
	w := &Workflow{Flow: &r.Flow, At: r.At, Ended: r.Ended, State: r.State, Reason: r.Reason, criticalPaths: criticalPaths(r.Flow.Stages, nil)}
	groups := immutable.NewListBuilder[*group]()
	for _, row := range r.Tasks {
		g := restoreGroup(row)
		groups.Append(g)
		w.unfinished += g.unfinished
		w.tasks += len(row)
		w.waiting += g.waiting
		for _, t := range row {
			w.liveRuns += len(t.Runs)
			w.begun = w.begun || hasBegun(t)
			w.idleSince = max(w.idleSince, t.Idle)
		}
	}
	w.groups = groups.List()
	return w
}

// Record returns the part of the workflow that snapshots contain.
func (w *Workflow) Record() notch.WorkflowRecord {
	out := notch.WorkflowRecord{Flow: *w.Flow, At: w.At, Ended: w.Ended, State: w.State, Reason: w.Reason}
	for it := w.groups.Iterator(); !it.Done(); {
		_, g := it.Next()
		out.Tasks = append(out.Tasks, g.row())
	}
	return out
}

// hasBegun reports whether a run of a task was done or has failed. How others ended isn't kept.
func hasBegun(t notch.WorkflowTask) bool { return t.State == notch.TaskDone || t.Failures > 0 }

// HasBegun reports whether the ends of its runs show that a task of the workflow has started. Runs that are placed
// may not start.
func (w *Workflow) HasBegun() bool { return w.begun }

// LiveRuns returns the number of runs that aren't known to have ended.
func (w *Workflow) LiveRuns() int { return w.liveRuns }

// IdleSince returns since when none of its tasks has run. It returns false while one runs.
func (w *Workflow) IdleSince() (notch.Time, bool) { return w.idleSince, w.liveRuns == 0 }

// Starts returns the number of runs that its tasks have had, or 0 once they were dropped.
func (w *Workflow) Starts() int {
	n := 0
	for it := w.groups.Iterator(); !it.Done(); {
		_, g := it.Next()
		for tasks := g.tasks.Iterator(); !tasks.Done(); {
			_, t := tasks.Next()
			n += int(t.Latest)
		}
	}
	return n
}

// GroupCount returns the number of groups: rounds times stages. A group is the tasks of one
// stage in one round.
func (w *Workflow) GroupCount() int { return w.groups.Len() }

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
	if g >= w.groups.Len() || t.Index >= w.groups.Get(g).tasks.Len() {
		return notch.WorkflowTask{}, false
	}
	return *w.groups.Get(g).tasks.Get(t.Index), true
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
	for _, a := range w.Flow.Stages[group%len(w.Flow.Stages)].After {
		if w.Unfinished(w.GroupIndex(round, a)) > 0 {
			return false
		}
	}
	return true
}

// ReadySince returns when the last task ended of the stages that a task's stage depends on.
func (w *Workflow) ReadySince(t notch.TaskRef) notch.Time {
	since := w.At
	for _, a := range w.Flow.Stages[t.Stage].After {
		for it := w.groups.Get(w.GroupIndex(t.Round, a)).tasks.Iterator(); !it.Done(); {
			_, before := it.Next()
			since = max(since, before.Idle)
		}
	}
	return since
}

// Unfinished returns the number of tasks of a group that aren't done.
func (w *Workflow) Unfinished(group int) int { return w.groups.Get(group).unfinished }

// UnfinishedShare returns the share of its tasks that are not done.
func (w *Workflow) UnfinishedShare() float64 {
	return float64(w.unfinished) / float64(max(1, w.tasks))
}

// HasWaiting reports whether a task of the workflow is open, may have runs and has none.
func (w *Workflow) HasWaiting() bool { return !w.State.Ended() && w.waiting > 0 }

// Waiting returns the number of tasks of a group that are open and have no run.
func (w *Workflow) Waiting(group int) int { return w.groups.Get(group).waiting }

// EachWaiting calls f for each task of a group that is open and has no run, until f returns
// false.
func (w *Workflow) EachWaiting(group int, f func(ref notch.TaskRef, t notch.WorkflowTask) bool) {
	w.groups.Get(group).eachWaiting(func(i int, t notch.WorkflowTask) bool { return f(w.TaskRef(group, i), t) })
}

// WithTask returns the workflow with one task replaced, and with the state that follows from it.
func (w *Workflow) WithTask(ref notch.TaskRef, t notch.WorkflowTask, at notch.Time) *Workflow {
	i := w.GroupIndex(ref.Round, ref.Stage)
	old := w.groups.Get(i)
	changed := old.withTask(ref.Index, t)
	next := *w
	next.groups = w.groups.Set(i, changed)
	next.unfinished += changed.unfinished - old.unfinished
	next.waiting += changed.waiting - old.waiting
	next.liveRuns += len(t.Runs) - len(old.tasks.Get(ref.Index).Runs)
	next.begun = next.begun || hasBegun(t)
	if next.liveRuns == 0 && w.liveRuns > 0 {
		next.idleSince = at
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
	case w.unfinished == 0:
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
		w.groups, w.unfinished, w.waiting = immutable.NewList[*group](), 0, 0
		w.criticalPaths, w.runTimes, w.failedTimes = nil, nil, nil
		w.Flow = &notch.Workflow{ID: w.Flow.ID, Route: w.Flow.Route, Pool: w.Flow.Pool, Terms: w.Flow.Terms}
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

// WithReason returns the workflow with the reason why it failed.
func (w *Workflow) WithReason(reason string) *Workflow {
	next := *w
	next.Reason = reason
	return &next
}

// MayRun reports whether a task may have runs.
func (w *Workflow) MayRun(t notch.WorkflowTask) bool {
	return !w.State.Ended() && t.State == notch.TaskOpen
}

// EachTask calls f for every task.
func (w *Workflow) EachTask(f func(ref notch.TaskRef, t notch.WorkflowTask)) {
	for g := range w.groups.Len() {
		for it := w.groups.Get(g).tasks.Iterator(); !it.Done(); {
			i, t := it.Next()
			f(w.TaskRef(g, i), *t)
		}
	}
}

// EachRun calls f for every run that isn't known to have ended.
func (w *Workflow) EachRun(f func(ref notch.TaskRef, t notch.WorkflowTask, r notch.Run)) {
	if w.liveRuns == 0 {
		return
	}
	for g := range w.groups.Len() {
		w.EachGroupRun(g, f)
	}
}

// EachGroupRun calls f for every run of a group that isn't known to have ended.
func (w *Workflow) EachGroupRun(group int, f func(ref notch.TaskRef, t notch.WorkflowTask, r notch.Run)) {
	for it := w.groups.Get(group).tasks.Iterator(); !it.Done(); {
		i, t := it.Next()
		for _, r := range t.Runs {
			f(w.TaskRef(group, i), *t, r)
		}
	}
}

// longerThanDeclared is the multiple of its declared run time from which on a run counts as longer. What a busy
// leader adds to a short run makes no difference.
const longerThanDeclared = 2

// WithRunTime returns the workflow after a run of a stage that took d from its placement to its end. Declared
// run times may be far from the real ones, and a workflow's objective follows the real ones.
func (w *Workflow) WithRunTime(stage int, d time.Duration) *Workflow {
	if st := w.Flow.Stages[stage]; st.Lasts || d < longerThanDeclared*st.Estimate || w.runTimes != nil && d <= w.runTimes[stage] {
		return w
	}
	next := *w
	next.runTimes = make([]time.Duration, len(w.Flow.Stages))
	copy(next.runTimes, w.runTimes)
	next.runTimes[stage] = d
	next.criticalPaths = criticalPaths(w.Flow.Stages, next.runTimes)
	return &next
}

// WithFailedRun returns the workflow after a run of a stage failed that took d, as one of several failures of its task.
// The time is part of the work by which a workflow's objective goes.
func (w *Workflow) WithFailedRun(stage int, d time.Duration, failures int) *Workflow {
	st := w.Flow.Stages[stage]
	if d < longerThanDeclared*st.Estimate {
		d = st.Estimate
	}
	lost := time.Duration(failures) * d
	if st.Lasts || w.failedTimes != nil && lost <= w.failedTimes[stage] {
		return w
	}
	next := *w
	next.failedTimes = make([]time.Duration, len(w.Flow.Stages))
	copy(next.failedTimes, w.failedTimes)
	next.failedTimes[stage] = lost
	return &next
}

// LongestChain returns the run time of the longest chain of dependent stages that starts with the first one, with
// what failed runs took.
func (w *Workflow) LongestChain() time.Duration {
	if w.failedTimes == nil {
		return w.CriticalPath(0)
	}
	took := slices.Clone(w.failedTimes)
	for i, st := range w.Flow.Stages {
		took[i] += st.Estimate
		if w.runTimes != nil {
			took[i] += max(0, w.runTimes[i]-st.Estimate)
		}
	}
	return criticalPaths(w.Flow.Stages, took)[0]
}

// CriticalPath returns the run time, as declared or longer, of the longest chain of dependent stages that starts
// with the stage of a group.
func (w *Workflow) CriticalPath(group int) time.Duration {
	return w.criticalPaths[group%len(w.criticalPaths)]
}

// criticalPaths returns the critical path from each stage on. RunTimes, if there are any, are at least what the
// stages take.
func criticalPaths(stages []notch.Stage, runTimes []time.Duration) []time.Duration {
	longest := make([]time.Duration, len(stages))
	for i, st := range slices.Backward(stages) {
		took := st.Estimate
		if runTimes != nil {
			took = max(took, runTimes[i])
		}
		longest[i] += took
		for _, a := range st.After {
			longest[a] = max(longest[a], longest[i])
		}
	}
	return longest
}
