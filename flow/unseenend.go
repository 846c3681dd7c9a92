package flow

import (
	"slices"

	notch "tamaracknotch"
)

// mayHaveEndedUnseen reports whether a run that the lists of a later incarnation lack may have ended there: the
// incarnation may have carried out the start, which was sent to an earlier one, and forgotten the end because of an
// acknowledgement of the earlier one's ends.
func (s *stepper) mayHaveEndedUnseen(session agentSession, ref notch.RunRef, r notch.Run, listed []notch.ListedEnd) bool {
	orders, _ := s.runOrders.Get(ref)
	switch {
	case s.stageOf(ref).Lasts || orders.located() && !s.hasLateCopy(orders):
		return false
	case !s.placedHere(r) && orders.startSentAt == 0 && !s.mayBeLateFromFormerLeader(ref):
		return false
	case s.placedHere(r) && orders.startSentAt == 0:
		return false
	case session.committedUpTo == 0 && len(listed) > 0 && listed[0].N == 1:
		return false // all ends of this incarnation are listed
	}
	return session.unansweredAckAt != 0 && s.now.Before(session.unansweredAckAt.Add(maxOrderLateness))
}

// asksForRun sends the start of a run to a later incarnation than the one that it was placed on, or will after the next
// list: it refuses the start if the run has ended there, and carries it out if it never had it. It returns false if the
// run can't be asked for. Only one incarnation is asked: if that ends, the run may be why. A start that asks and gets no
// answer is repeated like any other.
func (s *stepper) asksForRun(session agentSession, a notch.Agent, ref notch.RunRef) bool {
	w, ok := s.workflows.Get(ref.Task.Flow)
	if !ok {
		return false
	}
	t, _ := w.Task(ref.Task)
	orders, _ := s.runOrders.Get(ref)
	switch {
	case !s.mayOrder() || !w.MayRun(t):
		return false
	case orders.stopped:
		return false // the incarnation may have carried out the stop, and refuse the start because of that
	case orders.askedOf != (notch.AgentIncarnation{}):
		return false
	case a.Unannounced:
		return true // it isn't known yet which tasks it takes
	case a.Pool != s.poolOf(w).Name || !takesLabel(a, w.Stage(ref.Task.Stage).Label):
		return false
	}
	orders.askedOf, orders.repeats = session.incarnation, 0
	return s.sendsCopy(session, a, ref, orders, "run asked for: its end on the next incarnation may have been forgotten")
}

// takesLabel reports whether an agent may run tasks that require a label; an empty one is none.
func takesLabel(a notch.Agent, label string) bool {
	return label == "" || slices.Contains(a.Labels, label)
}

// askAnswered handles the answer to a start that was sent to ask for a run.
func (s *stepper) askAnswered(b notch.AgentAnswered, orders runOrders) {
	ref := b.Order.Run
	orders.startOutcome, orders.startAnsweredAt = b.Answer.Kind, s.now
	if b.Answer.Kind == notch.AgentOK && orders.atWorkSince == 0 {
		orders.atWorkSince = s.now
	}
	orders = orders.withBrokenStart(b, s.receivedAt(b))
	refusedAsOld := b.Answer.Kind == notch.AgentRefused && b.Answer.Reason == notch.ReasonStaleRun
	if b.Answer.Kind != notch.AgentOK && !refusedAsOld {
		orders.startOutcome = notch.AgentNoAnswer // it is asked for again, after the next list
	}
	s.runOrders = s.runOrders.Set(ref, orders)
}

// hasEndedUnseen reports whether a run has ended on a later incarnation than the one that it was placed on, which refused
// its start because of that and doesn't list the end in lists that were requested later.
func hasEndedUnseen(session agentSession, r notch.Run, orders runOrders, requestedAt notch.Time) bool {
	refused := orders.askedOf == session.incarnation && orders.startOutcome == notch.AgentRefused
	return r.Life != session.incarnation && refused && !requestedAt.Before(orders.startAnsweredAt)
}

// unseenEnd returns how a run counts that has ended unseen. Most runs end as done, so it is taken for one of those: if it
// is wrong, the task counts as done that has failed or lost its lease. Otherwise it would run again although its end
// was acknowledged.
func (s *stepper) unseenEnd(ref notch.RunRef, agent string) notch.RunEndKind {
	s.logMessage("a run has ended unseen: it counts as done", runFields(ref, agent, string(notch.RunDone))...)
	s.count("runs-ended-unseen", 1)
	return notch.RunDone
}

// wasAsked reports whether a run was asked for on the incarnation of a session, which therefore may have it.
func (s *stepper) wasAsked(session agentSession, ref notch.RunRef) bool {
	orders, _ := s.runOrders.Get(ref)
	return orders.askedOf == session.incarnation
}
