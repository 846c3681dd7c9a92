package flow

import (
	"slices"

	notch "tamaracknotch"
)

// startsHere sends the start of a run to a later incarnation of its agent than the one that it was placed on, or will after
// the next list, if the run can go on there. An earlier copy of the start may still be carried out by a further
// incarnation, so that the task may not start on another agent yet. A run that may have crashed an incarnation isn't
// sent to the next one. A copy that gets no answer is repeated like any other.
func (s *stepper) startsHere(session agentSession, a notch.Agent, ref notch.RunRef) {
	w, ok := s.workflows.Get(ref.Task.Flow)
	if !ok {
		return
	}
	t, _ := w.Task(ref.Task)
	orders, _ := s.runOrders.Get(ref)
	switch {
	case !s.mayOrder() || !w.MayRun(t):
		return
	case s.isSuperseded(a.ID, ref):
		return // the task goes on as another run
	case orders.refusedAsOld:
		r, _ := s.run(ref)
		s.placeNextHere(session, a, ref, r)
		return
	case orders.stopped:
		return // the incarnation may have carried out the stop, and refuse the start because of that
	case orders.askedOf != (notch.AgentIncarnation{}), orders.brokenSentAt != 0:
		return // an incarnation that had the start has ended
	case a.Unannounced:
		return // it isn't known yet which tasks it takes
	case !s.takes(a, w, ref):
		return
	}
	if r, _ := s.run(ref); !s.mayStillSend(r) {
		s.renewsPlacement(ref)
		return
	}
	orders.askedOf, orders.repeats = session.incarnation, 0
	s.sendsCopy(session, a, ref, orders, "start sent to the next incarnation: an earlier one may still be carried out")
}

// takesLabel reports whether an agent may run tasks that require a label; an empty one is none.
func takesLabel(a notch.Agent, label string) bool {
	return label == "" || slices.Contains(a.Labels, label)
}

// startHereAnswered handles the answer to a start that was sent to a later incarnation than the one that the run was
// placed on.
func (s *stepper) startHereAnswered(b notch.AgentAnswered, orders runOrders) {
	ref := b.Order.Run
	orders.startOutcome, orders.startAnsweredAt = b.Answer.Kind, s.now
	if b.Answer.Kind == notch.AgentOK && orders.atWorkSince == 0 {
		orders.atWorkSince = s.now
	}
	orders = orders.withBrokenStart(b, s.receivedAt(b))
	refusedAsOld := b.Answer.Kind == notch.AgentRefused && b.Answer.Reason == notch.ReasonStaleRun
	if b.Answer.Kind != notch.AgentOK && !refusedAsOld {
		orders.startOutcome = notch.AgentNoAnswer // it is sent again, after the next list
	}
	s.runOrders = s.runOrders.Set(ref, orders)
}

// isRefusedHere reports whether a later incarnation than the one that a run was placed on has refused its start, as the run
// or a later one has ended there, and doesn't list an end of it in lists that were requested later. No end was
// acknowledged since the start was sent, so that no end of this run was forgotten.
func isRefusedHere(session agentSession, r notch.Run, orders runOrders, requestedAt notch.Time) bool {
	refused := orders.askedOf == session.incarnation && orders.startOutcome == notch.AgentRefused
	return r.Life != session.incarnation && refused && !requestedAt.Before(orders.startAnsweredAt)
}

// wasAsked reports whether the start of a run was sent to the incarnation of a session, although the run was placed on an
// earlier one.
func (s *stepper) wasAsked(session agentSession, ref notch.RunRef) bool {
	orders, _ := s.runOrders.Get(ref)
	return orders.askedOf == session.incarnation
}
