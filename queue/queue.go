// Package queue implements the order of the requests that wait at an entry, and the
// decision whether a request may wait or is refused.
package queue

import (
	"time"

	notch "tamaracknotch"
)

// FIFO serves requests in the order of arrival. It is the baseline for comparisons.
type FIFO struct{}

// Rank implements [notch.QueueOrder].
func (FIFO) Rank(r notch.QueuedRequest) int64 { return int64(r.Arrived) }

// ShortFirst ranks requests by their arrival time plus a delay, which grows with the
// expected service time and with the class. As the delay is finite, no request starves.
type ShortFirst struct {
	DelayFactor int                                 // delay per unit of expected service time
	ClassDelay  [notch.BestEffort + 1]time.Duration // delay by class
}

// DefaultShortFirst suits service times from 1 ms to 1 s.
var DefaultShortFirst = ShortFirst{
	DelayFactor: 5,
	ClassDelay:  [...]time.Duration{0, 200 * time.Millisecond, 2 * time.Second},
}

// Rank implements [notch.QueueOrder].
func (q ShortFirst) Rank(r notch.QueuedRequest) int64 {
	delay := time.Duration(q.DelayFactor)*r.Expected + q.ClassDelay[min(r.Class, notch.BestEffort)]
	return int64(r.Arrived.Add(delay))
}

// BoundedAdmitter admits requests until the queue has reached its limit. It is the baseline for
// comparisons.
type BoundedAdmitter struct{}

// Admit implements [notch.Admitter].
func (BoundedAdmitter) Admit(q notch.QueueLoad) (bool, notch.RefusalReason) {
	if q.Length >= q.Limit {
		return false, notch.RefusedQueueFull
	}
	return true, ""
}

// DeadlineAdmitter admits a request if its expected wait, at the current service rate, is at
// most the given share of the time until its deadline. The rest of that time is for the
// request itself and for errors of the estimate. A longer queue would make all requests
// wait longer without serving more of them.
type DeadlineAdmitter struct{ MaxWaitShare float64 }

// DefaultDeadlineAdmitter lets enough requests wait to keep the slots busy during a short drop
// in demand.
var DefaultDeadlineAdmitter = DeadlineAdmitter{MaxWaitShare: 0.2}

// Admit implements [notch.Admitter].
func (a DeadlineAdmitter) Admit(q notch.QueueLoad) (bool, notch.RefusalReason) {
	if q.Length >= q.Limit {
		return false, notch.RefusedQueueFull
	}
	if q.Slots == 0 {
		return true, "" // slots may be granted soon
	}
	wait := time.Duration(q.Ahead+1) * q.MeanLatency / time.Duration(q.Slots)
	if wait > time.Duration(a.MaxWaitShare*float64(q.Deadline)) || wait+q.MeanLatency > q.Deadline {
		return false, notch.RefusedShed
	}
	return true, ""
}

// NewOrder returns the queue order with the given name.
func NewOrder(name string) (notch.QueueOrder, bool) {
	o, ok := ordersByName[name]
	return o, ok
}

// Names lists the names that NewOrder accepts, the default first.
func Names() []string { return []string{"short-first", "fifo"} }

var ordersByName = map[string]notch.QueueOrder{"short-first": DefaultShortFirst, "fifo": FIFO{}}
