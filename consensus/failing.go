package consensus

import (
	"slices"

	notch "tamaracknotch"
)

// A replica whose journal is failing, for example because its disk is full, can acknowledge nothing.
// A leader hands over at once, and commits what it has sent if the others sync it. A follower
// doesn't campaign, grants no votes and takes no entries, so that what waits for the journal stays
// small. It answers nothing to the leader, for which it is away until the journal works again.

// metricJournalFailing is 1 while the journal is failing.
const metricJournalFailing = "journal-failing"

// maxHeldProposals is the number of proposals that a leader whose journal is failing keeps.
const maxHeldProposals = 1024

func (p *Part) journalFailing() bool { return p.failingSince != 0 }

func (s *stepper) onJournalFailing(b notch.JournalFailing) {
	if b.Exhausted {
		s.logMessage("journal waits for a descriptor", notch.TextField("reason", b.Reason), notch.IntField("waiting", b.Waiting))
		return
	}
	s.failingSince = s.now
	s.logMessage("journal is failing", notch.TextField("reason", b.Reason), notch.IntField("waiting", b.Waiting))
	s.effects = append(s.effects, notch.Count{Name: metricJournalFailing, Delta: 1})
	if s.role == roleLeader {
		s.transferLeadership()
		return
	}
	s.stepDown(s.leader)
}

func (s *stepper) onJournalRecovered() {
	if !s.journalFailing() {
		return // it only waited for a descriptor
	}
	s.logMessage("journal works again", notch.DurationField("after", s.now.Sub(s.failingSince)))
	s.effects = append(s.effects, notch.Count{Name: metricJournalFailing, Delta: -1})
	s.failingSince = 0
	if s.role != roleLeader {
		s.resetElection()
		return
	}
	held := s.held
	s.held = nil
	for _, b := range held {
		s.propose(b)
	}
}

// onMessageWhileFailing handles a message that would need the journal. It reports whether m is one.
func (s *stepper) onMessageWhileFailing(m notch.Message) bool {
	switch m := m.(type) {
	case notch.VoteRequest, notch.TimeoutNow:
		return true
	case notch.AppendRequest:
		return s.followWhileFailing(m.Term, m.Leader)
	case notch.InstallSnapshot:
		return s.followWhileFailing(m.Term, m.Leader)
	}
	return false
}

// followWhileFailing makes the replica a follower of the leader of term, unless it knows a later
// term. It reports whether it did.
func (s *stepper) followWhileFailing(term uint64, leader string) bool {
	if term < s.hardState.Term {
		return false
	}
	s.acceptLeader(term, leader)
	return true
}

// hold keeps a proposal until the journal works again, if the replica then still leads. If it were
// appended, voters that have the entry would reject the replica that is to take over.
func (s *stepper) hold(b notch.Proposal) {
	if len(s.held) < maxHeldProposals {
		s.held = append(slices.Clip(s.held), b)
	}
}
