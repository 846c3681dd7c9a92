package share

import (
	"testing"
	"time"

	notch "tamaracknotch"
)

// TestReportsOfManyEntriesAreRarer guards against a leader of many entries that spends its processor on reports without news (SHORT), and
// against entries that lose their lease by reporting too rarely.
func TestReportsOfManyEntriesAreRarer(t *testing.T) {
	for _, c := range []struct {
		name    string
		entries int
		leased  bool
		seq     uint64 // of the latest grant in this term
		want    time.Duration
	}{
		{"few entries", 45, true, 1, 250 * time.Millisecond},
		{"more entries", 80, true, 1, 400 * time.Millisecond},
		{"many entries: a third of the lease", 147, true, 1, 500 * time.Millisecond},
		{"an entry without a lease", 147, false, 1, 250 * time.Millisecond},
		{"an entry without a grant of the present leader", 147, true, 0, 250 * time.Millisecond},
	} {
		timing := DefaultTiming
		timing.Lease = 1500 * time.Millisecond
		e := NewEntry(notch.Daemon{Name: "e"}, 1, WithEntryTiming(timing))
		e.entryCount, e.leased, e.grantSeq = c.entries, c.leased, c.seq
		if got := e.reportInterval(); got != c.want {
			t.Errorf("%s: got an interval of %v, want %v", c.name, got, c.want)
		}
	}
}
