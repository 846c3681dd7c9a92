package flow

import (
	"slices"
	"time"

	notch "tamaracknotch"
)

// tick calls the agents that are due and gives up the runs of those whose leases
// are over.
func (s *stepper) tick() {
	if !s.acts() {
		return
	}
	for it := s.contacts.Iterator(); !it.Done(); {
		id, c, _ := it.Next()
		refs, _ := s.runs.Get(id)
		if len(refs) > 0 && s.now.Sub(c.ended) >= s.timing.Repropose {
			s.giveUp(id, c, refs)
		}
		if c.asked == 0 && !s.now.Before(c.due) {
			a, _ := s.agents.Get(id)
			if a.Left && len(refs) == 0 {
				s.contacts = s.contacts.Delete(id)
				continue
			}
			s.hold(id)
		}
	}
}

// giveUp ends the runs of an agent that has left or whose leases are over.
func (s *stepper) giveUp(id string, c contact, refs []notch.RunRef) {
	kind := notch.RunLapsed
	switch {
	case c.leftAt != 0 && s.now.Sub(c.leftAt) > leaveTime && c.silent > 0:
		kind = notch.RunLost
	case c.silent == 0 || !c.book.Over(s.now):
		return
	}
	refs = slices.DeleteFunc(slices.Clone(refs), func(ref notch.RunRef) bool { return s.mayBegin(c, ref) })
	if len(refs) == 0 {
		return
	}
	c.ended = s.now
	s.contacts = s.contacts.Set(id, c)
	s.notice("gives up the runs of an agent", field("agent", id), field("why", string(kind)))
	var ends []notch.RunEnd
	for _, ref := range slices.SortedFunc(slices.Values(refs), compareRefs) {
		ends = append(ends, notch.RunEnd{Run: ref, Kind: kind})
	}
	s.propose(notch.EndRuns{Life: c.life, Ends: ends})
}

// mayBegin reports whether a run of a former life may begin in the present one, which
// hasn't answered since it was met.
func (s *stepper) mayBegin(c contact, ref notch.RunRef) bool {
	r, ok := s.run(ref)
	return ok && r.Life != c.life && c.heard == 0 && s.now.Before(c.stale)
}

// leaveTime is how long an agent that said goodbye may take to end its runs.
const leaveTime = 500 * time.Millisecond
