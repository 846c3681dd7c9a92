package flow

import (
	notch "tamaracknotch"
)

// answerQuery answers a front end's query about a workflow or a queue. Only a leader that
// reached a quorum recently answers: otherwise a later leader may know more.
func (s *stepper) answerQuery(b notch.QueryReceived) {
	if !s.mayOrder() {
		return
	}
	var result notch.QueryResult
	switch b.Question.Kind {
	case notch.QueryWorkflow:
		if w, ok := s.workflows.Get(b.Question.Name); ok {
			result.Flow = notch.WorkflowStatus{ID: b.Question.Name, State: w.State}
		}
	case notch.QueryPending:
		result.Pending = s.countPending(b.Question.Name)
	default:
		return
	}
	s.emit(notch.QueryAnswered{Origin: b.Origin, Ticket: b.Ticket, View: result})
}

// countPending counts the workflows of a route of which no task has started.
func (s *stepper) countPending(route string) int {
	n := 0
	for it := s.active.Iterator(); !it.Done(); {
		id, _, _ := it.Next()
		if w, ok := s.workflows.Get(id); ok && w.Flow.Route == route && w.State == notch.WorkflowQueued {
			n++
		}
	}
	return n
}
