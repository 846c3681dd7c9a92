package flow

import (
	"slices"
	"time"

	notch "tamaracknotch"
)

// leaveAnswerDelay limits how long the answer to a leave message waits for the agent's runs to end. An
// agent that has no answer after a second sends the message to another daemon.
const leaveAnswerDelay = 600 * time.Millisecond

// leaveAnswer is the answer to a leave message that waits until the agent's runs have ended. An agent
// that gets the answer ends with all that it runs. A run whose end it listed before can go on elsewhere
// at once, from where it was saved; the others must wait for the lease to expire.
type leaveAnswer struct {
	agent   string
	applied notch.Applied
	dueAt   notch.Time
}

// leaveCommitted holds the answer to a leave message back while the agent has runs, and stops these.
func (s *stepper) leaveCommitted(agent string, answer notch.Applied) {
	load := s.load(agent)
	if len(load.runs) == 0 || answer.Origin == "" {
		s.emit(answer)
		return
	}
	same := func(l leaveAnswer) bool {
		return l.applied.Origin == answer.Origin && l.applied.Ticket == answer.Ticket
	}
	if !slices.ContainsFunc(s.leaveAnswers, same) {
		held := leaveAnswer{agent: agent, applied: answer, dueAt: s.now.Add(leaveAnswerDelay)}
		s.leaveAnswers = append(slices.Clip(s.leaveAnswers), held)
	}
	if s.leads() {
		s.logMessage("an agent leaves: its runs are stopped", notch.TextField("agent", agent), notch.IntField("runs", len(load.runs)))
	}
	for _, placed := range load.runs {
		if r, ok := s.run(placed.ref); ok {
			s.stopPlaced(placed.ref.Task, r)
		}
	}
	s.renewLease(agent)
}

// answerLeaves answers the leave messages of agents without runs, and those that have waited for long
// enough.
func (s *stepper) answerLeaves() {
	if len(s.leaveAnswers) == 0 {
		return
	}
	var waiting []leaveAnswer
	for _, l := range s.leaveAnswers {
		if load := s.load(l.agent); len(load.runs) > 0 && s.now.Before(l.dueAt) {
			waiting = append(waiting, l)
			continue
		}
		s.emit(l.applied)
	}
	s.leaveAnswers = waiting
}
