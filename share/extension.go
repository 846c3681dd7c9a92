package share

import (
	"maps"
	"slices"

	notch "tamaracknotch"
)

// queryLeader asks the replicas who leads if no leader has answered recently.
func (p Entry) queryLeader(now notch.Time) (notch.Part, []notch.Effect) {
	recentGrant := p.leaseRequestedAt != 0 && now.Sub(p.leaseRequestedAt) < p.timing.Lease/3
	if recentGrant || now.Sub(p.queriedAt) < p.timing.Lease/6 {
		return p, nil
	}
	p.queriedAt = now
	replicas := p.voters
	if len(replicas) == 0 {
		replicas = p.knownReplicas
	}
	var out []notch.Effect
	for _, name := range replicas {
		out = append(out, notch.Send{To: name, Message: notch.LeaderQuery{SentAt: now}})
	}
	return p, out
}

// onLeaderHint handles a replica's report about who leads. It follows a leader that
// the replica names. A hint without a leader may extend the lease.
func (p Entry) onLeaderHint(now notch.Time, from string, m notch.LeaderHint) (notch.Part, []notch.Effect) {
	if m.Leader != "" {
		p.noLeaderAt = maps.Clone(p.noLeaderAt)
		delete(p.noLeaderAt, from) // the leader may have reached it again since
		if p.self.Replica || m.Term < p.term || m.Leader == p.leader {
			return p, nil
		}
		return p, []notch.Effect{notch.Emit{Body: notch.LeaderChanged{Leader: m.Leader, Term: m.Term}}}
	}
	if m.SentAt == 0 || !p.isVoter(from, m) || !p.hasTablesOf(m) {
		return p, nil
	}
	p.noLeaderAt = maps.Clone(p.noLeaderAt)
	if p.noLeaderAt == nil {
		p.noLeaderAt = map[string]notch.Time{}
	}
	p.noLeaderAt[from] = max(p.noLeaderAt[from], m.SentAt)
	return p.extendLease(now, m.SentAt)
}

// isVoter reports whether the replica that sent m is a voter of the set that the last grant
// named, and knows no later set. A majority of the voters learns of the next set before it is in force.
func (p Entry) isVoter(from string, m notch.LeaderHint) bool {
	return slices.Contains(p.voters, from) && slices.Equal(p.voters, m.Voters)
}

// hasTablesOf reports whether the tables in force are at least as late as any that the
// replica which sent m may have in its log. It is false if the replica doesn't say.
func (p Entry) hasTablesOf(m notch.LeaderHint) bool {
	return m.LatestRevision != 0 && m.LatestRevision <= p.revision
}

// extendLease extends the lease while there is no leader. If a majority of the
// voters answered the queries of one instant that they know no leader, the next leader
// is elected after that instant and waits for one lease duration before it reassigns
// slots. The entry may therefore use its slots for one lease duration after that
// instant, but not for longer than Timing.MaxExtension after its last renewal. Answers
// to queries of different instants show nothing: a leader may have had contact with one
// voter at a time. A lease that had ended by that instant isn't extended, as an earlier
// leader may have reassigned the slots. Every committed edit is in the log of at least
// one replica of that majority, so none that was committed before that instant is later
// than the tables in force.
func (p Entry) extendLease(now, queriedAt notch.Time) (notch.Part, []notch.Effect) {
	if p.countWithoutLeader(queriedAt) <= len(p.voters)/2 || p.leaseRequestedAt == 0 || queriedAt > p.leaseEnd {
		return p, nil
	}
	leaseEnd := min(queriedAt.Add(p.timing.Lease), p.leaseRequestedAt.Add(p.timing.MaxExtension))
	if leaseEnd <= p.leaseEnd || leaseEnd <= now {
		return p, nil
	}
	p.leaseEnd = leaseEnd
	return p, []notch.Effect{notch.ToLanes{Body: notch.LeaseExtended{Until: leaseEnd}}}
}

// countWithoutLeader returns the number of replicas that knew no leader when they answered
// the query of an instant, and haven't said so in answer to a later one.
func (p Entry) countWithoutLeader(queriedAt notch.Time) int {
	n := 0
	for _, at := range p.noLeaderAt {
		if at == queriedAt {
			n++
		}
	}
	return n
}
