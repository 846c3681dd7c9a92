package flow

import (
	"cmp"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/graph"
)

// renewLease sends an agent a lease renewal, which also requests its lists of runs and ends.
func (s *stepper) renewLease(id string) {
	if session, ok := s.session(id); ok && s.mayRenew(session) {
		s.putSession(id, s.renewed(session))
	}
}

// mayRenew reports whether a lease renewal may be sent to the agent of a session.
func (s *stepper) mayRenew(session agentSession) bool {
	_, known := s.agents.Get(session.incarnation.Agent)
	return known && session.renewalSentAt == 0 && s.mayOrder()
}

// renewed sends a lease renewal to the agent of a session, if it may, and returns the session after that.
func (s *stepper) renewed(session agentSession) agentSession {
	if !s.mayRenew(session) {
		return session
	}
	o := notch.AgentOrder{Kind: notch.AgentRenew, Token: session.token}
	if session.lastAnsweredAt != 0 && session.unanswered == 0 && session.proposedUpTo == session.committedUpTo {
		o.Wait = s.longPoll(session.incarnation.Agent, session)
	}
	if session.unanswered == 0 && !session.succeeded {
		// Orders that aren't answered may be carried out late. If each one granted a lease, the
		// leases of an agent that is gone would never expire. If the agent restarts meanwhile, its
		// next incarnation would take the acknowledgement for one of its own ends.
		o.Deadline = session.lease.Deadline(s.now, s.leaseFor(o.Wait))
		if !session.missesRuns && !session.starts.any(s.now) && !s.hasFormerCopies(session) && session.mayAckUpTo() > session.forgottenUpTo {
			o.Ack = session.mayAckUpTo()
		}
	}
	if o.Ack != 0 && !canRaiseToken(session) {
		o.Wait = 0 // no start is sent before the answer
	}
	a, _ := s.agent(session.incarnation.Agent)
	session = s.granted(session, o.Deadline)
	session.renewalSentAt, session.pollWait, session.ackToken = s.now, o.Wait, 0
	if o.Ack != 0 {
		session.ackToken = o.Token
	}
	s.callAgent(a, o, s.renewalTimeout(session, o))
	return session
}

// granted returns a session after an order with a deadline was sent; 0 is none.
func (s *stepper) granted(session agentSession, deadline int64) agentSession {
	if deadline != 0 {
		session.lease, session.grantedAt = session.lease.WithGrant(deadline), s.now
	}
	return session
}

func (s *stepper) sendOrder(a notch.Agent, o notch.AgentOrder) {
	s.callAgent(a, o, s.timing.AnswerTimeout)
}

func (s *stepper) callAgent(a notch.Agent, o notch.AgentOrder, timeout time.Duration) {
	s.count("agent-calls-"+string(o.Kind), 1)
	s.out = append(s.out, notch.CallAgent{Agent: a, Order: o, Timeout: timeout, SendBy: s.leadership.Contact.Add(s.timing.QuorumTimeout)})
}

// placedHere reports whether this leader placed a run. Another one sends its start only if its agent lacks the run.
func (s *stepper) placedHere(r notch.Run) bool { return s.leads() && r.Token == s.leadership.Term }

// withholdStart records that the start of a run that this leader placed isn't sent. The run is
// abandoned like one whose start wasn't answered.
func (s *stepper) withholdStart(ref notch.RunRef) {
	s.runOrders = s.runOrders.Set(ref, runOrders{startOutcome: notch.AgentNoAnswer, startAnsweredAt: s.now})
}

// withdrawRun ends a run without sending its start, if this leader placed it.
func (s *stepper) withdrawRun(why string, ref notch.RunRef, r notch.Run) {
	s.planMemory = planMemory{} // the plan counted on this run
	if !s.placedHere(r) {
		return
	}
	s.logMessage("run withdrawn: "+why, runFields(ref, r.Life.Agent, string(notch.RunNotStarted))...)
	s.count("runs-withdrawn", 1)
	s.withholdStart(ref)
	s.propose(notch.EndRuns{Life: r.Life, Ends: []notch.RunEnd{{Run: ref, Kind: notch.RunNotStarted}}})
}

// stopRun sends a stop, unless one is under way or was confirmed recently.
func (s *stepper) stopRun(a notch.Agent, ref notch.RunRef) {
	orders, _ := s.runOrders.Get(ref)
	if !s.mayOrder() || orders.stopSentAt != 0 || orders.stopAnsweredAt != 0 && s.now.Sub(orders.stopAnsweredAt) < s.timing.RetryInterval {
		return
	}
	orders.stopped, orders.stopSentAt = true, s.now
	s.runOrders = s.runOrders.Set(ref, orders)
	session, _ := s.session(a.ID)
	s.sendOrder(a, notch.AgentOrder{Kind: notch.AgentStop, Token: session.token, Run: ref})
}

