package consensus

import notch "tamaracknotch"

// restoreSnapshot replaces the log by a snapshot. Until the snapshot is synced, the disk agrees with
// it only up to the commit index before.
func (s *stepper) restoreSnapshot(snap notch.Snapshot) {
	s.persistedIndex = min(s.persistedIndex, s.commitIndex)
	s.validWrite = s.lastWrite + 1
	s.snapshot = &snap
	s.log, s.tableEdits = newLogAt(snap.Index, snap.Term), nil
	s.configs = []configAt{{index: snap.Index, set: snap.Replicas}}
	s.commitIndex, s.appliedIndex = snap.Index, snap.Index
	s.emit(notch.Restored{Snapshot: snap})
}

// emitSnapshotDue requests a snapshot of what is applied.
func (s *stepper) emitSnapshotDue() {
	s.emit(notch.SnapshotDue{Index: s.appliedIndex, Term: s.log.term(s.appliedIndex), Replicas: s.replicaSetAt(s.appliedIndex)})
}

func (s *stepper) snapshotIndex() uint64 {
	if s.snapshot == nil {
		return 0
	}
	return s.snapshot.Index
}

func (s *stepper) saveSnapshot(snap notch.Snapshot) {
	s.snapshot = &snap
	s.effects = append(s.effects, notch.SaveSnapshot{Snapshot: snap, KeepFrom: s.keepFrom(snap.Index)})
	if s.role == roleLeader {
		s.sendSnapshots()
	}
}

// keepFrom returns the index up to which the log may be dropped after a snapshot at
// index. The entries after it are kept for followers that lag slightly, and up to SnapshotEntries
// more for those that catch up from an earlier snapshot.
func (s *stepper) keepFrom(index uint64) uint64 {
	if index <= uint64(s.limits.RetainedEntries) {
		return 0
	}
	keep := index - uint64(s.limits.RetainedEntries)
	for _, pr := range s.progress {
		if s.catchesUp(pr) {
			keep = min(keep, max(pr.match, pr.sentSnapshot))
		}
	}
	oldest := index - min(index, uint64(s.limits.RetainedEntries+s.limits.SnapshotEntries))
	return max(keep, oldest, s.log.base)
}
