package consensus

import notch "tamaracknotch"

// A replica whose journal is failing, for example because its disk is full, can acknowledge nothing.
// A leader hands over at once. A follower doesn't campaign, grants no votes and takes no entries, so
// that what waits for the journal stays small. It answers nothing to the leader, for which it is away
// until the journal works again.

// metricJournalFailing is 1 while the journal is failing.
const metricJournalFailing = "journal-failing"

// maxUnsyncedEntries is the number of entries that a leader keeps for a failing journal. It goes on
// as long as the others sync its entries and none of them takes over.
const maxUnsyncedEntries = 4096

func (p *Part) journalFailing() bool { return p.failingSince != 0 }

func (s *stepper) onJournalFailing(b notch.JournalFailing) {
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
	s.logMessage("journal works again", notch.DurationField("after", s.now.Sub(s.failingSince)))
	s.effects = append(s.effects, notch.Count{Name: metricJournalFailing, Delta: -1})
	s.failingSince = 0
	if s.role != roleLeader {
		s.resetElection()
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

// hasManyUnsynced reports whether the journal is failing and can be given no further entries.
func (s *stepper) hasManyUnsynced() bool {
	return s.journalFailing() && s.log.lastIndex() >= s.persistedIndex+maxUnsyncedEntries
}
