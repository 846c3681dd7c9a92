package flow

import (
	"cmp"
	"slices"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/graph"
)

// readyGroup is a group with tasks that could start now.
type readyGroup struct {
	workflow *graph.Workflow
	group    int
	rank     int64
	ahead    int // number of tasks that could start now, in the groups ahead of this one
}

// ref identifies the group by a TaskRef with Index 0.
func (g readyGroup) ref() notch.TaskRef { return g.workflow.TaskRef(g.group, 0) }

// readyGroups lists the groups with tasks that could start now, in the order of the policy.
func (s *stepper) readyGroups() []readyGroup {
	var out []readyGroup
	for it := s.waiting.Iterator(); !it.Done(); {
		_, w, _ := it.Next()
		for g := range w.GroupCount() {
			if w.Waiting(g) > 0 && w.Due(g, s.unixMilli) {
				out = append(out, readyGroup{workflow: w, group: g, rank: s.policy.Order.Rank(s.rankInput(w, g), s.now)})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b readyGroup) int { return cmp.Compare(a.rank, b.rank) })
	ahead := 0
	for i := range out {
		out[i].ahead = ahead
		ahead += out[i].workflow.Waiting(out[i].group)
	}
	return out
}

// rankInput describes the tasks of a group to the policy that ranks them.
func (s *stepper) rankInput(w *graph.Workflow, group int) notch.ReadyTask {
	route, st := s.routeOf(w), w.Stage(group)
	return notch.ReadyTask{
		Priority: route.Priority, LongRunning: st.Lasts, Opportunistic: st.Fills, Accepted: w.At,
		Due:       w.At.Add(time.Duration(route.Stretch*float64(w.CriticalPath(0))) + route.Target),
		Remaining: w.CriticalPath(group),
	}
}
