package flow

import (
	"time"

	notch "tamaracknotch"
)

// maxOrderLateness limits how long after it was decided an order may still be carried out, whether its call was
// answered in time or not. It includes what a lease gains by the drift of the agent's clock.
const maxOrderLateness = 15 * time.Second

// mayRunOnSuccessor reports whether a run may be live on an incarnation of the agent after the one that it was
// placed on, or may start there yet, while no lists of that incarnation are known. An order names the agent, and
// any incarnation of it may carry it out, once; only lists, and the clock in an answer, tell which one did.
func (s *stepper) mayRunOnSuccessor(session agentSession, ref notch.RunRef) bool {
	r, ok := s.run(ref)
	orders, _ := s.runOrders.Get(ref)
	if !ok || orders.located() && !s.hasLateCopy(ref, r, orders) || s.addressTaken(session.incarnation) {
		return false
	}
	if !s.now.Before(s.lateLeasesEnd(session)) {
		return false
	}
	switch {
	case r.Life != session.incarnation && !s.wasAsked(session, ref):
		return session.lastAnsweredAt == 0 || s.mayStartYet(session, ref, r)
	case !s.placedHere(r) && orders.startSentAt == 0:
		return s.mayBeLateFromFormerLeader(ref)
	}
	return orders.startSentAt != 0
}

// lateLeasesEnd returns when every lease has ended that an incarnation may take from the orders that were sent to its
// agent, if it carries them out late. An incarnation takes a deadline that was meant for an earlier one by its own
// clock.
func (s *stepper) lateLeasesEnd(session agentSession) notch.Time {
	return session.grantedAt.Add(maxOrderLateness + s.timing.MaxLease)
}

// mayBeLateFromFormerLeader reports whether the start of a run that a former leader placed may have been under way
// when this one was elected.
func (s *stepper) mayBeLateFromFormerLeader(ref notch.RunRef) bool {
	return s.leadership.Ready.Before(s.formerCopiesEnd(ref))
}

// formerCopiesEnd returns when no copy of the start of a run that a former leader sent can be carried out any more; zero if
// none can.
func (s *stepper) formerCopiesEnd(ref notch.RunRef) notch.Time {
	r, _ := s.run(ref)
	if r.Located {
		return 0
	}
	// A replica that has just started applies old placements late, and the clock of a former leader may have been behind.
	placedAt := min(s.load(r.Life.Agent).placedAt(ref), r.SentSince().Add(maxClockDifference))
	sentUntil := min(placedAt.Add(maxTimeToSend), s.leadership.Ready)
	return sentUntil.Add(maxOrderLateness)
}

// maxClockDifference limits how far the clocks of successive leaders are apart.
const maxClockDifference = 5 * time.Second

// maxTimeToSend limits how long after its run was placed, or the placement was renewed, a start is sent, or sent again.
const maxTimeToSend = 10 * time.Second

// addressTaken reports whether a later agent with another id has the address of an incarnation. It refuses orders that
// name the former one.
func (s *stepper) addressTaken(incarnation notch.AgentIncarnation) bool {
	a, _ := s.agent(incarnation.Agent)
	holder, known := s.addressHolders.Get(a.Address)
	return known && holder.Agent != incarnation.Agent && !precedes(holder, incarnation)
}
