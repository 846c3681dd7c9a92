package flow

import (
	"slices"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/lease"
)

// agentAnnounced handles an agent's announcement about itself. It answers immediately if the
// announcement changes nothing, otherwise once the change is committed.
func (s *stepper) agentAnnounced(b notch.AgentAnnounced) {
	if old, ok := s.agent(b.Agent.ID); ok && changesNothing(old, b.Agent) {
		s.out = append(s.out, notch.AnswerAgent{Ticket: b.Ticket, Next: s.nextReceiver(b.Agent)})
		return
	}
	s.emit(notch.CommandSubmitted{Ticket: b.Ticket, Command: notch.AdmitAgent{Agent: b.Agent}, Deadline: b.Deadline})
}

// changesNothing reports whether admitting a would leave old as it is.
func changesNothing(old, a notch.Agent) bool {
	if a.Left {
		return old.Left || a.Born != 0 && a.Born != old.Born
	}
	if old.Born > a.Born || old.Born == a.Born && old.Left {
		return true
	}
	a.Draining = a.Draining || old.Draining && old.Born == a.Born
	labels := slices.Equal(old.Labels, a.Labels)
	old.Labels, a.Labels = nil, nil
	return labels && old.Born == a.Born && sameAgent(old, a)
}

// sameAgent compares two agents by all fields but the id, the start time and the labels.
func sameAgent(a, b notch.Agent) bool {
	return a.Pool == b.Pool && a.Address == b.Address && a.Host == b.Host && a.Domain == b.Domain &&
		a.Rack == b.Rack && a.Size == b.Size && a.Draining == b.Draining && a.Left == b.Left &&
		a.Unannounced == b.Unannounced
}

// formerLeaderMargin is added to the longest lease before the leases of a former leader count
// as expired, because a deposed leader may send orders for a moment longer.
const formerLeaderMargin = 2 * time.Second

// leadershipChanged handles a change of this replica's leadership. A new leader contacts every
// agent before it sends other orders. It renews the leases at once where it knows the agent's
// clock: they may be about to expire, and the answer may be slow or lost.
func (s *stepper) leadershipChanged(l notch.Leadership) {
	started := l.Leading && l.Ready != 0 && (s.leadership.Ready == 0 || s.leadership.Term != l.Term)
	if !l.Leading && s.leadership.Leading {
		s.Part = s.withoutLeaderState()
	}
	s.leadership = l
	if !started {
		return
	}
	s.Part = s.withoutLeaderState()
	formerLeasesEnd := s.formerLeasesEnd(l.Ready)
	for it := s.agents.Iterator(); !it.Done(); {
		_, a, _ := it.Next()
		load := s.load(a.ID)
		if a.Left && len(load.runs) == 0 {
			continue
		}
		s.putSession(a.ID, s.renewed(agentSession{
			incarnation: a.Incarnation(), startedAt: s.now, token: s.token(), lease: s.formerLease(*a, formerLeasesEnd),
			grantedAt: s.now,
		}))
	}
	s.needsPlan = true
}

// formerLease returns the lease of an agent that former leaders may have granted leases to. The
// agent's clock is known if it was read for the log.
func (s *stepper) formerLease(a notch.Agent, formerLeasesEnd notch.Time) lease.AgentLease {
	l := lease.New(formerLeasesEnd)
	if answeredAt, ok := s.answeredBefore(a.Incarnation()); ok {
		l = lease.New(max(formerLeasesEnd, answeredAt.Add(lease.MaxDuration(s.timing.MaxLease))))
	} else {
		l = l.WithStaleGrants(s.timing.MaxLease)
	}
	if c, ok := s.agentClocks.Get(a.ID); ok && c.incarnation == a.Incarnation() {
		// From the lower bound, the lease is never longer than granted, whichever way the clock drifted.
		l = l.WithClock(c.LowerBound(s.now), s.now)
	}
	return l
}

// answeredBefore returns the earliest time before which an incarnation is known to have answered an
// order to itself. From then on, orders to earlier incarnations have no effect. Runs are placed only
// on incarnations that have answered.
func (s *stepper) answeredBefore(incarnation notch.AgentIncarnation) (at notch.Time, ok bool) {
	if c, known := s.agentClocks.Get(incarnation.Agent); known && c.incarnation == incarnation {
		at, ok = c.ReadAt(), true
	}
	load := s.load(incarnation.Agent)
	for _, placed := range load.runs {
		if r, known := s.run(placed.ref); known && r.Life == incarnation && (!ok || placed.addedAt.Before(at)) {
			at, ok = placed.addedAt, true
		}
	}
	return at, ok
}

// formerLeasesEnd returns when all leases have expired that former leaders granted up to the
// given time.
func (s *stepper) formerLeasesEnd(at notch.Time) notch.Time {
	return at.Add(time.Duration(float64(s.longestLease())*(1+lease.MaxClockDrift)) + formerLeaderMargin)
}

// startSession starts the session of a new incarnation of an agent, which is known by an earlier one
// if it was restarted.
func (s *stepper) startSession(a notch.Agent, restarted bool) {
	if !s.leads() {
		return
	}
	s.incarnations++
	// No other leader has granted this incarnation a lease, but it may still carry out orders
	// to the earlier incarnation.
	l := lease.New(s.now)
	if restarted {
		l = l.WithStaleGrants(s.timing.MaxLease)
	}
	before, _ := s.session(a.ID)
	if restarted && before.unanswered == 0 {
		s.recordLoss(a)
	}
	s.putSession(a.ID, s.renewed(agentSession{
		incarnation: a.Incarnation(), startedAt: s.now, token: s.token(), lease: l, grantedAt: before.grantedAt,
		predecessorAnsweredAt: before.lastAnsweredAt, starts: before.starts.withSuccessor(),
	}))
}
