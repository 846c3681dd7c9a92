package flow

import (
	notch "tamaracknotch"
	"tamaracknotch/inventory"
)

// WithHostInventory tells the part that it can ask which hosts exist.
func WithHostInventory() Option { return func(p *Part) { p.hasInventory = true } }

// askForHosts asks for a list of hosts, if one is due: this leader waits for agents that may be gone with their hosts, or
// an agent is known whose host no list has named yet. Every replica does the latter, as a host that goes unnamed proves
// nothing to the next leader.
func (s *stepper) askForHosts(awaited bool) {
	if !s.hasInventory || !awaited && !s.missesHost || !s.hostLists.Due(s.now, awaited) {
		return
	}
	s.hostLists = s.hostLists.WithCall(s.now)
	s.count("host-lists-asked", 1)
	s.out = append(s.out, notch.ListHosts{Timeout: inventory.Timeout})
}

// hostsListed handles the outcome of a call for a list of hosts.
func (s *stepper) hostsListed(b notch.HostsListed) {
	if b.Failure != "" {
		s.count("host-lists-failed", 1)
		s.logMessage("hosts not listed", notch.TextField("reason", b.Failure))
	}
	s.hostLists = s.hostLists.WithOutcome(b, s.missesHosts)
	s.missesHost = s.missesHosts(s.hostLists)
}

// missesHosts reports whether the host of an agent is known that no list has named.
func (s *stepper) missesHosts(l inventory.Lists) bool {
	for it := s.agents.Iterator(); !it.Done(); {
		if _, a, _ := it.Next(); a.Host != "" && !a.Left && !l.HasNamed(a.Host) {
			return true
		}
	}
	return false
}

// hasEnded reports whether the incarnation of a silent agent provably runs nothing any more, and no order to it can be
// carried out any more: its host is gone, or another agent lives on it.
func (s *stepper) hasEnded(session agentSession) (proof string) {
	if session.unanswered == 0 {
		return ""
	}
	a, _ := s.agent(session.incarnation.Agent)
	switch {
	case s.hostIsGone(a, session):
		return "its host is gone"
	case s.hostHasNext(a, session):
		return "another agent lives on its host"
	}
	return ""
}

// lastSignOf returns the latest time at which an agent is known to have been there.
func lastSignOf(session agentSession) notch.Time { return max(session.heardAt, session.startedAt) }

// hostIsGone reports whether the host of an agent doesn't exist any more.
func (s *stepper) hostIsGone(a notch.Agent, session agentSession) bool {
	if !s.hasInventory || (a.Draining || a.Left) && !session.lease.Expired(s.now) {
		return false // the host of an agent that leaves may be taken off the inventory before the agent has ended
	}
	return s.hostLists.Lacks(a.Host, lastSignOf(session), s.now) && s.listsAreTrue()
}

// hostHasNext reports whether another agent has answered from the host of an agent, since that one was last there. A host
// has one agent at a time, and the next one refuses orders that name another.
func (s *stepper) hostHasNext(a notch.Agent, session agentSession) bool {
	holder, known := s.hostHolders.Get(a.Host)
	if !known || holder.Agent == a.ID || !precedes(session.incarnation, holder) {
		return false
	}
	next, _ := s.session(holder.Agent)
	return next.incarnation == holder && !next.aliveAt.Before(lastSignOf(session)) && next.aliveAt != 0
}

// holdHost records the latest agent on a host.
func (s *stepper) holdHost(a notch.Agent) {
	before, ok := s.hostHolders.Get(a.Host)
	if a.Host != "" && (!ok || precedes(before, a.Incarnation())) {
		s.hostHolders = s.hostHolders.Set(a.Host, a.Incarnation())
	}
}

// listsAreTrue reports whether the agents bear the lists of hosts out: the latest one names the hosts of all agents that
// have answered since. An old list, or one of other hosts, doesn't.
func (s *stepper) listsAreTrue() bool {
	if s.listsTrue == nil {
		holds := s.checkLists()
		s.listsTrue = &holds
	}
	return *s.listsTrue
}

// checkLists is listsAreTrue, each time anew.
func (s *stepper) checkLists() bool {
	before, _ := s.hostLists.AskedAt()
	named := false
	for it := s.sessions.Iterator(); !it.Done(); {
		id, session, _ := it.Next()
		a, _ := s.agent(id)
		if a.Host == "" || session.heardAt <= s.hostLists.ReceivedAt() || session.startedAt >= before {
			continue
		}
		if !s.hostLists.Names(a.Host) {
			return false
		}
		named = true
	}
	return named
}
