// Package queue orders the requests that wait at an entry and decides which may
// wait at all.
package queue

import (
	"time"

	notch "tamaracknotch"
)

// FIFO serves in the order of arrival. It is the naive baseline.
type FIFO struct{}

// Rank implements [notch.QueueOrder].
func (FIFO) Rank(w notch.Waiting) int64 { return int64(w.Arrived) }

// ShortFirst lets short requests go before long ones and pressing classes before
// others, by a head start in time. As a head start is finite, nothing starves.
type ShortFirst struct {
	Factor int                                 // head start per unit of expected service time
	Class  [notch.BestEffort + 1]time.Duration // delay of each class
}

// DefaultShortFirst suits service times from 1 ms to 1 s.
var DefaultShortFirst = ShortFirst{
	Factor: 5,
	Class:  [...]time.Duration{0, 200 * time.Millisecond, 2 * time.Second},
}

// Rank implements [notch.QueueOrder].
func (q ShortFirst) Rank(w notch.Waiting) int64 {
	late := time.Duration(q.Factor)*w.Expected + q.Class[min(w.Class, notch.BestEffort)]
	return int64(w.Arrived.Add(late))
}

// Bounded admits while the queue has room. It is the naive baseline.
type Bounded struct{}

// Admit implements [notch.Admitter].
func (Bounded) Admit(q notch.QueueLoad) (bool, notch.RefusalReason) {
	if q.Length >= q.Limit {
		return false, notch.RefusedQueueFull
	}
	return true, ""
}

// ByDeadline admits what can be served at the present rate within a share of its
// deadline. The rest of the deadline is for the request itself and for errors of
// the estimate; a longer queue would make all wait without serving more.
type ByDeadline struct{ Share float64 }

// DefaultByDeadline keeps the slots busy through a dip of the demand.
var DefaultByDeadline = ByDeadline{Share: 0.2}

// Admit implements [notch.Admitter].
func (a ByDeadline) Admit(q notch.QueueLoad) (bool, notch.RefusalReason) {
	if q.Length >= q.Limit {
		return false, notch.RefusedQueueFull
	}
	if q.Slots == 0 {
		return true, "" // a grant may be under way
	}
	wait := time.Duration(q.Ahead+1) * q.Service / time.Duration(q.Slots)
	if wait > time.Duration(a.Share*float64(q.Deadline)) || wait+q.Service > q.Deadline {
		return false, notch.RefusedShed
	}
	return true, ""
}

// Order returns the named order.
func Order(name string) (notch.QueueOrder, bool) {
	o, ok := orders[name]
	return o, ok
}

// Names lists the orders, the default first.
func Names() []string { return []string{"short-first", "fifo"} }

var orders = map[string]notch.QueueOrder{"short-first": DefaultShortFirst, "fifo": FIFO{}}
