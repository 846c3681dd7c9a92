package flow

import (
	"slices"

	notch "tamaracknotch"
)

// openStart is one copy of a start that was sent to an agent and that its present incarnation, or a later one, may carry
// out yet. An order names the agent, and each incarnation takes it for its own.
type openStart struct {
	run       notch.RunRef
	sentAt    notch.Time
	lateUntil notch.Time // from then on it can't be carried out any more; zero: its call is under way
	sole      bool       // no other copy was sent
}

// openStarts holds the open copies of starts that this leader sent to one agent. While there are any, no end on the agent is acknowledged: an
// acknowledgement names positions, and the incarnation that carries out the start might forget the end of that run. It is
// never modified.
type openStarts []openStart

// withSent returns o after a copy of the start of a run was sent, the first one or another.
func (o openStarts) withSent(run notch.RunRef, first bool, now notch.Time) openStarts {
	out := make(openStarts, 0, len(o)+1)
	for _, c := range o {
		c.sole = c.sole && c.run != run
		if !c.isOver(now) {
			out = append(out, c)
		}
	}
	return append(out, openStart{run: run, sentAt: now, sole: first})
}

// withoutAnswer returns o after the call of the copy under way has ended, and the copy may still be carried out.
func (o openStarts) withoutAnswer(run notch.RunRef) openStarts {
	out := slices.Clone(o)
	for i, c := range out {
		if c.run == run && c.lateUntil == 0 {
			out[i].lateUntil = c.sentAt.Add(maxOrderLateness)
		}
	}
	return out
}

// withAnswer returns o after it became known what became of the copy of a run's start under way: it was carried out, or
// it won't be.
func (o openStarts) withAnswer(run notch.RunRef) openStarts {
	return o.without(func(c openStart) bool { return c.run == run && c.lateUntil == 0 })
}

// withListed returns o after lists have shown runs. If several copies of a start were sent, it isn't known which of them
// was carried out.
func (o openStarts) withListed(answer notch.AgentAnswer) openStarts {
	if len(o) == 0 {
		return o
	}
	return o.without(func(c openStart) bool { return c.sole && isListed(answer, c.run) })
}

// withSuccessor returns o for the next incarnation of the agent. What the calls under way bring says nothing about it.
func (o openStarts) withSuccessor() openStarts {
	out := slices.Clone(o)
	for i, c := range out {
		if c.lateUntil == 0 {
			out[i].lateUntil = c.sentAt.Add(maxOrderLateness)
		}
	}
	return out
}

// any reports whether a start may be carried out yet.
func (o openStarts) any(now notch.Time) bool {
	return slices.ContainsFunc(o, func(c openStart) bool { return !c.isOver(now) })
}

// late reports whether a start may be carried out yet whose call has ended.
func (o openStarts) late(now notch.Time) bool {
	return slices.ContainsFunc(o, func(c openStart) bool { return c.lateUntil != 0 && !c.isOver(now) })
}

// of reports whether a start of a run may be carried out yet.
func (o openStarts) of(run notch.RunRef, now notch.Time) bool {
	return slices.ContainsFunc(o, func(c openStart) bool { return c.run == run && !c.isOver(now) })
}

// isOver reports whether a copy can't be carried out any more.
func (c openStart) isOver(now notch.Time) bool { return c.lateUntil != 0 && !now.Before(c.lateUntil) }

// without returns o without the copies for which a function returns true.
func (o openStarts) without(f func(openStart) bool) openStarts {
	if !slices.ContainsFunc(o, f) {
		return o
	}
	return slices.DeleteFunc(slices.Clone(o), f)
}

// mayStartYet reports whether a start of a run may be carried out yet, also by a later incarnation than that of a session:
// one of this leader's, or of a former one shortly before this one was elected.
func (s *stepper) mayStartYet(session agentSession, ref notch.RunRef, r notch.Run) bool {
	if session.starts.of(ref, s.now) {
		return true
	}
	orders, _ := s.runOrders.Get(ref)
	mayBeOpen := !orders.located() || s.wasRepeatedBefore(r)
	return !s.placedHere(r) && mayBeOpen && s.now.Before(s.formerCopiesEnd(ref))
}

// putOpenStarts replaces the open starts in the session of an agent, and acknowledges the ends that have waited for the
// last of them.
func (s *stepper) putOpenStarts(agent string, change func(openStarts) openStarts) {
	session, ok := s.session(agent)
	if !ok || len(session.starts) == 0 {
		return
	}
	waited := s.withholdsAck(session)
	session.starts = change(session.starts)
	acks := waited && !s.withholdsAck(session) && session.unanswered == 0 && session.proposedUpTo == session.committedUpTo
	if acks && s.pollDelay(agent) == 0 {
		session = s.renewed(session)
	}
	s.putSession(agent, session)
}

// withholdsAck reports whether ends are committed that aren't acknowledged because of starts that may be late.
func (s *stepper) withholdsAck(session agentSession) bool {
	if session.committedUpTo <= session.forgottenUpTo {
		return false
	}
	return session.starts.any(s.now) || s.hasFormerCopies(session) || session.mayAckUpTo() < session.committedUpTo
}

// mayAckUpTo returns the position up to which ends are committed and no start of a former leader forbids to acknowledge them.
func (a agentSession) mayAckUpTo() uint64 {
	if a.ackBefore == 0 {
		return a.committedUpTo
	}
	return min(a.committedUpTo, a.ackBefore-1)
}

// firstEndToKeep returns the position of the first listed end of a task that has an earlier run on the agent whose start a
// later incarnation may carry out; 0 if there is none. It may not be acknowledged: until then a crash takes it back.
func (s *stepper) firstEndToKeep(session agentSession, listed []notch.ListedEnd) uint64 {
	if !s.now.Before(s.leadership.Ready.Add(maxOrderLateness)) {
		return 0
	}
	for _, l := range listed {
		if s.hasEarlierLateRun(session, l.End.Run) {
			return l.N
		}
	}
	return 0
}

// hasEarlierLateRun reports whether a start of another run of the task of a run may be carried out on the agent of a session.
func (s *stepper) hasEarlierLateRun(session agentSession, run notch.RunRef) bool {
	t, _ := s.task(run.Task)
	return slices.ContainsFunc(t.Runs, func(r notch.Run) bool {
		ref := notch.RunRef{Task: run.Task, Number: r.Number}
		return r.Life.Agent == session.incarnation.Agent && ref != run && s.mayStartYet(session, ref, r)
	})
}
