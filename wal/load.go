package wal

import (
	"slices"

	"github.com/pkg/errors"

	notch "tamaracknotch"
	"tamaracknotch/wire"
)

// loadedLog puts records back together.
type loadedLog struct {
	hard    notch.HardState
	reset   uint64
	entries []notch.Entry
}

func (l *loadedLog) add(r wire.Record) error {
	if r.Hard.Term >= l.hard.Term {
		l.hard = r.Hard
	}
	if r.Reset > 0 {
		l.reset, l.entries = r.Reset, nil
	}
	if len(r.Entries) == 0 {
		return nil
	}
	first := r.Entries[0].Index
	i := slices.IndexFunc(l.entries, func(e notch.Entry) bool { return e.Index >= first })
	if n := len(l.entries); i < 0 && n > 0 && l.entries[n-1].Index+1 != first {
		return errors.Wrapf(notch.ErrCorrupt, "the log has a gap before entry %d", first)
	}
	if i >= 0 {
		l.entries = l.entries[:i]
	}
	l.entries = append(l.entries, r.Entries...)
	return nil
}

// after returns the entries that follow the snapshot, without a gap.
func (l *loadedLog) after(s *notch.Snapshot) ([]notch.Entry, error) {
	base := uint64(0)
	if s != nil {
		base = s.Index
	}
	entries := slices.DeleteFunc(l.entries, func(e notch.Entry) bool { return e.Index <= base })
	if len(entries) > 0 && entries[0].Index != base+1 {
		return nil, errors.Wrapf(notch.ErrCorrupt, "entries %d to %d are missing", base+1, entries[0].Index-1)
	}
	if l.reset > base {
		return nil, errors.Wrapf(notch.ErrCorrupt, "the snapshot at %d is missing", l.reset)
	}
	return entries, nil
}
