package fake

import (
	"testing"
	"time"
)

// Guards against replicas that elect no leader while their disks are slow: a candidate that
// campaigns again before its own vote and the others' are synced never counts them.
func TestElectionOnSlowDisks(t *testing.T) {
	for _, sync := range []time.Duration{100 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(sync.String(), func(t *testing.T) {
			s := New(1)
			s.Policies.Replicas = 5
			s.AddDaemon("a", "north", true, true)
			for _, name := range []string{"b", "c", "d", "e"} {
				s.AddDaemon(name, "south", true, false)
			}
			s.Run(5 * time.Second)
			s.Net.SyncTime = sync
			s.Run(2 * time.Second)
			for _, n := range s.Nodes() {
				if s.IsLeader(n) {
					s.Kill(n)
				}
			}
			start := s.Now()
			for s.Now()-start < 20*time.Second {
				s.Run(50 * time.Millisecond)
				for _, n := range s.Nodes() {
					if n.Up && s.IsLeader(n) {
						t.Logf("a leader after %v", s.Now()-start)
						return
					}
				}
			}
			t.Errorf("got no leader in 20 s, want one")
		})
	}
}
