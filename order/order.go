// Package order ranks the queued tasks of a team.
package order

import (
	"math/bits"
	"time"

	notch "tamaracknotch"
)

// FIFO keeps the order of submission. It is the naive baseline.
type FIFO struct{}

// Band implements [notch.TaskOrder].
func (FIFO) Band(time.Duration) int { return 0 }

// ShortFirst ranks by the power of two of the expected seconds, so that small errors
// of an estimate don't matter.
type ShortFirst struct{}

// Band implements [notch.TaskOrder].
func (ShortFirst) Band(expected time.Duration) int {
	return bits.Len64(uint64(max(0, expected) / time.Second))
}

// New returns the named order.
func New(name string) (notch.TaskOrder, bool) {
	switch name {
	case "short-first":
		return ShortFirst{}, true
	case "fifo":
		return FIFO{}, true
	}
	return nil, false
}

// Names lists the orders, the default first.
func Names() []string { return []string{"short-first", "fifo"} }
