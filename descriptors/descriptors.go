// Package descriptors divides the descriptors that the process may have open among its uses, so
// that none of them takes what another needs: what is left over belongs to the journal, the links
// to other daemons and the logs.
package descriptors

import (
	"os"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Budget holds how many connections each use may have open.
type Budget struct {
	Callers   int // accepted from callers
	Operators int // accepted from operators and agents
	Agents    int // opened to agents
}

// Divide returns the budget of a process that may have limit descriptors open. Only a process that
// keeps the replicated log opens connections to agents. Agents need two each, one of them for polls; so
// they get the callers' share as well if the process serves no callers.
func Divide(limit int, replica, servesCallers bool) Budget {
	switch {
	case !replica:
		return Budget{Callers: limit / 2, Operators: limit / 4}
	case !servesCallers:
		return Budget{Operators: limit / 4, Agents: limit * 5 / 8}
	}
	return Budget{Callers: limit / 8, Operators: limit / 4, Agents: limit / 2}
}

// Limit returns how many descriptors the process may have open.
func Limit() (int, error) {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return 0, errors.Wrap(err, "read the limit of descriptors")
	}
	const unlimited = 1 << 20
	return int(min(l.Cur, unlimited)), nil
}

// InUse returns how many descriptors the process has open.
func InUse() (int, error) {
	entries, err := os.ReadDir("/proc/self/fd")
	return len(entries), errors.Wrap(err, "count the open descriptors")
}

// Exhausted reports whether an operation failed because the process or its host has no descriptor
// left. It says nothing about the file or the peer.
func Exhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
