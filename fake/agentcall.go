package fake

import (
	"slices"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/drive"
)

// agentCall is the call of an order.
type agentCall struct {
	breakOff func() // ends the call for the daemon without an answer
}

// sendOrder delivers an order to its agent and the answer to the daemon. The daemon
// gets AgentNoAnswer if no other answer arrives before the timeout.
func (s *Testbed) sendOrder(n *drive.Node, f notch.CallAgent) {
	sent, sentAt, done := s.Time(n), s.Now(), false
	answer := func(ans notch.AgentAnswer) {
		if !done {
			done = true
			s.Post(n, notch.AgentAnswered{Life: f.Agent.Incarnation(), Order: f.Order, SentAt: sent, ReceivedAt: s.Time(n), Answer: ans})
		}
	}
	a := s.Agents[f.Agent.ID]
	if a == nil {
		s.After(f.Timeout, func() { answer(notch.AgentAnswer{Kind: notch.AgentNoAnswer}) })
		if other := s.agentAt(f.Agent.Address); other != nil && !other.CutOff {
			s.After(2*agentNetworkDelay, func() { answer(notch.AgentAnswer{Kind: notch.AgentWrongIncarnation}) })
		}
		return
	}
	delay := time.Duration(0)
	reply := func(ans notch.AgentAnswer) {
		s.After(agentNetworkDelay, func() {
			if !a.CutOff && !a.AnswersLost {
				answer(ans)
			}
		})
	}
	call := &agentCall{breakOff: func() { reply(notch.AgentAnswer{Kind: notch.AgentNoAnswer, Reason: notch.ReasonBroken}) }}
	s.After(f.Timeout, func() {
		a.closeCall(call)
		answer(notch.AgentAnswer{Kind: notch.AgentNoAnswer})
	})
	replyAndClose := func(ans notch.AgentAnswer) {
		a.closeCall(call)
		reply(ans)
	}
	if a.mayDelay(f.Order) && s.Rand.Float64() < a.LateShare {
		delay = minOrderDelay + time.Duration(s.Rand.Float64()*float64(maxOrderDelay-minOrderDelay))
		replyAndClose = func(notch.AgentAnswer) {}
	}
	var receive func()
	receive = func() {
		switch {
		case a.CutOff || a.Deaf:
			return
		case a.refuses:
			reply(notch.AgentAnswer{Kind: notch.AgentBusy, Reason: notch.ReasonNotSent})
			return
		case !a.Up && a.Dark:
			a.heldOrders = append(a.heldOrders, receive)
			return
		case !a.Up:
			return
		}
		a.openCalls = append(a.openCalls, call)
		// An order names the agent, not its incarnation: if it is delayed, a later one may carry it out.
		s.After(delay, func() {
			if a.Up && a.ID == f.Agent.ID {
				s.executeOrder(a, f.Order, sentAt, replyAndClose)
			}
		})
	}
	s.After(agentNetworkDelay, receive)
}

// mayDelay reports whether the agent may carry out an order late.
func (a *Agent) mayDelay(o notch.AgentOrder) bool { return a.LateKind == "" || a.LateKind == o.Kind }

// receiveHeldOrders delivers the orders that arrived while the agent's host was dark.
func (a *Agent) receiveHeldOrders() {
	held := a.heldOrders
	a.heldOrders = nil
	for _, receive := range held {
		receive()
	}
}

// closeCall removes a call from those that the agent has to answer.
func (a *Agent) closeCall(call *agentCall) {
	a.openCalls = slices.DeleteFunc(a.openCalls, func(c *agentCall) bool { return c == call })
}

// breakCalls breaks off the calls that the agent has received and not answered, as its process ends.
func (a *Agent) breakCalls() {
	if !a.Dark {
		for _, c := range a.openCalls {
			c.breakOff()
		}
	}
	a.openCalls = nil
}
