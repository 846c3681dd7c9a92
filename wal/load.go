package wal

import (
	"slices"

	"github.com/pkg/errors"

	notch "tamaracknotch"
	"tamaracknotch/wire"
)

// recoveredLog rebuilds the log from the records of all segments.
type recoveredLog struct {
	snapshotIndex uint64 // of the latest snapshot; zero: none
	hardState     notch.HardState
	resetIndex    uint64 // the log begins after this index; zero: it was never reset
	entries       []notch.LogEntry
	gapBefore     uint64 // index of the entry after missing ones; zero: no entry is missing
}

// add applies a record. Its entries replace all entries from the first one's index on.
func (l *recoveredLog) add(r wire.Record) {
	if r.Hard.Term >= l.hardState.Term {
		l.hardState = r.Hard
	}
	if r.Reset > 0 {
		l.resetIndex, l.entries, l.gapBefore = r.Reset, nil, 0
	}
	if len(r.Entries) == 0 {
		return
	}
	first := r.Entries[0].Index
	if n := len(l.entries); n > 0 && l.entries[n-1].Index+1 < first {
		l.skipTo(first)
	}
	if i := slices.IndexFunc(l.entries, func(e notch.LogEntry) bool { return e.Index >= first }); i >= 0 {
		l.entries = l.entries[:i]
	}
	l.entries = append(l.entries, r.Entries...)
}

// skipTo drops the entries before a gap. After a crash, entries that the snapshot contains may be
// missing: a snapshot of the leader was saved but not yet the record that resets the log, or some of
// the segments before the snapshot have been removed.
func (l *recoveredLog) skipTo(first uint64) {
	l.entries = nil
	if first > l.snapshotIndex+1 {
		l.gapBefore = first
	}
}

// entriesAfter returns the entries that follow the snapshot s, which may be nil. It reports
// ErrCorrupt if entries between them or the snapshot itself are missing.
func (l *recoveredLog) entriesAfter(s *notch.Snapshot) ([]notch.LogEntry, error) {
	base := uint64(0)
	if s != nil {
		base = s.Index
	}
	if l.gapBefore > 0 {
		return nil, errors.Wrapf(notch.ErrCorrupt, "the log has a gap before the entry at index %d", l.gapBefore)
	}
	entries := slices.DeleteFunc(l.entries, func(e notch.LogEntry) bool { return e.Index <= base })
	if len(entries) > 0 && entries[0].Index != base+1 {
		return nil, errors.Wrapf(notch.ErrCorrupt, "the entries at indexes %d to %d are missing", base+1, entries[0].Index-1)
	}
	if l.resetIndex > base {
		return nil, errors.Wrapf(notch.ErrCorrupt, "the log begins after the snapshot at index %d, which is missing", l.resetIndex)
	}
	return entries, nil
}
