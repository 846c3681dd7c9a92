package wal

import (
	"slices"

	"github.com/pkg/errors"

	notch "tamaracknotch"
	"tamaracknotch/wire"
)

// recoveredLog rebuilds the log from the records of all segments.
type recoveredLog struct {
	hardState  notch.HardState
	resetIndex uint64 // the log begins after this index; zero: it was never reset
	entries    []notch.LogEntry
}

// add applies a record. Its entries replace all entries from the first one's index on.
func (l *recoveredLog) add(r wire.Record) error {
	if r.Hard.Term >= l.hardState.Term {
		l.hardState = r.Hard
	}
	if r.Reset > 0 {
		l.resetIndex, l.entries = r.Reset, nil
	}
	if len(r.Entries) == 0 {
		return nil
	}
	first := r.Entries[0].Index
	i := slices.IndexFunc(l.entries, func(e notch.LogEntry) bool { return e.Index >= first })
	if n := len(l.entries); i < 0 && n > 0 && l.entries[n-1].Index+1 != first {
		return errors.Wrapf(notch.ErrCorrupt, "the log has a gap before the entry at index %d", first)
	}
	if i >= 0 {
		l.entries = l.entries[:i]
	}
	l.entries = append(l.entries, r.Entries...)
	return nil
}

// entriesAfter returns the entries that follow the snapshot s, which may be nil. It reports
// ErrCorrupt if entries between them or the snapshot itself are missing.
func (l *recoveredLog) entriesAfter(s *notch.Snapshot) ([]notch.LogEntry, error) {
	base := uint64(0)
	if s != nil {
		base = s.Index
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
