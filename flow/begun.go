package flow

import (
	"github.com/benbjohnson/immutable"

	"tamaracknotch/graph"
)

// begunWorkflows holds the queued workflows of which an agent has confirmed or listed a run. The placement of a run
// proves no start, as the order may be late. It is never modified.
type begunWorkflows struct {
	ids     *immutable.Map[string, struct{}]
	byRoute *immutable.Map[string, int]
}

func newBegunWorkflows() begunWorkflows {
	return begunWorkflows{immutable.NewMap[string, struct{}](nil), immutable.NewMap[string, int](nil)}
}

// count returns the number of workflows of a route.
func (b begunWorkflows) count(route string) int {
	n, _ := b.byRoute.Get(route)
	return n
}

// with returns b with a workflow.
func (b begunWorkflows) with(w *graph.Workflow) begunWorkflows {
	if _, known := b.ids.Get(w.Flow.ID); known {
		return b
	}
	return begunWorkflows{b.ids.Set(w.Flow.ID, struct{}{}), b.byRoute.Set(w.Flow.Route, b.count(w.Flow.Route)+1)}
}

// without returns b without a workflow.
func (b begunWorkflows) without(w *graph.Workflow) begunWorkflows {
	if _, known := b.ids.Get(w.Flow.ID); !known {
		return b
	}
	return begunWorkflows{b.ids.Delete(w.Flow.ID), b.byRoute.Set(w.Flow.Route, b.count(w.Flow.Route)-1)}
}

// noteBegun records that a task of a workflow has started on an agent.
func (s *stepper) noteBegun(id string) {
	if w, ok := s.workflows.Get(id); ok && isQueued(w) {
		s.begun = s.begun.with(w)
	}
}

// pending returns the number of workflows of a route of which no task is known to have started.
func (p Part) pending(route string) int {
	queued, _ := p.queuedByRoute.Get(route)
	return queued - p.begun.count(route)
}
