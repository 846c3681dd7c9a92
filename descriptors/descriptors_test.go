package descriptors

import (
	"fmt"
	"os"
	"syscall"
	"testing"

	"github.com/pkg/errors"
)

// What a budget leaves over has to carry the links of 152 daemons and the journal, also under the
// smallest limit of the users' hosts.
func TestDivideLeavesRoom(t *testing.T) {
	for _, limit := range []int{4096, 4100, 6424} {
		for _, replica := range []bool{false, true} {
			for _, servesCallers := range []bool{false, true} {
				b := Divide(limit, replica, servesCallers)
				if got, want := limit-b.Callers-b.Operators-b.Agents, 500; got < want {
					t.Errorf("limit %d, replica %v, serves callers %v: got %d left over, want at least %d", limit, replica, servesCallers, got, want)
				}
			}
		}
	}
}

// TestAgentsKeepTheirConnections guards against a leader that opens a new connection for each third start,
// as it has too few for a poll and an order to each of its agents.
func TestAgentsKeepTheirConnections(t *testing.T) {
	const limit, agents = 6424, 1800 // of the largest deployment
	if got, want := Divide(limit, true, false).Agents, 2*agents; got < want {
		t.Errorf("connections to agents: got %d, want at least %d", got, want)
	}
}

func TestExhausted(t *testing.T) {
	for _, c := range []struct {
		err  error
		want bool
	}{
		{nil, false},
		{syscall.EMFILE, true},
		{errors.Wrap(&os.PathError{Op: "open", Path: "x", Err: syscall.ENFILE}, "write snapshot"), true},
		{fmt.Errorf("write: %w", syscall.ENOSPC), false},
	} {
		if got := Exhausted(c.err); got != c.want {
			t.Errorf("%v: got %v, want %v", c.err, got, c.want)
		}
	}
}