// orderAnswered handles an agent's answer to an order of this term.
func (s *stepper) orderAnswered(b notch.AgentAnswered) {
	if !s.leadership.Leading || b.Order.Token>>incarnationBits != s.leadership.Term {
		return
	}
	if b.Answer.Reason == notch.ReasonMalformed || isUnnamedList(b) {
		s.logMessage("answer not understood", notch.TextField("agent", b.Life.Agent), notch.TextField("order", string(b.Order.Kind)))
	}
	session, ok := s.session(b.Life.Agent)
	if b.Answer.Kind == notch.AgentRefused && b.Answer.Reason == notch.ReasonFenced && b.Order.Token == session.token {
		s.deposed(b)
		return
	}
	if ok && session.incarnation == b.Life {
		session = s.heard(session, b)
	}
	s.startsUnderWay = s.startsUnderWay.withWait(s.receivedAt(b), s.now)
	switch b.Order.Kind {
	case notch.AgentRenew:
		if ok && session.incarnation == b.Life {
			s.renewalAnswered(session, b)
		}
	case notch.AgentStart:
		s.startAnswered(b)
	case notch.AgentStop:
		s.stopAnswered(b)
	}
}

// heard returns the session of an incarnation after an answer to an order that was sent to it. Only lists name
// the incarnation that answers: an order names the agent, and a later incarnation may have carried it out.
func (s *stepper) heard(session agentSession, b notch.AgentAnswered) agentSession {
	if b.Answer.Kind != notch.AgentOK && b.Answer.Kind != notch.AgentRefused {
		return session
	}
	session.heardAt = s.receivedAt(b)
	if listsOf(session.incarnation, b) {
		session.aliveAt = max(session.aliveAt, b.SentAt)
		if b.Answer.Clock != 0 {
			session.lease = session.lease.WithClock(b.Answer.Clock, session.heardAt)
		}
	}
	if b.Order.Kind != notch.AgentRenew { // renewalAnswered puts it back
		s.putSession(b.Life.Agent, session)
	}
	return session
}

// listsOf reports whether an answer holds the lists of an incarnation.
func listsOf(incarnation notch.AgentIncarnation, b notch.AgentAnswered) bool {
	return b.Order.Kind == notch.AgentRenew && b.Answer.Kind == notch.AgentOK && b.Answer.Born != 0 && b.Answer.Born == incarnation.Born
}

// isUnnamedList reports whether an answer holds lists that don't name their incarnation. They may be of any, and
// prove nothing.
func isUnnamedList(b notch.AgentAnswered) bool {
	return b.Order.Kind == notch.AgentRenew && b.Answer.Kind == notch.AgentOK && b.Answer.Born == 0
}

// receivedAt returns when an answer arrived.
func (s *stepper) receivedAt(b notch.AgentAnswered) notch.Time {
	return cmp.Or(b.ReceivedAt, s.now)
}

// deposed stops sending orders in this term, because an agent has seen a later leader's token.
func (s *stepper) deposed(b notch.AgentAnswered) {
	s.logMessage("an agent has seen a later leader's token", notch.TextField("agent", b.Life.Agent))
	s.Part = s.withoutLeaderState()
	s.leadership.Contact = 0
	s.fencedTerm = s.leadership.Term
}

