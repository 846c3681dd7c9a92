package consensus

import (
	"slices"
	"time"

	notch "tamaracknotch"
)

// Bounds for a replica set whose size is given by [WithTargetVoters].
const (
	minVotersForCommands = 3                // a smaller set takes no commands, unless its target size is smaller
	voterReplaceTimeout  = 3 * time.Second  // silence after which a learner may replace a voter
	learnerRemoveTimeout = 30 * time.Second // silence after which a learner is removed
)

// hasEnoughVoters reports whether the set is large enough to take commands. Commands that
// the first voter accepts while it is alone would be lost with its host.
func (s *stepper) hasEnoughVoters() bool {
	return s.targetVoters == 0 || len(s.replicaSet().Voters) >= min(minVotersForCommands, s.targetVoters)
}

// nextSetBySize returns a set that differs from the current one by one replica and is
// closer to s.targetVoters voters that answer the leader. It reports false if no change
// is needed. A voter is removed only if a learner that has caught up can replace it, so
// the loss of hosts alone never shrinks the set.
func (s *stepper) nextSetBySize() (notch.ReplicaSet, bool) {
	set := s.replicaSet()
	for _, l := range set.Learners {
		if s.replaced(l) || s.silentFor(l) > learnerRemoveTimeout {
			return notch.ReplicaSet{Voters: set.Voters, Learners: withoutReplica(set.Learners, l)}, true
		}
	}
	for _, r := range s.linkedReplicas {
		if !slices.Contains(set.Voters, r) && !slices.Contains(set.Learners, r) {
			return notch.ReplicaSet{Voters: set.Voters, Learners: withReplica(set.Learners, r)}, true
		}
	}
	for _, l := range set.Learners {
		if !s.caughtUp(l) || !s.hasAcknowledged(l) || s.silentFor(l) > voterReplaceTimeout {
			continue
		}
		if old, ok := replicaNamed(set.Voters, l.Name); ok {
			return notch.ReplicaSet{Voters: withoutReplica(set.Voters, old), Learners: set.Learners}, true
		}
		if len(set.Voters) < s.targetVoters {
			return notch.ReplicaSet{Voters: withReplica(set.Voters, l), Learners: withoutReplica(set.Learners, l)}, true
		}
		if v, ok := s.longestSilentVoter(); ok {
			return notch.ReplicaSet{Voters: withoutReplica(set.Voters, v), Learners: set.Learners}, true
		}
	}
	return notch.ReplicaSet{}, false
}

// longestSilentVoter returns the voter that has been silent for the longest time. It
// reports false if none has been silent for more than voterReplaceTimeout.
func (s *stepper) longestSilentVoter() (notch.Replica, bool) {
	var out notch.Replica
	longest := voterReplaceTimeout
	for _, v := range s.otherVoters() {
		if d := s.silentFor(v); d > longest {
			out, longest = v, d
		}
	}
	return out, longest > voterReplaceTimeout
}

// hasAcknowledged reports whether a replica has acknowledged an entry to this leader. A
// replica that was linked but never answered may be out of reach; as a voter it would
// enlarge the quorum without contributing to it.
func (s *stepper) hasAcknowledged(r notch.Replica) bool {
	i := s.progressIndex(r)
	return i >= 0 && s.progress[i].match > 0
}

// silentFor returns the time since the leader sent the latest message that r answered, or
// since it began to send to r if r has answered none. It is zero for the leader and for a replica
// outside the set.
func (s *stepper) silentFor(r notch.Replica) time.Duration {
	i := s.progressIndex(r)
	if i < 0 || r == s.self {
		return 0
	}
	pr := s.progress[i]
	return s.now.Sub(max(pr.contactAt, pr.addedAt))
}
