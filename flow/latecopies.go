package flow

import notch "tamaracknotch"

// lateCopies tells until when a copy of the start of a run that has ended may be carried out by the next incarnation of its agent.
// That there is more than one copy stands in the log, as the placement was renewed for it.
type lateCopies struct {
	until  notch.Time
	sentBy uint64 // token of the leader that sent them
}

// noteLateCopies records, before a run is removed, the copies of its start that may be late.
func (s *stepper) noteLateCopies(ref notch.RunRef, r notch.Run) {
	if r.RenewedAt == 0 {
		return
	}
	placedAt := min(s.load(r.Life.Agent).placedAt(ref), r.RenewedAt.Add(maxClockDifference))
	until := placedAt.Add(maxTimeToSend + maxOrderLateness)
	if before, ok := s.lateCopies.Get(r.Life.Agent); s.now.Before(until) && (!ok || before.until.Before(until)) {
		s.lateCopies = s.lateCopies.Set(r.Life.Agent, lateCopies{until: until, sentBy: r.RenewedBy})
	}
}

// hasFormerCopies reports whether a copy that a former leader sent of the start of a run on an agent, which has ended, may be
// carried out yet. Then no end on the agent is acknowledged: until that a crash takes it back. Of its own copies a leader knows more.
func (s *stepper) hasFormerCopies(session agentSession) bool {
	c, ok := s.lateCopies.Get(session.incarnation.Agent)
	return ok && c.sentBy != s.leadership.Term && s.now.Before(min(c.until, s.leadership.Ready.Add(maxOrderLateness)))
}
