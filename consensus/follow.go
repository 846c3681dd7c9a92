package consensus

import (
	"slices"

	notch "tamaracknotch"
)

func (s *stepper) onAppendRequest(m notch.AppendRequest) {
	if m.Term < s.hardState.Term {
		s.send(m.Leader, notch.AppendReply{Term: s.hardState.Term, From: s.self})
		return
	}
	s.acceptLeader(m.Term, m.Leader)
	reply := notch.AppendReply{Term: s.hardState.Term, From: s.self, SentAt: m.SentAt}
	if m.PrevIndex > s.log.lastIndex() || (m.PrevIndex >= s.log.base && s.log.term(m.PrevIndex) != m.PrevTerm) {
		reply.Match = min(m.PrevIndex, s.log.lastIndex()+1) - 1
		reply.Match = max(reply.Match, s.commitIndex)
		s.send(m.Leader, reply)
		return
	}
	missing := s.appendMissing(m.Entries)
	match := m.PrevIndex + uint64(len(m.Entries))
	reply.OK, reply.Match = true, match
	switch {
	case len(m.Entries) == 0:
		// The reply shows that this replica is in contact, so it doesn't wait for the journal. Entries
		// that are still being synced are acknowledged by the reply to the message that carried them.
		reply.Match = min(match, s.persistedIndex)
		s.send(m.Leader, reply)
	case len(missing) > 0 || match > s.persistedIndex:
		s.persist(missing, notch.Send{To: m.Leader, Message: reply})
	default:
		s.send(m.Leader, reply)
	}
	if c := min(m.Commit, match); c > s.commitIndex {
		s.commitIndex = c
		s.apply()
	}
}

// acceptLeader makes the replica a follower of the leader of term, which sent an append
// request or a snapshot.
func (s *stepper) acceptLeader(term uint64, name string) {
	if !s.observeTerm(term) && s.role != roleFollower {
		s.stepDown(name)
	}
	s.lastHeardAt = s.now
	s.resetElection()
	s.setLeader(name)
}

// appendMissing appends those entries that the log lacks and returns them. It first removes
// conflicting entries: those with the same index but another term, and all after them.
func (s *stepper) appendMissing(entries []notch.LogEntry) []notch.LogEntry {
	for i, e := range entries {
		if e.Index <= s.log.base || s.log.term(e.Index) == e.Term {
			continue
		}
		if e.Index <= s.log.lastIndex() {
			s.truncateFrom(e.Index)
		}
		for _, missing := range entries[i:] {
			s.appendEntry(missing)
		}
		return entries[i:]
	}
	return nil
}

func (s *stepper) truncateFrom(index uint64) {
	s.log = s.log.withoutSuffix(index)
	s.tableEdits = slices.DeleteFunc(slices.Clone(s.tableEdits), func(edit uint64) bool { return edit >= index })
	s.persistedIndex = min(s.persistedIndex, index-1)
	s.validWrite = s.lastWrite + 1
	keep := slices.IndexFunc(s.configs, func(c configAt) bool { return c.index >= index })
	if keep >= 0 {
		s.configs = slices.Clone(s.configs[:keep])
		s.emitReplicas()
	}
}

func (s *stepper) onInstallSnapshot(m notch.InstallSnapshot) {
	if m.Term < s.hardState.Term {
		s.send(m.Leader, notch.AppendReply{Term: s.hardState.Term, From: s.self})
		return
	}
	s.acceptLeader(m.Term, m.Leader)
	reply := notch.AppendReply{Term: s.hardState.Term, From: s.self, OK: true, Match: m.Snapshot.Index, SentAt: m.SentAt}
	if m.Snapshot.Index <= s.commitIndex {
		reply.Match = min(s.commitIndex, s.persistedIndex)
		s.send(m.Leader, reply)
		return
	}
	s.restoreSnapshot(m.Snapshot)
	s.emitReplicas()
	s.persist(nil)
	s.effects = append(s.effects, notch.SaveSnapshot{Snapshot: m.Snapshot, KeepFrom: m.Snapshot.Index, Replace: true, Then: []notch.Send{{To: m.Leader, Message: reply}}})
}
