package consensus

import (
	"testing"
	"time"

	notch "tamaracknotch"
)

// TestBusyReplicaTakesSnapshotsByTime guards against replicas that encode their whole state each second or two under load, all of
// them at the same entry, while commits wait (SHORT).
func TestBusyReplicaTakesSnapshotsByTime(t *testing.T) {
	for _, c := range []struct {
		name    string
		entries uint64        // since the latest snapshot
		age     time.Duration // of the latest snapshot; 0: another process took it
		want    bool
	}{
		{"few entries", 3999, time.Hour, false},
		{"enough entries", 4000, 5 * time.Second, true},
		{"enough entries within moments", 4000, 4 * time.Second, false},
		{"enough entries, of which a former process took the snapshot", 4000, 0, true},
		{"so many entries that a restart would take long", 32000, time.Second, true},
	} {
		s := stepper{Part: New(notch.Replica{Name: "a"}), now: notch.Time(time.Hour)}
		s.snapshot, s.appliedIndex = &notch.Snapshot{Index: 7}, 7+c.entries
		if c.age > 0 {
			s.snapshotAt = s.now.Add(-c.age)
		}
		if got := s.snapshotDue(); got != c.want {
			t.Errorf("%s: a snapshot is due: got %v, want %v", c.name, got, c.want)
		}
	}
}

// TestLogSinceSnapshotBeforeIsKept guards against a replica that catches up from a snapshot and is sent the next one instead of the
// entries since, as the log no longer has them.
func TestLogSinceSnapshotBeforeIsKept(t *testing.T) {
	s := stepper{Part: New(notch.Replica{Name: "a"}), now: notch.Time(time.Hour)}
	s.role = roleLeader
	s.progress = []progress{{replica: notch.Replica{Name: "b"}, sentSnapshot: 10_000, snapshotSentAt: s.now}}
	s.snapshot, s.snapshotBefore = &notch.Snapshot{Index: 30_000}, 10_000
	if got, want := s.keepFrom(30_000), uint64(10_000); got != want {
		t.Errorf("the log is kept from %d, want %d", got, want)
	}
}
