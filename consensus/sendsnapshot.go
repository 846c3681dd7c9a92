package consensus

import (
	"time"

	notch "tamaracknotch"
)

// sendSnapshot sends the snapshot to replica i, unless one was sent recently and isn't
// acknowledged yet. If the latest snapshot is old, a new one is taken first, and sent by
// [stepper.saveSnapshot]: the entries after an old one may be many times its size.
func (s *stepper) sendSnapshot(i int) {
	pr := s.progress[i]
	pr.lastSentAt = s.now
	if s.awaitsSnapshot(pr) {
		// A heartbeat keeps the follower from campaigning while it waits.
		s.send(pr.replica.Name, notch.AppendRequest{
			Term: s.hardState.Term, Leader: s.self.Name, PrevIndex: s.log.base,
			PrevTerm: s.log.baseTerm, Commit: 0, SentAt: s.now,
		})
		s.setProgress(i, pr)
		return
	}
	if s.snapshotIndex()+uint64(s.limits.RetainedEntries) < s.appliedIndex {
		s.setProgress(i, pr)
		s.emitSnapshotDue()
		return
	}
	pr.snapshotSentAt, pr.sentSnapshot = s.now, s.snapshotIndex()
	s.setProgress(i, pr)
	s.send(pr.replica.Name, notch.InstallSnapshot{
		Term: s.hardState.Term, Leader: s.self.Name, SentAt: s.now, Snapshot: *s.snapshot,
	})
}

// sendSnapshots sends the snapshot to the replicas that need one.
func (s *stepper) sendSnapshots() {
	for i, pr := range s.progress {
		if s.needsSnapshot(pr) && !s.awaitsSnapshot(pr) {
			s.sendAppend(i)
		}
	}
}

// needsSnapshot reports whether the log no longer holds the next entries for the replica.
func (s *stepper) needsSnapshot(pr progress) bool { return pr.next <= s.log.base }

// awaitsSnapshot reports whether a snapshot was sent to the replica recently and isn't
// acknowledged yet.
func (s *stepper) awaitsSnapshot(pr progress) bool {
	return pr.snapshotSentAt != 0 && s.now.Sub(pr.snapshotSentAt) < s.snapshotTimeout()
}

// catchesUp reports whether the replica was sent a snapshot and hasn't caught up with the log
// since. A replica that fell silent doesn't count.
func (s *stepper) catchesUp(pr progress) bool {
	return pr.sentSnapshot != 0 && s.now.Sub(max(pr.contactAt, pr.snapshotSentAt)) < s.snapshotTimeout()
}

// snapshotTimeout is the wait for the acknowledgement of a snapshot before it is sent again.
func (s *stepper) snapshotTimeout() time.Duration {
	return snapshotTimeoutResends * s.timing.ResendTimeout
}

// snapshotTimeoutResends is the number of resend timeouts after which an unacknowledged
// snapshot is sent again.
const snapshotTimeoutResends = 10