// startAnswered handles the answer to a start.
func (s *stepper) startAnswered(b notch.AgentAnswered) {
	if b.Answer.Kind == notch.AgentOK || b.Answer.Kind == notch.AgentRefused {
		a, _ := s.agent(b.Life.Agent)
		s.startsUnderWay = s.startsUnderWay.withAnswered(a.Domain, b.SentAt, s.receivedAt(b), s.now)
	} else {
		s.startsUnderWay = s.startsUnderWay.withoutAnswer(b.SentAt, s.now)
	}
	s.sendStarts()
	ref := b.Order.Run
	if b.Answer.Kind == notch.AgentOK {
		s.noteBegun(ref.Task.Flow)
	}
	s.putOpenStarts(b.Life.Agent, func(o openStarts) openStarts {
		if b.Answer.Kind == notch.AgentNoAnswer || b.Answer.Kind == notch.AgentOK && !s.confirmsHere(b) {
			return o.withoutAnswer(ref)
		}
		return o.withAnswer(ref)
	})
	r, ok := s.run(ref)
	if orders, _ := s.runOrders.Get(ref); ok && r.Life != b.Life && orders.askedOf == b.Life {
		s.startHereAnswered(b, orders)
	}
	if !ok || r.Life != b.Life {
		return
	}
	if w, ok := s.workflows.Get(ref.Task.Flow); ok {
		s.startWaits = s.startWaits.withAnswered(s.routeOf(w).Priority, b.SentAt, s.receivedAt(b), s.now)
	}
	orders, _ := s.runOrders.Get(ref)
	if !orders.located() && s.confirmsHere(b) {
		s.recordLocated(ref, r, orders)
	}
	orders.startOutcome, orders.startAnsweredAt = b.Answer.Kind, s.now
	orders.confirmedHere = orders.confirmedHere || s.confirmsHere(b)
	if b.Answer.Kind == notch.AgentOK && orders.atWorkSince == 0 {
		orders.atWorkSince = s.now
	}
	orders = orders.withBrokenStart(b, s.receivedAt(b))
	s.runOrders = s.runOrders.Set(ref, orders)
	if b.Answer.Kind != notch.AgentOK {
		s.logMessage("start not confirmed", runFields(ref, b.Life.Agent, string(b.Answer.Kind)+" "+string(b.Answer.Reason))...)
	}
	if b.Answer.Kind == notch.AgentOK {
		return
	}
	if session, ok := s.session(b.Life.Agent); ok {
		session.noRunsBefore = s.now.Add(pauseAfterRefusal)
		s.putSession(b.Life.Agent, session)
	}
	if b.Answer.Kind == notch.AgentNoAnswer {
		return
	}
	if orders.repeats > 0 {
		s.repeatNotStarted(b, orders)
		return
	}
	s.noteProposedEnd(ref, notch.RunNotStarted)
	s.propose(notch.EndRuns{Life: b.Life, Ends: []notch.RunEnd{{Run: ref, Kind: notch.RunNotStarted}}})
}

// confirmsHere reports whether an answer confirms an order and comes from the incarnation that the order was sent to.
func (s *stepper) confirmsHere(b notch.AgentAnswered) bool {
	return b.Answer.Kind == notch.AgentOK && s.isFromKnown(b)
}

// isFromKnown reports whether an answer comes from the incarnation that the order was sent to: the clock of a later one
// starts anew.
func (s *stepper) isFromKnown(b notch.AgentAnswered) bool {
	session, ok := s.session(b.Life.Agent)
	return ok && session.incarnation == b.Life && session.lease.ClockMatches(b.Answer.Clock, cmp.Or(b.SentAt, s.receivedAt(b)), s.receivedAt(b))
}

// pauseAfterRefusal is how long an agent that refused a start gets no new runs.
const pauseAfterRefusal = time.Second

// stopAnswered handles the answer to a stop.
func (s *stepper) stopAnswered(b notch.AgentAnswered) {
	orders, ok := s.runOrders.Get(b.Order.Run)
	if !ok {
		return
	}
	orders.stopSentAt = 0
	if b.Answer.Kind == notch.AgentOK {
		orders.stopAnsweredAt = s.now
	} else {
		s.logMessage("stop not confirmed", runFields(b.Order.Run, b.Life.Agent, string(b.Answer.Kind)+" "+string(b.Answer.Reason))...)
	}
	s.runOrders = s.runOrders.Set(b.Order.Run, orders)
	if _, known := s.run(b.Order.Run); !known {
		s.runOrders = s.runOrders.Delete(b.Order.Run)
	}
}

// stopUnwanted stops the runs of a workflow that may not run any more. It looks at all tasks; a stop
// that isn't confirmed is ordered again when the agent lists the run.
func (s *stepper) stopUnwanted(w *graph.Workflow) {
	if !s.mayOrder() {
		return
	}
	w.EachRun(func(ref notch.TaskRef, t notch.WorkflowTask, r notch.Run) {
		if !w.MayRun(t) {
			s.stopPlaced(ref, r)
		}
	})
}

// stopUnwantedOf stops the runs of one task if it may not run any more.
func (s *stepper) stopUnwantedOf(w *graph.Workflow, ref notch.TaskRef) {
	t, ok := w.Task(ref)
	if !ok || w.MayRun(t) {
		return
	}
	for _, r := range t.Runs {
		s.stopPlaced(ref, r)
	}
}

// stopPlaced stops a run on the incarnation of the agent on which it was placed, or was asked for, unless that has
// ended. A run whose start is queued is withdrawn instead.
func (s *stepper) stopPlaced(task notch.TaskRef, r notch.Run) {
	ref := notch.RunRef{Task: task, Number: r.Number}
	if s.isQueued(ref) {
		s.withdrawRun("its task may not run any more", ref, r)
		return
	}
	a, ok := s.agent(r.Life.Agent)
	orders, _ := s.runOrders.Get(ref)
	if ok && (a.Incarnation() == r.Life || a.Incarnation() == orders.askedOf) {
		s.stopRun(a, ref)
	}
}
