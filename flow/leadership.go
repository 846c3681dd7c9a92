package flow

import (
	"slices"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/lease"
)

// said answers an agent's word about itself: at once if it tells nothing new, else
// once that is committed.
func (s *stepper) said(b notch.AgentSaid) {
	if old, ok := s.agents.Get(b.Agent.ID); ok && tellsNothing(old, b.Agent) {
		s.out = append(s.out, notch.AnswerAgent{Ticket: b.Ticket, Next: s.doors[s.leader]})
		return
	}
	s.emit(notch.Submitted{Ticket: b.Ticket, Command: notch.AdmitAgent{Agent: b.Agent}, Deadline: b.Deadline})
}

// tellsNothing reports whether admitting a would change nothing.
func tellsNothing(old, a notch.Agent) bool {
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

func sameAgent(a, b notch.Agent) bool {
	return a.Pool == b.Pool && a.Address == b.Address && a.Host == b.Host && a.Domain == b.Domain &&
		a.Rack == b.Rack && a.Size == b.Size && a.Draining == b.Draining && a.Left == b.Left
}

// formerLeases is added to the longest lease before those granted by a former
// leader count as over: it may have gone on for a moment after it was deposed.
const formerLeases = 2 * time.Second

// lead takes note of the leadership. A new leader talks to every agent before it
// gives orders.
func (s *stepper) lead(l notch.Leadership) {
	started := l.Leading && l.Ready != 0 && (s.leading.Ready == 0 || s.leading.Term != l.Term)
	if !l.Leading && s.leading.Leading {
		s.Part = s.withoutLead()
	}
	s.leading = l
	if !started {
		return
	}
	s.Part = s.withoutLead()
	floor := s.floor(l.Ready)
	for it := s.agents.Iterator(); !it.Done(); {
		_, a, _ := it.Next()
		if runs, _ := s.runs.Get(a.ID); !a.Left || len(runs) > 0 {
			s.contacts = s.contacts.Set(a.ID, contact{life: a.Life(), token: s.token(), book: lease.New(floor)})
			s.hold(a.ID)
		}
	}
	s.dirty = true
}

// floor returns when leases that others granted up to an instant are over.
func (s *stepper) floor(at notch.Time) notch.Time {
	return at.Add(time.Duration(float64(s.timing.Lease)*(1+lease.Drift)) + formerLeases)
}

// staleOrders bounds how long after a life was met an order to the life before it may
// be obeyed, and the lease that comes with it last.
const staleOrders = 25 * time.Second

// lifeBits is the size of the part of a token that counts the lives met in one term.
const lifeBits = 20

// token returns the one for a life that is met now. It is higher than that of every
// life before: orders that were meant for one of those, acknowledgements among them,
// may arrive late at a life of the same id.
func (s *stepper) token() uint64 { return s.leading.Term<<lifeBits | s.lives }

// meet begins to talk to a new life.
func (s *stepper) meet(a notch.Agent, now notch.Time) {
	if !s.leads() {
		return
	}
	s.lives++
	// Nobody else has granted this life anything, but it may yet obey what was meant for
	// the one before.
	s.contacts = s.contacts.Set(a.ID, contact{life: a.Life(), token: s.token(), book: lease.New(now), stale: now.Add(staleOrders)})
	s.hold(a.ID)
}
