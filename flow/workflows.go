package flow

import (
	notch "tamaracknotch"
	"tamaracknotch/graph"
)

// putWorkflow replaces a workflow and updates the data derived from it.
func (s *stepper) putWorkflow(w *graph.Workflow) {
	id := w.Flow.ID
	old, known := s.workflows.Get(id)
	s.workflows = s.workflows.Set(id, w)
	s.indexWorkflow(old, w)
	if w.State.Ended() && (!known || !old.State.Ended()) {
		s.ended = s.ended.Append(id)
		s.count("flows-"+string(w.State), 1)
		s.countEnded(old, w)
	}
	if !isActive(w) {
		s.forgetHeadrooms(old) // w no longer has its stages
	}
}

// indexWorkflow updates the data that plans and queries read in place of all workflows. Old is
// nil if the workflow is new.
func (s *stepper) indexWorkflow(old, w *graph.Workflow) {
	switch had := old != nil && old.HasWaiting(); {
	case w.HasWaiting() && !had:
		s.waiting = s.waiting.Set(w.Flow.ID, struct{}{})
	case had && !w.HasWaiting():
		s.waiting = s.waiting.Delete(w.Flow.ID)
	}
	if isActive(w) != isActive(old) {
		s.active += sign(isActive(w))
	}
	if isQueued(w) != isQueued(old) {
		queued, _ := s.queuedByRoute.Get(w.Flow.Route)
		s.queuedByRoute = s.queuedByRoute.Set(w.Flow.Route, queued+sign(isQueued(w)))
		s.begun = s.begun.without(w)
	}
}

// isActive reports whether a workflow has tasks to run or runs to end.
func isActive(w *graph.Workflow) bool {
	return w != nil && (!w.State.Ended() || w.LiveRuns() > 0)
}

// isQueued reports whether a workflow hasn't ended, and no end of a run shows that a task has started. The leader may
// know of one, see begunWorkflows.
func isQueued(w *graph.Workflow) bool { return w != nil && !w.State.Ended() && !w.HasBegun() }

// sign returns 1 if up is true, otherwise -1.
func sign(up bool) int {
	if up {
		return 1
	}
	return -1
}

// forgetHeadrooms drops the headroom estimates of a workflow that has ended.
func (s *stepper) forgetHeadrooms(w *graph.Workflow) {
	if w == nil {
		return
	}
	for i, st := range w.Flow.Stages {
		if st.Target > 0 {
			s.colocationModel = s.colocationModel.WithoutGroup(notch.TaskRef{Flow: w.Flow.ID, Stage: i})
		}
	}
}

// forgetEnded drops workflows that ended long ago. It depends only on the log entry's time, so
// that all replicas agree.
func (s *stepper) forgetEnded(at notch.Time) {
	for s.ended.Len() > 0 {
		id := s.ended.Get(0)
		if w, ok := s.workflows.Get(id); ok && (at.Sub(w.Ended) < s.timing.EndedRetention || w.LiveRuns() > 0) {
			return
		}
		s.workflows = s.workflows.Delete(id)
		s.ended = s.ended.Slice(1, s.ended.Len())
	}
}
