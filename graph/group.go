package graph

import (
	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// group is the tasks of one stage in one round, with counts derived from them. Values are shared and
// must not be modified.
type group struct {
	tasks        *immutable.List[*notch.WorkflowTask] // by index
	unfinished   int                                  // number of tasks that are not done
	waiting      int                                  // number of open tasks without a run
	firstWaiting int                                  // no task before this index is open without a run
}

// newGroup returns a group of tasks that wait for their first run since the given time.
func newGroup(count int, idle notch.Time) *group {
	t := notch.WorkflowTask{Idle: idle}
	tasks := immutable.NewListBuilder[*notch.WorkflowTask]()
	for range count {
		tasks.Append(&t)
	}
	return &group{tasks: tasks.List(), unfinished: count, waiting: count}
}

// restoreGroup returns the group of a row of a record.
func restoreGroup(row []notch.WorkflowTask) *group {
	g := &group{}
	tasks := immutable.NewListBuilder[*notch.WorkflowTask]()
	for i, t := range row {
		tasks.Append(&t)
		if g.waiting == 0 {
			g.firstWaiting = i
		}
		g.unfinished += countUnfinished(t)
		g.waiting += countWaiting(t)
	}
	g.tasks = tasks.List()
	return g
}

// row returns the tasks as a record contains them.
func (g *group) row() []notch.WorkflowTask {
	out := make([]notch.WorkflowTask, 0, g.tasks.Len())
	for it := g.tasks.Iterator(); !it.Done(); {
		_, t := it.Next()
		out = append(out, *t)
	}
	return out
}

// withTask returns the group with one task replaced.
func (g *group) withTask(index int, t notch.WorkflowTask) *group {
	old := g.tasks.Get(index)
	next := *g
	next.tasks = g.tasks.Set(index, &t)
	next.unfinished += countUnfinished(t) - countUnfinished(*old)
	next.waiting += countWaiting(t) - countWaiting(*old)
	switch {
	case countWaiting(t) == 1:
		next.firstWaiting = min(g.firstWaiting, index)
	case index == g.firstWaiting:
		next.firstWaiting++
	}
	return &next
}

// eachWaiting calls f for each open task without a run, until f returns false.
func (g *group) eachWaiting(f func(index int, t notch.WorkflowTask) bool) {
	left := g.waiting
	for i := g.firstWaiting; left > 0; i++ {
		t := g.tasks.Get(i)
		if countWaiting(*t) == 0 {
			continue
		}
		if left--; !f(i, *t) {
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

// countUnfinished returns 0 for a task that is done, otherwise 1.
func countUnfinished(t notch.WorkflowTask) int {
	if t.State == notch.TaskDone {
		return 0
	}
	return 1
}
