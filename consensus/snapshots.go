package consensus

import notch "tamaracknotch"

// restoreSnapshot replaces the log by a snapshot. Until the snapshot is synced, the disk agrees with
// it only up to the commit index before.
func (s *stepper) restoreSnapshot(snap notch.Snapshot) {
	s.persistedIndex = min(s.persistedIndex, s.commitIndex)
	s.validWrite = s.lastWrite + 1
	s.snapshot, s.snapshotAt, s.snapshotBefore = &snap, 0, 0
	s.log, s.tableEdits = newLogAt(snap.Index, snap.Term), nil
	s.configs = []configAt{{index: snap.Index, set: snap.Replicas}}
	s.commitIndex, s.appliedIndex = snap.Index, snap.Index
	s.emit(notch.Restored{Snapshot: snap})
}

// snapshotDue reports whether a snapshot of what is applied is due. A snapshot costs as much as the state is large, whatever
// the number of entries, so a busy replica takes them by time.
func (s *stepper) snapshotDue() bool {
	entries := s.appliedIndex - s.snapshotIndex()
	if entries < uint64(s.limits.SnapshotEntries) {
		return false
	}
	return s.snapshotAt == 0 || s.now.Sub(s.snapshotAt) >= s.limits.SnapshotInterval || entries >= uint64(s.limits.MaxSnapshotEntries)
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
	s.snapshotBefore = s.snapshotIndex()
	s.snapshot, s.snapshotAt = &snap, s.now
	s.effects = append(s.effects, notch.SaveSnapshot{Snapshot: snap, KeepFrom: s.keepFrom(snap.Index)})
	if s.role == roleLeader {
		s.sendSnapshots()
	}
}

// keepFrom returns the index up to which the log may be dropped after a snapshot at
// index. The entries after it are kept for followers that lag slightly, and those since the snapshot before for
// those that catch up from it.
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
	sinceBefore := max(uint64(s.limits.SnapshotEntries), index-min(index, s.snapshotBefore))
	if s.snapshotBefore == 0 {
		sinceBefore = uint64(s.limits.SnapshotEntries)
	}
	oldest := index - min(index, uint64(s.limits.RetainedEntries)+sinceBefore)
	return max(keep, oldest, s.log.base)
}
