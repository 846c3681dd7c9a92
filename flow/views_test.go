package flow

import (
	"fmt"
	"runtime"
	"testing"
	"time"
	"unsafe"

	notch "tamaracknotch"
)

// TestPlanCopiesOnlyChangedAgents guards against plans that make the views of all agents anew, which took a
// sixth of what the leader of a large pool allocates.
func TestPlanCopiesOnlyChangedAgents(t *testing.T) {
	const agents, plans = 1000, 50
	s := newTestLeader(agents)
	total := uint64(0)
	for i := range plans {
		s.submit(fmt.Sprint("f", i), 1)
		before := allocated()
		placed := s.planAfter(40 * time.Millisecond)
		if i > 0 { // the first one makes the views
			total += allocated() - before
		}
		if got, want := len(placed), 1; got != want {
			t.Fatalf("plan %d: got %d placements, want %d", i, got, want)
		}
		s.commit(notch.PlaceRuns{Token: 2, Placements: placed})
	}
	copies := agents * uint64(unsafe.Sizeof(notch.AgentView{}))
	if got := total / (plans - 1); got >= copies {
		t.Errorf("bytes allocated by a plan: got %d, want less than the %d of a copy of all views", got, copies)
	}
}

// allocated returns the bytes that the process has allocated since its start.
func allocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}
