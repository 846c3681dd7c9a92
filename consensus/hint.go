package consensus

import (
	"slices"

	notch "tamaracknotch"
)

// leaderHint returns the answer to a LeaderQuery.
func (s *stepper) leaderHint(m notch.LeaderQuery) notch.LeaderHint {
	hint := notch.LeaderHint{Term: s.hardState.Term, Leader: s.leader, SentAt: m.SentAt}
	if s.isVoter() && s.wouldHaveHeardLeader() {
		hint.LatestRevision, hint.Voters = s.latestRevision(), voterNames(s.replicaSet())
	}
	return hint
}

// wouldHaveHeardLeader reports whether the replica has run for so long that a leader which this
// replica hasn't heard has lost contact with it. A replica that has just started doesn't know the
// leader that it followed before.
func (s *stepper) wouldHaveHeardLeader() bool {
	return s.now.Sub(s.recoveredAt) >= s.timing.ElectionTimeout
}

// latestRevision returns the latest revision of the tables that the log may lead to. An
// entry that isn't applied yet may already be committed, so it counts as an edit that
// will be accepted.
func (s *stepper) latestRevision() uint64 {
	revision := s.tablesRevision
	for _, index := range s.tableEdits {
		if index > s.appliedIndex {
			revision++
		}
	}
	return revision
}

// noteTableEdit adds an entry to tableEdits if it edits the tables, and drops those that are applied.
func (s *stepper) noteTableEdit(e notch.LogEntry) {
	switch e.Command.(type) {
	case notch.EditTable, notch.ReplaceTables:
		left := slices.DeleteFunc(slices.Clone(s.tableEdits), func(index uint64) bool { return index <= s.appliedIndex })
		s.tableEdits = append(left, e.Index)
	}
}
