package fake

import (
	"fmt"
	"time"

	notch "tamaracknotch"
)

// unheardLeaveTime is how long an agent goes on after a leave message that isn't acknowledged.
const unheardLeaveTime = 4 * time.Second

// LeaveAgent lets an agent send its leave message. It ends once the message is acknowledged, or
// unheardLeaveTime later if the acknowledgement doesn't arrive; until then its runs go on.
func (s *Testbed) LeaveAgent(a *Agent, acknowledged bool) {
	a.Draining = true
	generation := a.generation
	end := func() {
		if a.generation == generation {
			s.endAgent(a)
		}
	}
	s.After(unheardLeaveTime, end)
	leave := notch.Agent{ID: a.ID, Born: a.Born, Draining: true, Left: true}
	s.sendAnnouncement(a, leave, func(f notch.Effect) {
		refused, _ := f.(notch.Answer)
		if acknowledged && refused.Err == nil && !a.CutOff {
			s.After(agentNetworkDelay, end)
		}
	})
}

// endAgent ends an agent with its runs.
func (s *Testbed) endAgent(a *Agent) {
	a.Up = false
	a.generation++
	a.breakCalls()
	for ref := range a.runs {
		s.workflowChecker.runEnded(a.Incarnation(), ref, runCrashed, s.Now())
	}
	clear(a.runs)
}

// renameAgent gives an agent that is down a new id.
func (s *Testbed) renameAgent(a *Agent) {
	delete(s.Agents, a.ID)
	a.ID = fmt.Sprintf("%s-%d", a.Address, a.generation)
	s.Agents[a.ID] = a
}
