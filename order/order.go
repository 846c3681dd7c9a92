// Package order implements the orders in which the queued tasks of a team start.
package order

import (
	"math/bits"
	"time"

	notch "tamaracknotch"
)

// FIFO gives all tasks the same rank, so that they start in submission order. It is the
// baseline for comparisons.
type FIFO struct{}

// Band implements [notch.TaskOrder].
func (FIFO) Band(time.Duration) int { return 0 }

// ShortFirst ranks tasks by their expected run time, in groups that are bounded by
// powers of two of a second. Within a group the order of submission holds, so that small
// errors of the estimate rarely change the order.
type ShortFirst struct{}

// Band implements [notch.TaskOrder].
func (ShortFirst) Band(expected time.Duration) int {
	return bits.Len64(uint64(max(0, expected) / time.Second))
}

// New returns the task order with the given name.
func New(name string) (notch.TaskOrder, bool) {
	switch name {
	case "short-first":
		return ShortFirst{}, true
	case "fifo":
		return FIFO{}, true
	}
	return nil, false
}

// Names lists the names that New accepts, the default first.
func Names() []string { return []string{"short-first", "fifo"} }
