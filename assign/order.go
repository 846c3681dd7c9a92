// Package assign holds the decisions about tasks of flows: which starts first, and
// on which agent.
package assign

import notch "tamaracknotch"

// BySlack starts tasks that last first, then those of the more pressing routes. Of these
// it takes the ones whose jobs can still meet their objectives, by the least time to
// spare, then those that can still end in time to count as late, then the rest: where
// there is more work than room, what is late already mustn't make the others late.
type BySlack struct{}

// The bits of a rank, most significant first: whether the task lasts, the priority
// of its route, how much hope there is, the slack in ms.
const (
	slackBits    = 40
	hopeBits     = 2
	priorityBits = 8
)

// lateFactor is how many times its objective a job may take and still count as late.
const lateFactor = 3

// Rank implements [notch.FlowOrder].
func (BySlack) Rank(t notch.ReadyTask, now notch.Time) int64 {
	const most = int64(1)<<slackBits - 1
	slack := t.Due.Add(-t.Remaining).Sub(now)
	hope := int64(0)
	if slack < 0 {
		hope, slack = 1, slack+(lateFactor-1)*t.Due.Sub(t.Accepted)
		if slack < 0 {
			hope = 2
		}
	}
	rank := min(max(slack.Milliseconds()+most/2, 0), most)
	rank += hope << slackBits
	rank += int64(min(max(t.Priority, 0), 1<<priorityBits-1)) << (slackBits + hopeBits)
	if !t.Lasts {
		rank += 1 << (slackBits + hopeBits + priorityBits)
	}
	return rank
}

// FIFO starts tasks in the order in which their jobs were accepted.
type FIFO struct{}

// Rank implements [notch.FlowOrder].
func (FIFO) Rank(t notch.ReadyTask, _ notch.Time) int64 { return int64(t.Accepted) }
