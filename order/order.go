// Package order ranks the queued tasks of a team.
package order

import (
	"math/bits"
	"time"

	notch "tamaracknotch"
)

// FIFO ranks by class alone, so that tasks go in the order of submission. It is
// the naive baseline.
type FIFO struct{}

// Band implements [notch.TaskOrder].
func (FIFO) Band(class notch.Class, _ time.Duration) int { return int(class) * bandsPerClass }

// ShortFirst ranks by class, then by the power of two of the expected seconds,
// so that small errors of an estimate don't matter.
type ShortFirst struct{}

// bandsPerClass leaves room for run times of up to 2^15 s in a class.
const bandsPerClass = 16

// Band implements [notch.TaskOrder].
func (ShortFirst) Band(class notch.Class, expected time.Duration) int {
	band := bits.Len64(uint64(max(0, expected) / time.Second))
	return int(class)*bandsPerClass + min(band, bandsPerClass-1)
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
