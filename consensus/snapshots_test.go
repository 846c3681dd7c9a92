package consensus

import (
	"testing"

	notch "tamaracknotch"
)

// TestLargeStateIsSavedLessOften guards against snapshots that take most of a replica's time when its state is
// large: each takes time for every item, while the log grew by the same few entries.
func TestLargeStateIsSavedLessOften(t *testing.T) {
	limits := DefaultLimits
	limits.SnapshotEntries = 10
	for _, c := range []struct{ items, want int }{{0, 10}, {30, 10}, {4000, 1000}} {
		self := notch.Replica{Name: "a", Storage: 1}
		agents := make([]notch.Agent, c.items)
		snap := notch.Snapshot{Index: 1, Term: 1, Replicas: notch.ReplicaSet{Voters: []notch.Replica{self}}, Images: []notch.PartSnapshot{notch.WorkflowsSnapshot{Agents: agents}}}
		s := stepper{Part: New(self, WithLimits(limits))}
		s.restoreSnapshot(snap)
		got := 0
		for !snapshotDue(s.effects) {
			got++
			s.effects = nil
			s.appendEntry(notch.LogEntry{Index: s.log.lastIndex() + 1, Term: 1, Command: notch.Noop{}})
			s.commitIndex = s.log.lastIndex()
			s.apply()
		}
		if got != c.want {
			t.Errorf("entries between snapshots of %d items: got %d, want %d", c.items, got, c.want)
		}
	}
}

func snapshotDue(effects []notch.Effect) bool {
	for _, f := range effects {
		if e, ok := f.(notch.Emit); ok {
			if _, ok := e.Body.(notch.SnapshotDue); ok {
				return true
			}
		}
	}
	return false
}
