package flow

import (
	"slices"
	"sync"

	notch "tamaracknotch"
)

// endsOfMissingRuns returns the ends of runs that an agent doesn't list although it would if
// they were live or could still start. It repeats the start of a missing run that got no answer, or orders its
// stop: once the stop is confirmed, the run can't start on this incarnation any more. Undecided is true if a missing
// run may still be live or start.
func (s *stepper) endsOfMissingRuns(session agentSession, a notch.Agent, b notch.AgentAnswered) (out []notch.RunEnd, undecided bool) {
	if b.Answer.Partial {
		return nil, false
	}
	load := s.load(a.ID)
	commonCause := sync.OnceValue(func() bool { return s.commonCause(a) })
	for _, run := range load.runs {
		ref := run.ref
		if isListed(b.Answer, ref) {
			continue
		}
		r, ok := s.run(ref)
		if !ok || s.isQueued(ref) {
			continue // sendStarts withdraws a run if its agent has restarted
		}
		if s.listsStrayOf(session, b.Answer, ref.Task) {
			undecided = true // the task may not start elsewhere before the other run has been stopped
			s.logWait(session, ref, waitsForOtherRun, 0)
			continue
		}
		suspicion := sync.OnceValue(func() notch.Suspicion { return s.suspicionAfter(session, run, commonCause) })
		kind, ended := s.decideMissingRun(session, a, ref, r, b, suspicion)
		if !ended {
			undecided = undecided || !s.isStoppedHere(ref) && !s.isSuperseded(a.ID, ref)
			s.logMissingWait(session, ref, r)
			continue
		}
		s.noteProposedEnd(ref, kind)
		end := notch.RunEnd{Run: ref, Kind: kind}
		if kind == notch.RunDone {
			out = append(out, end)
			continue
		}
		if orders, _ := s.runOrders.Get(ref); r.Life != session.incarnation && !orders.refusedAsOld {
			end.Suspicion = suspicion()
		}
		out = append(out, end)
		s.logMessage("run given up: its agent doesn't list it", append(runFields(ref, a.ID, string(kind)), s.proofFields(session, ref)...)...)
	}
	s.proposeRenewals()
	return out, undecided
}

// listsStrayOf reports whether an answer lists a live run of a task that the incarnation shouldn't have.
func (s *stepper) listsStrayOf(session agentSession, answer notch.AgentAnswer, task notch.TaskRef) bool {
	return slices.ContainsFunc(answer.Live, func(l notch.LiveRun) bool {
		if l.Run.Task != task {
			return false
		}
		_, _, _, why := s.liveRun(session, l.Run)
		return why != ""
	})
}

// isListed reports whether an answer lists a run, live or ended. Both lists are short.
func isListed(answer notch.AgentAnswer, ref notch.RunRef) bool {
	return slices.ContainsFunc(answer.Live, func(l notch.LiveRun) bool { return l.Run == ref }) ||
		slices.ContainsFunc(answer.Ends, func(e notch.ListedEnd) bool { return e.End.Run == ref })
}

// decideMissingRun decides how a run ended that is missing in the lists of an answer. It returns false while the run
// may still be live or start. Suspicion judges the run if its incarnation has ended.
func (s *stepper) decideMissingRun(session agentSession, a notch.Agent, ref notch.RunRef, r notch.Run, b notch.AgentAnswered, suspicion func() notch.Suspicion) (notch.RunEndKind, bool) {
	requestedAt := b.SentAt
	orders, _ := s.runOrders.Get(ref)
	if orders.proposedEnd != "" {
		return orders.proposedEnd, true // it may be committed, so the start must not be repeated
	}
	if r.Life != session.incarnation && orders.askedOf != session.incarnation {
		// The agent has seen the new incarnation's token, which is higher, so that a start to an earlier one can't be
		// carried out there any more. A further incarnation hasn't seen it.
		if !s.mayStartYet(session, ref, r) {
			return notch.RunLost, true
		}
		// A run that has likely crashed its agent would crash the next incarnation as well.
		if suspicion() != notch.SuspicionRaised || !s.isSuspect(ref, r) {
			s.startsHere(session, a, ref)
		}
		return "", false
	}
	if !s.placedHere(r) && orders.startSentAt == 0 {
		// The agent has seen this leader's token, so a start with an older one can't take effect on this incarnation.
		if !s.mayStartYet(session, ref, r) {
			return notch.RunNotStarted, true
		}
		if s.mayOrder() {
			s.repeatsStart(session, a, ref, orders)
		}
		return "", false
	}
	switch {
	case orders.startOutcome == notch.AgentOK && !requestedAt.Before(orders.startAnsweredAt):
		return notch.RunLost, true
	case isRefusedHere(session, r, orders, requestedAt):
		return notch.RunLost, true
	case orders.startOutcome != notch.AgentNoAnswer:
		// The start is not answered yet, was confirmed after the lists were requested, or was
		// refused, which ends the run.
		return "", false
	case orders.stopAnsweredAt != 0 && !requestedAt.Before(orders.stopAnsweredAt):
		// A stop binds the incarnation that confirmed it, and not the next one.
		if !s.mayStartYet(session, ref, r) {
			return notch.RunNotStarted, true
		}
		if orders.refusedAsOld {
			s.placeNextHere(session, a, ref, r)
		}
	case orders.stopAnsweredAt == 0 && !requestedAt.Before(orders.startAnsweredAt) && s.mayOrder():
		if s.repeatsStart(session, a, ref, orders) {
			break
		}
		s.stopRun(a, ref) // one confirmed stop is enough; a later one would outdate every list that is requested
	}
	return "", false
}

// noteProposedEnd records that the end of a run is proposed that its agent hasn't listed.
func (s *stepper) noteProposedEnd(ref notch.RunRef, kind notch.RunEndKind) {
	orders, _ := s.runOrders.Get(ref)
	orders.proposedEnd = kind
	s.runOrders = s.runOrders.Set(ref, orders)
}
