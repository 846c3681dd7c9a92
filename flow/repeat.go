package flow

import (
	"time"

	notch "tamaracknotch"
)

// minRepeatLease is the least time that the agent's lease must still last for a repeated start.
const minRepeatLease = time.Second

// repeatsStart sends the start of a run again that its agent doesn't list, or will after the next list. It returns
// false if the run is to be stopped or given up instead. The agent carries out one of the copies. A run that is
// given up instead could start on a later incarnation of the agent, which knows of no stop, while its task runs
// elsewhere.
func (s *stepper) repeatsStart(session agentSession, a notch.Agent, ref notch.RunRef, orders runOrders) bool {
	w, t, r, why := s.liveRun(session, ref)
	withheld := s.placedHere(r) && orders.startSentAt == 0
	if why != "" || withheld || !w.MayRun(t) || orders.stopSentAt != 0 || s.isSuperseded(a.ID, ref) {
		return false
	}
	return s.sendsCopy(session, a, ref, orders, "start repeated: it got no answer, and its agent doesn't list the run")
}

// sendsCopy sends the start of a run once more, or will after the next list, for the reason given. It returns false if
// the agent has left too many of them unanswered, or can't take the run.
func (s *stepper) sendsCopy(session agentSession, a notch.Agent, ref notch.RunRef, orders runOrders, why string) bool {
	r, _ := s.run(ref)
	repeatedLong := orders.startSentAt != 0 && s.now.Sub(orders.startSentAt) >= maxTimeToRepeat
	if repeatedLong || a.Draining || a.Left || !s.stillFits(a, ref) {
		return false
	}
	if session.hasStrays || orders.refusedAt != 0 && s.now.Sub(orders.refusedAt) < pauseAfterRefusal {
		return true // strays are being stopped
	}
	if !s.mayStillSend(r) {
		s.renewsPlacement(ref)
		return true
	}
	deadline := session.lease.GrantedUntil() // the order grants no lease of its own
	if deadline < session.lease.Deadline(s.now, minRepeatLease) {
		return true // the next list comes after a renewal
	}
	w, _ := s.workflows.Get(ref.Task.Flow)
	t, _ := w.Task(ref.Task)
	s.logMessage(why, append(runFields(ref, a.ID, string(orders.startOutcome)), notch.IntField("repeats", orders.repeats+1))...)
	orders.startOutcome, orders.repeats, orders.repeatedAt = "", orders.repeats+1, s.now
	orders.brokenSentAt = 0 // the incarnation has listed its runs since
	if orders.startSentAt == 0 {
		orders.startSentAt = s.now
	}
	s.runOrders = s.runOrders.Set(ref, orders)
	s.startsUnderWay = s.startsUnderWay.withSent(s.now)
	s.count("starts-repeated", 1)
	session, _ = s.session(a.ID)
	session.grantedAt = s.now // the order has a deadline
	session = s.withStartSent(session, ref, false)
	s.putSession(a.ID, session)
	s.sendOrder(a, notch.AgentOrder{
		Kind: notch.AgentStart, Token: session.token, Run: ref, Spec: w.Flow.Spec, Checkpoint: t.Saved, Deadline: deadline,
	})
	if r.RenewedBy != s.leadership.Term {
		s.renewsPlacement(ref) // tells the next leader that there are several copies
	}
	return true
}

// stillFits reports whether an agent has room for the runs that are placed on it, among them the given one. A former
// leader may have placed it there without sending the start, as it didn't fit.
func (s *stepper) stillFits(a notch.Agent, ref notch.RunRef) bool {
	load, st := s.load(a.ID), s.stageOf(ref)
	return load.reserved.Fits(a.Size) && (st.PerAgent == 0 || load.countGroup(groupOf(ref.Task)) <= st.PerAgent)
}

// repeatNotStarted records that a repeated start wasn't carried out. If the agent refused it, it may have carried out
// another copy, whose run has ended since, so its lists decide. A refusal as old has the effect of a confirmed stop.
func (s *stepper) repeatNotStarted(b notch.AgentAnswered, orders runOrders) {
	ref := b.Order.Run
	orders.startOutcome, orders.refusedAt = notch.AgentNoAnswer, s.now
	if b.Answer.Reason == notch.ReasonStaleRun && s.isFromKnown(b) {
		orders.stopped, orders.refusedAsOld, orders.stopAnsweredAt = true, true, s.now
	}
	s.runOrders = s.runOrders.Set(ref, orders)
}

// isStoppedHere reports whether a run was stopped on its agent and is kept only until its start can't be late any more.
func (s *stepper) isStoppedHere(ref notch.RunRef) bool {
	orders, _ := s.runOrders.Get(ref)
	return orders.stopAnsweredAt != 0
}

// hasLateCopy reports whether a copy of the start of a run may still be carried out, or what it started may still be live,
// although another one was carried out.
func (s *stepper) hasLateCopy(ref notch.RunRef, r notch.Run, orders runOrders) bool {
	own := orders.repeats > 0 && s.now.Before(orders.repeatedAt.Add(maxOrderLateness+s.timing.MaxLease))
	return own || s.wasRepeatedBefore(r) && s.now.Before(s.formerCopiesEnd(ref).Add(s.timing.MaxLease))
}

// wasRepeatedBefore reports whether several copies of the start of a run were sent, some of them by former leaders.
func (s *stepper) wasRepeatedBefore(r notch.Run) bool { return r.RenewedAt != 0 && !s.placedHere(r) }
