package flow

import (
	"time"

	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// startQueue holds the committed runs whose starts aren't sent yet: those of the routes with the lower priority
// number first, and those of equal priority in the order of their placement. An urgent start so overtakes those that
// were placed before it, and a leader always has a start to send while the next plan is made and committed. Values
// are immutable.
type startQueue struct {
	runs    *immutable.SortedMap[uint64, notch.RunRef] // by priority and then by the order of placement
	next    uint64                                     // order of the next placement
	since   notch.Time                                 // runs have been queued since then, but for moments
	emptyAt notch.Time                                 // when the last run left, if there are none
}

// orderBits is the number of low bits of a key that hold the order of placement.
const orderBits = 48

const (
	overloadedAfter = 250 * time.Millisecond // of a queue; a leader that keeps up sends a large workflow's starts in less
	emptyMoment     = 100 * time.Millisecond // without a run, in which the next plan may be made and committed
)

func newStartQueue() startQueue {
	return startQueue{runs: immutable.NewSortedMap[uint64, notch.RunRef](nil)}
}

func (q startQueue) len() int { return q.runs.Len() }

// withRun returns q with one more run.
func (q startQueue) withRun(ref notch.RunRef, priority int, now notch.Time) startQueue {
	if q.isIdle(now) {
		q.since = now
	}
	key := uint64(min(max(priority, 0), 1<<(64-orderBits)-1))<<orderBits | q.next
	q.runs = q.runs.Set(key, ref)
	q.next++
	return q
}

// withoutFirst returns q without its first run, and that run. It returns false if q is empty.
func (q startQueue) withoutFirst(now notch.Time) (startQueue, notch.RunRef, bool) {
	key, ref, ok := q.runs.Iterator().Next()
	if !ok {
		return q, notch.RunRef{}, false
	}
	q.runs, q.emptyAt = q.runs.Delete(key), now
	return q, ref, true
}

// overtakes reports whether the first run goes before others because of its priority.
func (q startQueue) overtakes() bool {
	it := q.runs.Iterator()
	first, _, ok := it.Next()
	it.Last()
	last, _, _ := it.Next()
	return ok && first>>orderBits < last>>orderBits
}

// queuedCounts is how many runs are queued, by priority.
type queuedCounts map[int]int

// counts counts the queued runs.
func (q startQueue) counts() queuedCounts {
	out := queuedCounts{}
	for it := q.runs.Iterator(); !it.Done(); {
		key, _, _ := it.Next()
		out[int(key>>orderBits)]++
	}
	return out
}

// upTo returns how many runs go before those of a priority that are queued next.
func (c queuedCounts) upTo(priority int) int {
	n := 0
	for p, count := range c {
		if p <= priority {
			n += count
		}
	}
	return n
}

// isIdle reports whether no run has been queued for longer than a moment.
func (q startQueue) isIdle(now notch.Time) bool {
	return q.len() == 0 && (q.emptyAt == 0 || now.Sub(q.emptyAt) > emptyMoment)
}

// overloaded reports whether more starts are asked for than can be sent in time.
func (q startQueue) overloaded(now notch.Time) bool {
	return !q.isIdle(now) && now.Sub(q.since) >= overloadedAfter
}
