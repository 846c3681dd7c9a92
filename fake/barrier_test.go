package fake

import (
	"testing"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/drive"
)

// countTablesSent counts the results with tables that daemons send one another.
func countTablesSent(s *Testbed) *int {
	sent := 0
	s.StepTime = func(_ *drive.Node, _ notch.Body, effects []notch.Effect) time.Duration {
		for _, f := range effects {
			if sendsTables(f) {
				sent++
			}
		}
		return 0
	}
	return &sent
}

// sendsTables reports whether an effect sends a result with tables to another daemon.
func sendsTables(f notch.Effect) bool {
	m, _ := f.(notch.Send)
	o, _ := m.Message.(notch.Outcome)
	_, ok := o.Result.(notch.TablesResult)
	return ok
}

// readTables has a barrier committed through a daemon and returns the revision that it answers.
func readTables(t *testing.T, s *Testbed, n *drive.Node) uint64 {
	t.Helper()
	revision := uint64(0)
	s.Submit(n, notch.Barrier{}, time.Second, func(a notch.Answer) {
		if r, ok := a.Result.(notch.TablesResult); ok {
			revision = r.Tables.Revision
		}
	})
	s.Run(time.Second)
	return revision
}

// Guards against a leader that sends the whole tables to a replica at each read there: heartbeats
// waited behind the results on the same link, until the leader lost contact with its quorum.
func TestReadAtReplicaSendsNoTables(t *testing.T) {
	s := New(1)
	s.Policies.Replicas = 3
	for i, name := range []string{"a", "b", "c"} {
		s.AddDaemon(name, "north", true, i == 0)
	}
	entry := s.AddDaemon("e", "north", false, false)
	s.Run(5 * time.Second)
	sent := countTablesSent(s)
	pools := []notch.Pool{{Name: "sale", Kind: notch.ServicePool}}
	s.Submit(s.Node("a"), notch.ReplaceTables{Version: 7, Pools: pools, Document: "{}"}, time.Second, func(notch.Answer) {})
	s.Run(time.Second)
	want := s.Tables(s.Node("a")).Revision
	for _, name := range []string{"a", "b", "c"} {
		if got := readTables(t, s, s.Node(name)); got != want || want == 0 {
			t.Errorf("read at %s: got revision %d, want %d", name, got, want)
		}
	}
	if *sent != 0 {
		t.Errorf("results with tables sent to replicas: got %d, want 0", *sent)
	}
	// A daemon without a log gets them from the leader.
	if got := readTables(t, s, entry); got != want || *sent != 1 {
		t.Errorf("read at an entry: got revision %d by %d results, want %d by 1", got, *sent, want)
	}
}
