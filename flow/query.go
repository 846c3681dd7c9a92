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
			result.Flow = notch.WorkflowStatus{ID: b.Question.Name, State: w.State, Reason: w.Reason}
		}
	case notch.QueryPending:
		result.Pending = s.pending(b.Question.Name)
	default:
		return
	}
	s.emit(notch.QueryAnswered{Origin: b.Origin, Ticket: b.Ticket, View: result})
}
