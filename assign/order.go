// Package assign holds the decisions about tasks of flows: which starts first, and
// on which agent.
package assign

import notch "tamaracknotch"

// BySlack starts tasks that last first, then those of the more pressing routes, and
// of these the ones whose jobs have the least time to spare.
type BySlack struct{}

// The bits of a rank, most significant first: whether the task lasts, the priority
// of its route, the slack in ms.
const (
	slackBits    = 40
	priorityBits = 8
)

// Rank implements [notch.FlowOrder].
func (BySlack) Rank(t notch.ReadyTask, now notch.Time) int64 {
	const most = int64(1)<<slackBits - 1
	slack := t.Due.Add(-t.Remaining).Sub(now).Milliseconds() + most/2
	rank := min(max(slack, 0), most)
	rank += int64(min(max(t.Priority, 0), 1<<priorityBits-1)) << slackBits
	if !t.Lasts {
		rank += 1 << (slackBits + priorityBits)
	}
	return rank
}

// FIFO starts tasks in the order in which their jobs were accepted.
type FIFO struct{}

// Rank implements [notch.FlowOrder].
func (FIFO) Rank(t notch.ReadyTask, _ notch.Time) int64 { return int64(t.Accepted) }
