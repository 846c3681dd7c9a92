package fake

import (
	"time"

	notch "tamaracknotch"
)

// LeaveAgent lets an agent send its leave message. It ends after the given time; until then its runs
// go on. An agent ends at once when its leave message is acknowledged, and some seconds later if it isn't.
func (s *Testbed) LeaveAgent(a *Agent, endsAfter time.Duration) {
	a.Draining = true
	leave := notch.Agent{ID: a.ID, Born: a.Born, Draining: true, Left: true}
	generation := a.generation
	s.sendAnnouncement(a, leave)
	s.After(endsAfter, func() {
		if a.generation == generation {
			s.endAgent(a)
		}
	})
}

// endAgent ends an agent with its runs.
func (s *Testbed) endAgent(a *Agent) {
	a.Up = false
	a.generation++
	for ref := range a.runs {
		s.workflowChecker.runEnded(ref, false)
	}
	clear(a.runs)
}
