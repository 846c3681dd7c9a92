package consensus

import (
	"slices"
	"time"

	notch "tamaracknotch"
)

// progress is the leader's replication state for one replica.
type progress struct {
	replica        notch.Replica
	voter          bool
	addedAt        notch.Time // when the leader began to send to the replica
	match          uint64     // last index known to be synced by the replica
	next           uint64     // next index to send
	contactAt      notch.Time // send time of the latest message that the replica answered
	lastSentAt     notch.Time // when sendAppend last sent a message
	probing        bool       // an append was rejected, and the replica hasn't confirmed the probe after it
	probedAt       notch.Time // when the probe was sent; rejections of earlier messages are ignored
	snapshotSentAt notch.Time // when the unacknowledged snapshot was sent; zero: none
	sentSnapshot   uint64     // index of the snapshot sent last; zero once the replica has caught up
	roundEnd       uint64     // last index of the log when the round began; the replica's confirmation ends the round
	roundAt        notch.Time // when the round began
	shortRound     bool       // the round before took an election timeout at most
	unconfirmed    []uint64   // last index of each message with entries that isn't confirmed; never modified in place
}

// maxUnconfirmedAppends is the number of messages with entries that a replica may have to confirm
// before further entries wait for one another and go into one message.
const maxUnconfirmedAppends = 4

// mayAppend reports whether entries may be sent to the replica as soon as there are some.
func (pr progress) mayAppend() bool {
	return !pr.probing && len(pr.unconfirmed) < maxUnconfirmedAppends
}

// withSent returns pr after n entries from next on were sent in one message.
func (pr progress) withSent(n int) progress {
	if n == 0 {
		return pr
	}
	pr.next += uint64(n)
	pr.unconfirmed = append(slices.Clip(pr.unconfirmed), pr.next-1)
	return pr
}

// withMatch returns pr after the replica has confirmed the entries up to index.
func (pr progress) withMatch(index uint64) progress {
	pr.match = max(pr.match, index)
	pr.next = max(pr.next, pr.match+1)
	for len(pr.unconfirmed) > 0 && pr.unconfirmed[0] <= pr.match {
		pr.unconfirmed = pr.unconfirmed[1:]
	}
	return pr
}

// withRound returns pr with the next round begun if the replica has confirmed all that the log held
// at the beginning of this one.
func (pr progress) withRound(lastIndex uint64, now notch.Time, short time.Duration) progress {
	if pr.match < pr.roundEnd {
		return pr
	}
	pr.shortRound = pr.roundEnd != 0 && now.Sub(pr.roundAt) <= short
	pr.roundEnd, pr.roundAt = lastIndex, now
	return pr
}

// withNext returns pr with the next entry to send set back to index.
func (pr progress) withNext(index uint64) progress {
	pr.next, pr.unconfirmed = index, nil
	return pr
}

// progressFor returns the progress of the replicas in set. It keeps the progress of those
// that are known, and expects the others to have the whole log.
func (s *stepper) progressFor(set notch.ReplicaSet) []progress {
	var out []progress
	add := func(rs []notch.Replica, voter bool) {
		for _, r := range rs {
			pr := progress{replica: r, addedAt: s.now, next: s.log.lastIndex() + 1}
			if i := s.progressIndex(r); i >= 0 {
				pr = s.progress[i]
			}
			pr.voter = voter
			out = append(out, pr)
		}
	}
	add(set.Voters, true)
	add(set.Learners, false)
	return out
}

// progressIndex returns the position of r in s.progress, or -1.
func (s *stepper) progressIndex(r notch.Replica) int {
	return slices.IndexFunc(s.progress, func(pr progress) bool { return pr.replica == r })
}

func (s *stepper) setProgress(i int, pr progress) {
	s.progress = slices.Clone(s.progress)
	s.progress[i] = pr
}
