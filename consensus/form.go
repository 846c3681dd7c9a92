package consensus

import (
	"slices"
	"time"

	notch "tamaracknotch"
)

// The bounds of a set that the leader forms by itself.
const (
	founders = 3               // voters before commands are taken, if the set is to have as many
	absent   = 3 * time.Second // silence after which a voter may be replaced
	forget   = 30 * time.Second
)

// formed reports whether the set is large enough to take commands: what a lone first
// voter accepts would be lost with it.
func (s *stepper) formed() bool {
	return s.size == 0 || len(s.set().Voters) >= min(founders, s.size)
}

// nextFormed differs by one replica from the set in force: towards s.size voters that
// are in touch. A voter is only removed for a learner that has caught up, so that the
// loss of hosts alone never shrinks the set.
func (s *stepper) nextFormed() (notch.ReplicaSet, bool) {
	set := s.set()
	for _, l := range set.Learners {
		if s.replaced(l) || s.silentFor(l) > forget {
			return notch.ReplicaSet{Voters: set.Voters, Learners: without(set.Learners, l)}, true
		}
	}
	for _, r := range s.seen {
		if !slices.Contains(set.Voters, r) && !slices.Contains(set.Learners, r) {
			return notch.ReplicaSet{Voters: set.Voters, Learners: with(set.Learners, r)}, true
		}
	}
	for _, l := range set.Learners {
		if !s.caughtUp(l) || !s.answered(l) || s.silentFor(l) > absent {
			continue
		}
		if old, ok := named(set.Voters, l.Name); ok {
			return notch.ReplicaSet{Voters: without(set.Voters, old), Learners: set.Learners}, true
		}
		if len(set.Voters) < s.size {
			return notch.ReplicaSet{Voters: with(set.Voters, l), Learners: without(set.Learners, l)}, true
		}
		if v, ok := s.absentVoter(); ok {
			return notch.ReplicaSet{Voters: without(set.Voters, v), Learners: set.Learners}, true
		}
	}
	return notch.ReplicaSet{}, false
}

// absentVoter returns the voter that has been silent the longest, if that is long.
func (s *stepper) absentVoter() (notch.Replica, bool) {
	var out notch.Replica
	longest := absent
	for _, v := range s.others() {
		if d := s.silentFor(v); d > longest {
			out, longest = v, d
		}
	}
	return out, longest > absent
}

// answered reports whether a replica has confirmed anything to this leader. One that
// was only linked may be out of reach, and as a voter would cost the quorum.
func (s *stepper) answered(r notch.Replica) bool {
	i := s.progressOf(r)
	return i >= 0 && s.progress[i].match > 0
}

// silentFor returns how long a replica hasn't answered this leader.
func (s *stepper) silentFor(r notch.Replica) time.Duration {
	i := s.progressOf(r)
	if i < 0 || r == s.self {
		return 0
	}
	return s.now.Sub(max(s.progress[i].contact, s.leaderSince))
}
