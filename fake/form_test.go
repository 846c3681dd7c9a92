package fake

import (
	"fmt"
	"testing"
	"time"
)

// TestClusterFormsDespiteCutLinks forms a cluster of five replicas while the messages
// from the founder to some of the others are lost at first. It guards against a cluster
// that is left without a leader because its links were established in an unlucky order.
func TestClusterFormsDespiteCutLinks(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	for seed := uint64(1); seed <= 60; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := New(seed)
			s.Policies.Replicas = len(names)
			for i, name := range names {
				s.AddDaemon(name, "north", true, i == 0)
			}
			// The daemons establish their links after half a second. Some links are cut
			// at about that time.
			s.Run(time.Duration(490+s.Rand.IntN(40)) * time.Millisecond)
			for _, name := range names[1:] {
				if s.Rand.IntN(2) == 0 {
					s.Cut("a", name)
				}
			}
			s.Run(1200 * time.Millisecond)
			s.Heal()
			s.Run(8 * time.Second)
			leaders, voters := 0, 0
			for _, n := range s.Nodes() {
				if s.IsLeader(n) {
					p, _ := s.Consensus(n)
					leaders, voters = leaders+1, len(p.ReplicaSet().Voters)
				}
			}
			if leaders != 1 || voters != len(names) {
				t.Errorf("got %d leaders with %d voters, want 1 with %d", leaders, voters, len(names))
			}
		})
	}
}
