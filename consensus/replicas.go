package consensus

import (
	"slices"

	notch "tamaracknotch"
)

// quorum is the number of voters that has to agree.
func quorum(set notch.ReplicaSet) int { return len(set.Voters)/2 + 1 }

// set returns the replica set in force, the latest in the log.
func (p *Part) set() notch.ReplicaSet {
	if len(p.configs) == 0 {
		return notch.ReplicaSet{}
	}
	return p.configs[len(p.configs)-1].set
}

// setAt returns the replica set as of index.
func (p *Part) setAt(index uint64) notch.ReplicaSet {
	var set notch.ReplicaSet
	for _, c := range p.configs {
		if c.index <= index {
			set = c.set
		}
	}
	return set
}

func (p *Part) isVoter() bool { return slices.Contains(p.set().Voters, p.self) }

func (p *Part) others() []notch.Replica {
	return slices.DeleteFunc(slices.Clone(p.set().Voters), func(r notch.Replica) bool { return r == p.self })
}

func (p *Part) knows(name string) bool {
	return slices.ContainsFunc(p.set().Voters, func(r notch.Replica) bool { return r.Name == name })
}

func (p *Part) lists(r notch.Replica) bool { return slices.Contains(p.set().Voters, r) }

// wanted takes the names in the pool control as the replica set to reach.
func (s *stepper) wanted(t notch.Tables) {
	pool, _ := t.Pool(notch.ControlPool)
	s.desired = pool.Hosts
	s.reconcile()
}

func (s *stepper) sawReplica(r notch.Replica) {
	seen := slices.DeleteFunc(slices.Clone(s.seen), func(o notch.Replica) bool { return o.Name == r.Name })
	s.seen = append(seen, r)
	s.reconcile()
}

// reconcile takes the next step from the replica set in force towards the one
// that the pool control lists. It waits until the previous step is committed.
func (s *stepper) reconcile() {
	if s.role != roleLeader || s.ready == 0 || s.stopping || len(s.configs) == 0 || (len(s.desired) == 0 && s.size == 0) {
		return
	}
	if s.configs[len(s.configs)-1].index > s.commit {
		return
	}
	step := s.nextSet
	if s.size > 0 {
		step = s.nextFormed
	}
	next, ok := step()
	if !ok {
		return
	}
	s.appendCommand(notch.Proposal{Command: notch.ChangeReplicas{Set: next}})
	s.notice("changes the replica set")
}

// nextSet differs from the set in force by one replica. Learners come first,
// then promotions, then removals, so that the set is never smaller than needed.
func (s *stepper) nextSet() (notch.ReplicaSet, bool) {
	set := s.set()
	for _, l := range set.Learners {
		if !slices.Contains(s.desired, l.Name) || s.replaced(l) {
			return notch.ReplicaSet{Voters: set.Voters, Learners: without(set.Learners, l)}, true
		}
	}
	for _, r := range s.seen {
		if slices.Contains(s.desired, r.Name) && !slices.Contains(set.Voters, r) && !slices.Contains(set.Learners, r) {
			return notch.ReplicaSet{Voters: set.Voters, Learners: with(set.Learners, r)}, true
		}
	}
	for _, l := range set.Learners {
		if !s.caughtUp(l) {
			continue
		}
		// The predecessor of a replaced data folder leaves before its
		// successor votes, or the successor would add to the quorum's size.
		if old, ok := named(set.Voters, l.Name); ok {
			return notch.ReplicaSet{Voters: without(set.Voters, old), Learners: set.Learners}, true
		}
		return notch.ReplicaSet{Voters: with(set.Voters, l), Learners: without(set.Learners, l)}, true
	}
	for _, v := range set.Voters {
		if slices.Contains(s.desired, v.Name) || len(set.Voters) == 1 {
			continue
		}
		if v == s.self {
			s.handOverLead()
			continue
		}
		return notch.ReplicaSet{Voters: without(set.Voters, v), Learners: set.Learners}, true
	}
	return notch.ReplicaSet{}, false
}

// replaced reports whether r's host came back with another data folder.
func (s *stepper) replaced(r notch.Replica) bool {
	return slices.ContainsFunc(s.seen, func(o notch.Replica) bool { return o.Name == r.Name && o != r })
}

func (s *stepper) caughtUp(r notch.Replica) bool {
	i := s.progressOf(r)
	return i >= 0 && s.progress[i].match+uint64(s.limits.CatchUp) >= s.log.lastIndex() && s.progress[i].match >= s.snapshotIndex()
}

func with(rs []notch.Replica, r notch.Replica) []notch.Replica {
	return append(slices.Clone(rs), r)
}

func without(rs []notch.Replica, r notch.Replica) []notch.Replica {
	return slices.DeleteFunc(slices.Clone(rs), func(o notch.Replica) bool { return o == r })
}

func named(rs []notch.Replica, name string) (notch.Replica, bool) {
	i := slices.IndexFunc(rs, func(r notch.Replica) bool { return r.Name == name })
	if i < 0 {
		return notch.Replica{}, false
	}
	return rs[i], true
}
