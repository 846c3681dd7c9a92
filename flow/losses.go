package flow

import (
	"slices"
	"time"

	notch "tamaracknotch"
)

// The losses of agents that have a common cause, such as a rack that lost power.
const (
	commonCauseWindow = 2500 * time.Millisecond // within which they are noticed: a long poll and the timeout of its answer
	minCommonLosses   = 4                       // fewer agents may end together by chance
	lossesPerSurvivor = 3                       // more agents are lost for each one of their rack or failure domain that isn't
)

// agentLoss records when the leader noticed that an agent ended or fell silent.
type agentLoss struct {
	agent notch.Agent
	at    notch.Time
}

// recordLoss records that an agent ended or fell silent, and forgets what no longer matters.
func (s *stepper) recordLoss(a notch.Agent) {
	oldest := s.now.Add(-s.timing.MaxLease - commonCauseWindow)
	losses := slices.DeleteFunc(slices.Clone(s.losses), func(l agentLoss) bool { return l.at.Before(oldest) || l.agent.ID == a.ID })
	s.losses = append(losses, agentLoss{agent: a, at: s.now})
}

// commonCause reports whether most agents of an agent's rack or failure domain were lost together
// with it, so that none of its tasks is the cause.
func (s *stepper) commonCause(a notch.Agent) bool {
	i := slices.IndexFunc(s.losses, func(l agentLoss) bool { return l.agent.ID == a.ID })
	if i < 0 {
		return false
	}
	sameRack := func(b notch.Agent) bool { return a.Rack != "" && a.Rack == b.Rack }
	sameDomain := func(b notch.Agent) bool { return a.Domain != "" && a.Domain == b.Domain }
	return s.lostTogether(s.losses[i].at, sameRack) || s.lostTogether(s.losses[i].at, sameDomain)
}

// lostTogether reports whether most agents of a group were lost at about the given time.
func (s *stepper) lostTogether(at notch.Time, inGroup func(notch.Agent) bool) bool {
	lost := map[string]bool{} // by address, which the successor of an agent has as well
	for _, l := range s.losses {
		if inGroup(l.agent) && l.at.Sub(at).Abs() <= commonCauseWindow {
			lost[l.agent.Address] = true
		}
	}
	if len(lost) < minCommonLosses {
		return false
	}
	survivors := 0
	for it := s.sessions.Iterator(); !it.Done(); {
		id, session, _ := it.Next()
		a, _ := s.agent(id)
		if inGroup(a) && !lost[a.Address] && session.startedAt.Before(at) && at.Before(session.lastAnsweredAt) {
			survivors++
		}
	}
	return len(lost) > lossesPerSurvivor*survivors
}
