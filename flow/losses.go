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
	otherLossWindow   = 20 * time.Second        // in which losses of other agents speak for another cause than a task
	lossesPerSurvivor = 3                       // more agents are lost for each one of their rack or failure domain that isn't
)

// agentLoss records when the leader noticed that an agent ended or fell silent.
type agentLoss struct {
	agent notch.Agent
	at    notch.Time
}

// recordLoss records that an agent ended or fell silent, and forgets what no longer matters.
func (s *stepper) recordLoss(a notch.Agent) {
	oldest := s.now.Add(-max(s.timing.MaxLease+commonCauseWindow, otherLossWindow))
	losses := slices.DeleteFunc(slices.Clone(s.losses), func(l agentLoss) bool { return l.at.Before(oldest) || l.agent.ID == a.ID })
	s.losses = append(losses, agentLoss{agent: a, at: s.now})
}

// lostAt returns when an agent was last lost, or false if this leader doesn't know of it.
func (s *stepper) lostAt(a notch.Agent) (notch.Time, bool) {
	i := slices.IndexFunc(s.losses, func(l agentLoss) bool { return l.agent.ID == a.ID })
	if i < 0 {
		return 0, false
	}
	return s.losses[i].at, true
}

// lostElsewhere reports whether agents were lost lately that are neither the given one nor among the suspected
// crashes of a task.
func (s *stepper) lostElsewhere(a notch.Agent, t notch.WorkflowTask) bool {
	own := s.suspectAddresses(t)
	own[a.Address] = true // which the successor of an agent has as well
	return slices.ContainsFunc(s.losses, func(l agentLoss) bool {
		return !own[l.agent.Address] && s.now.Sub(l.at) < otherLossWindow
	})
}

// commonCause reports whether most agents of an agent's rack or failure domain were lost together
// with it, so that none of its tasks is the cause.
func (s *stepper) commonCause(a notch.Agent) bool {
	at, ok := s.lostAt(a)
	if !ok {
		return false
	}
	sameRack := func(b notch.Agent) bool { return a.Rack != "" && a.Rack == b.Rack }
	sameDomain := func(b notch.Agent) bool { return a.Domain != "" && a.Domain == b.Domain }
	return s.lostTogether(at, sameRack) || s.lostTogether(at, sameDomain)
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
