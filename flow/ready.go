package flow

import (
	"cmp"
	"slices"
	"sort"

	notch "tamaracknotch"
	"tamaracknotch/graph"
)

// readyGroup is the tasks of a group that could start now. Those of a long-running stage that were
// interrupted are apart from those that never had a run.
type readyGroup struct {
	workflow    *graph.Workflow
	group       int
	interrupted bool // of a long-running stage: the tasks have had a run
	tasks       int  // number of tasks that could start now
	rank        int64
	ahead       int // number of tasks that could start now, in the groups ahead of this one
}

// readyGroupKey identifies a readyGroup.
type readyGroupKey struct {
	group       notch.TaskRef // with Index 0
	interrupted bool
}

func (g readyGroup) key() readyGroupKey { return readyGroupKey{g.ref(), g.interrupted} }

// ref identifies the stage by a TaskRef with Index 0.
func (g readyGroup) ref() notch.TaskRef { return g.workflow.TaskRef(g.group, 0) }

// eachTask calls f for each task, until f returns false.
func (g readyGroup) eachTask(f func(ref notch.TaskRef, t notch.WorkflowTask) bool) {
	lasts := g.workflow.Stage(g.group).Lasts
	g.workflow.EachWaiting(g.group, func(ref notch.TaskRef, t notch.WorkflowTask) bool {
		if g.interrupted != (lasts && t.Latest > 0) {
			return true
		}
		return f(ref, t)
	})
}

// readyGroups is the input of a plan.
type readyGroups struct {
	scope    planScope
	groups   []readyGroup // within the scope, with tasks that could start now, in the order of the policy
	leftOut  bool         // others aren't within the scope
	examined int          // number of groups that were looked at
}

// readyGroups lists the groups within a scope.
func (s *stepper) readyGroups(scope planScope) readyGroups {
	out := readyGroups{scope: scope}
	for it := s.waiting.Iterator(); !it.Done(); {
		id, _, _ := it.Next()
		w, _ := s.workflows.Get(id)
		due := s.dueGroups(w)
		out.examined += due
		for g := range due {
			switch {
			case w.Waiting(g) == 0 || !w.Due(g, s.unixMilli):
			case scope.includes(s.firstStartPriority(w, g)):
				out.groups = append(out.groups, s.readyTasks(w, g)...)
			default:
				out.leftOut = true
			}
		}
	}
	slices.SortStableFunc(out.groups, func(a, b readyGroup) int { return cmp.Compare(a.rank, b.rank) })
	ahead := 0
	for i := range out.groups {
		out.groups[i].ahead = ahead
		ahead += out.groups[i].tasks
	}
	return out
}

// firstStartPriority returns the place in the queue of the first task of a group, interrupted or not.
func (s *stepper) firstStartPriority(w *graph.Workflow, group int) int {
	lasts := w.Stage(group).Lasts
	return s.startPriority(w, lasts, lasts)
}

// dueGroups returns the number of groups of a workflow whose round is due. They precede the others.
func (s *stepper) dueGroups(w *graph.Workflow) int {
	if w.Flow.Rounds == 0 {
		return w.GroupCount()
	}
	rounds := sort.Search(w.Flow.RoundCount(), func(round int) bool { return s.unixMilli < w.RoundDueAt(round) })
	return w.GroupIndex(rounds, 0)
}

// readyTasks returns the waiting tasks of a group, the interrupted ones apart from the others.
func (s *stepper) readyTasks(w *graph.Workflow, group int) []readyGroup {
	all := readyGroup{workflow: w, group: group, tasks: w.Waiting(group)}
	split := []readyGroup{all}
	if w.Stage(group).Lasts {
		interrupted := all
		interrupted.interrupted, interrupted.tasks = true, countInterrupted(w, group)
		split[0].tasks -= interrupted.tasks
		split = append(split, interrupted)
	}
	split = slices.DeleteFunc(split, func(g readyGroup) bool { return g.tasks == 0 })
	for i, g := range split {
		split[i].rank = s.policy.Order.Rank(s.rankInput(g), s.now)
	}
	return split
}

// countInterrupted returns the number of waiting tasks of a group that have had a run.
func countInterrupted(w *graph.Workflow, group int) int {
	n := 0
	w.EachWaiting(group, func(_ notch.TaskRef, t notch.WorkflowTask) bool {
		if t.Latest > 0 {
			n++
		}
		return true
	})
	return n
}

// rankInput describes the tasks of a group to the policy that ranks them.
func (s *stepper) rankInput(g readyGroup) notch.ReadyTask {
	w := g.workflow
	route, st := s.routeOf(w), w.Stage(g.group)
	return notch.ReadyTask{
		Priority: route.Priority, LongRunning: st.Lasts, Interrupted: g.interrupted, Opportunistic: st.Fills, Accepted: w.At,
		Due:       s.dueAt(w),
		Remaining: w.CriticalPath(g.group), Begun: w.State != notch.WorkflowQueued, MilliCPU: st.Size.MilliCPU, Left: w.UnfinishedShare(), Overloaded: s.startQueue.overloaded(s.now),
	}
}
