package consensus

import (
	"slices"

	notch "tamaracknotch"
)

// quorum returns the size of a majority of the voters.
func quorum(set notch.ReplicaSet) int { return len(set.Voters)/2 + 1 }

// replicaSet returns the replica set in force: the latest one in the log, committed or not.
func (p *Part) replicaSet() notch.ReplicaSet {
	if len(p.configs) == 0 {
		return notch.ReplicaSet{}
	}
	return p.configs[len(p.configs)-1].set
}

// voterNames returns the names of the voters of a set.
func voterNames(set notch.ReplicaSet) []string {
	var out []string
	for _, v := range set.Voters {
		out = append(out, v.Name)
	}
	return out
}

// replicaSetAt returns the replica set that was in force at index.
func (p *Part) replicaSetAt(index uint64) notch.ReplicaSet {
	var set notch.ReplicaSet
	for _, c := range p.configs {
		if c.index <= index {
			set = c.set
		}
	}
	return set
}

func (p *Part) isVoter() bool { return slices.Contains(p.replicaSet().Voters, p.self) }

func (p *Part) otherVoters() []notch.Replica {
	return slices.DeleteFunc(slices.Clone(p.replicaSet().Voters), func(r notch.Replica) bool { return r == p.self })
}

func (p *Part) hasVoterNamed(name string) bool {
	return slices.ContainsFunc(p.replicaSet().Voters, func(r notch.Replica) bool { return r.Name == name })
}

// hasVoter reports whether r is a voter, with the same data folder.
func (p *Part) hasVoter(r notch.Replica) bool { return slices.Contains(p.replicaSet().Voters, r) }

// onTablesCommitted takes the hosts of the pool control as the desired voters.
func (s *stepper) onTablesCommitted(t notch.Tables) {
	s.tablesRevision = t.Revision
	pool, _ := t.Pool(notch.ControlPool)
	s.desiredVoters = pool.Hosts
	s.reconcileMembership()
}

func (s *stepper) onReplicaLinked(r notch.Replica) {
	linked := slices.DeleteFunc(slices.Clone(s.linkedReplicas), func(o notch.Replica) bool { return o.Name == r.Name })
	s.linkedReplicas = append(linked, r)
	s.reconcileMembership()
}

// reconcileMembership appends the next membership change towards the desired replica set.
// It does nothing until the previous change is committed, nor while the entries of earlier terms are
// being applied: these pass through earlier revisions of the pool control.
func (s *stepper) reconcileMembership() {
	if s.role != roleLeader || s.readyAt == 0 || s.reducedIndex < s.termStartIndex || s.handsOver() || len(s.configs) == 0 || (len(s.desiredVoters) == 0 && s.targetVoters == 0) {
		return
	}
	if s.configs[len(s.configs)-1].index > s.commitIndex {
		return
	}
	nextSet := s.nextSetByPool
	if s.targetVoters > 0 {
		nextSet = s.nextSetBySize
	}
	next, ok := nextSet()
	if !ok {
		return
	}
	s.appendCommand(notch.Proposal{Command: notch.ChangeReplicas{Set: next}})
	s.logMessage("changes the replica set")
}

// nextSetByPool returns a set that differs from the current one by one replica and is
// closer to the hosts of the pool control. It reports false if no change is needed.
// Learners are added first, then promoted, and only then are voters removed, so that the
// set is never smaller than necessary.
func (s *stepper) nextSetByPool() (notch.ReplicaSet, bool) {
	set := s.replicaSet()
	for _, l := range set.Learners {
		if !slices.Contains(s.desiredVoters, l.Name) || s.replaced(l) {
			return notch.ReplicaSet{Voters: set.Voters, Learners: withoutReplica(set.Learners, l)}, true
		}
	}
	for _, r := range s.linkedReplicas {
		if slices.Contains(s.desiredVoters, r.Name) && !slices.Contains(set.Voters, r) && !slices.Contains(set.Learners, r) {
			return notch.ReplicaSet{Voters: set.Voters, Learners: withReplica(set.Learners, r)}, true
		}
	}
	for _, l := range set.Learners {
		if !s.caughtUp(l) {
			continue
		}
		// If the learner has the name of a voter, the host's data folder was
		// replaced. The old replica is removed before the new one is promoted;
		// otherwise the lost replica would still count in the size of the quorum.
		if old, ok := replicaNamed(set.Voters, l.Name); ok {
			return notch.ReplicaSet{Voters: withoutReplica(set.Voters, old), Learners: set.Learners}, true
		}
		return notch.ReplicaSet{Voters: withReplica(set.Voters, l), Learners: withoutReplica(set.Learners, l)}, true
	}
	for _, v := range set.Voters {
		if slices.Contains(s.desiredVoters, v.Name) || len(set.Voters) == 1 {
			continue
		}
		if v == s.self {
			s.transferLeadership()
			continue
		}
		return notch.ReplicaSet{Voters: withoutReplica(set.Voters, v), Learners: set.Learners}, true
	}
	return notch.ReplicaSet{}, false
}

// replaced reports whether the daemon named r.Name was last linked with another data folder.
func (s *stepper) replaced(r notch.Replica) bool {
	return slices.ContainsFunc(s.linkedReplicas, func(o notch.Replica) bool { return o.Name == r.Name && o != r })
}

// caughtUp reports whether a learner may become a voter: it lacks few entries, or none that are older
// than an election timeout, as with many commands a second one round trip is many entries.
func (s *stepper) caughtUp(r notch.Replica) bool {
	i := s.progressIndex(r)
	if i < 0 || s.progress[i].match < s.snapshotIndex() {
		return false
	}
	pr := s.progress[i]
	keepsUp := pr.shortRound && s.now.Sub(pr.roundAt) <= s.timing.ElectionTimeout
	return keepsUp || pr.match+uint64(s.limits.LearnerLag) >= s.log.lastIndex()
}

func withReplica(rs []notch.Replica, r notch.Replica) []notch.Replica {
	return append(slices.Clone(rs), r)
}

func withoutReplica(rs []notch.Replica, r notch.Replica) []notch.Replica {
	return slices.DeleteFunc(slices.Clone(rs), func(o notch.Replica) bool { return o == r })
}

func replicaNamed(rs []notch.Replica, name string) (notch.Replica, bool) {
	i := slices.IndexFunc(rs, func(r notch.Replica) bool { return r.Name == name })
	if i < 0 {
		return notch.Replica{}, false
	}
	return rs[i], true
}
