package flow

import (
	notch "tamaracknotch"
)

// answer tells a front end about a job or a queue. Only a leader that a quorum
// answered of late does: a later leader may know more.
func (s *stepper) answer(b notch.QuestionArrived) {
	if !s.acts() {
		return
	}
	var v notch.View
	switch b.Question.Kind {
	case notch.AskFlow:
		if j, ok := s.jobs.Get(b.Question.Name); ok {
			v.Flow = notch.FlowView{ID: b.Question.Name, State: j.State}
		}
	case notch.AskPending:
		v.Pending = s.pending(b.Question.Name)
	default:
		return
	}
	s.emit(notch.QuestionAnswered{Origin: b.Origin, Ticket: b.Ticket, View: v})
}

// pending counts the jobs of a route of which no task has started.
func (s *stepper) pending(route string) int {
	n := 0
	for it := s.open.Iterator(); !it.Done(); {
		id, _, _ := it.Next()
		if j, ok := s.jobs.Get(id); ok && j.Flow.Route == route && j.State == notch.FlowQueued {
			n++
		}
	}
	return n
}
