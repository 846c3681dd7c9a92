package fake

import (
	"time"

	notch "tamaracknotch"
	"tamaracknotch/drive"
)

// SendFlow has a daemon submit a job made of stages; done gets the answer. Attempts is
// what the job's route allows.
func (s *Site) SendFlow(n *drive.Node, f notch.Flow, attempts int, patience time.Duration, done func(notch.Answer)) {
	s.account.flows[f.ID] = f
	s.account.attempts[f.ID] = attempts
	s.account.sent[f.ID]++
	s.Submit(n, notch.SubmitFlow{Flow: f}, patience, func(a notch.Answer) {
		if r, ok := a.Result.(notch.FlowResult); ok && r.Outcome != notch.FlowAccepted {
			s.account.refused[f.ID]++
		}
		done(a)
	})
}

// CancelFlow has a daemon cancel a job made of stages.
func (s *Site) CancelFlow(n *drive.Node, id string, patience time.Duration, done func(notch.Answer)) {
	s.Submit(n, notch.CancelFlow{ID: id}, patience, func(a notch.Answer) {
		if r, ok := a.Result.(notch.FlowResult); ok && r.Outcome == notch.FlowAccepted {
			if _, ok := s.account.cancelled[id]; !ok {
				s.account.cancelled[id] = s.Now()
			}
		}
		done(a)
	})
}

// FlowState asks a daemon for the state of a job, and checks that it isn't complete
// before its tasks are.
func (s *Site) FlowState(n *drive.Node, id string, done func(notch.FlowState)) {
	s.Ask(n, notch.Question{Kind: notch.AskFlow, Name: id}, 2*time.Second, func(a notch.AnswerQuery) {
		if a.Err != nil {
			return
		}
		if a.View.Flow.State == notch.FlowCompleted && !s.account.complete(id) {
			s.violate("MIXED: %s is shown as completed and isn't", id)
		}
		done(a.View.Flow.State)
	})
}
