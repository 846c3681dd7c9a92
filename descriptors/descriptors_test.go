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
			b := Divide(limit, replica)
			if got, want := limit-b.Callers-b.Operators-b.Agents, 500; got < want {
				t.Errorf("limit %d, replica %v: got %d left over, want at least %d", limit, replica, got, want)
			}
		}
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
