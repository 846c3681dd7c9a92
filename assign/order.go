// Package assign decides which tasks of workflows start first and on which agent.
package assign

import (
	"math"
	"time"

	notch "tamaracknotch"
)

// BySlack starts interrupted tasks first, as callers miss what ran before more than what hasn't
// started yet. Then it starts the tasks of the routes with the lower priority number first. Among those
// of equal priority it goes by what a start is worth to the callers: first the tasks of workflows that
// can still meet their objective, then of those that can still end in time to count as late, then
// long-running tasks, which are of use whenever they start but keep their processors for long, then the
// rest: with more work than capacity, workflows that have missed their objective must not delay the
// others. Among equals, the tasks with the least slack go first.
//
// While more starts are asked for than can be sent, the least slack would go to the workflows that are
// about to miss their objective: all would miss it a little. Instead, what has begun is completed first,
// as the starts spent on it are lost otherwise, and then the latest ones begin, and those of larger tasks, which do more
// work for each start. Their age counts and not the time that they have left, which grows with their length: the longest ones take
// the most starts. Those that have missed their objective wait in the order of their age.
type BySlack struct{}

// The fields of a rank, most significant first: whether the task was interrupted, the priority of its
// route, its urgency, whether its workflow has yet to begin, the slack in ms.
const (
	slackBits    = 40
	begunBits    = 1
	urgencyBits  = 2
	priorityBits = 8
)

// urgency tells what the start of a task is worth to the caller now; the lowest goes first.
type urgency int64

const (
	meetsObjective urgency = iota
	countsAsLate
	longRunning
	missedObjective
)

// Rank implements [notch.WorkflowTaskOrder].
func (BySlack) Rank(t notch.ReadyTask, now notch.Time) int64 {
	const maxSlack = int64(1)<<slackBits - 1
	u, slack := urgencyOf(t, now)
	rank := min(max(slack.Milliseconds()+maxSlack/2, 0), maxSlack)
	if t.Overloaded && !t.Begun && u == meetsObjective {
		rank = 1<<slackBits + postponedRank(now.Sub(t.Accepted)+sizeAge(t.MilliCPU), slack)
	}
	rank += int64(u) << (slackBits + begunBits)
	rank += int64(min(max(t.Priority, 0), 1<<priorityBits-1)) << (slackBits + begunBits + urgencyBits)
	if !t.Interrupted {
		rank += 1 << (slackBits + begunBits + urgencyBits + priorityBits)
	}
	return rank
}

// The fields of the rank of a task whose workflow waits for those that have begun: its age and its slack in ms.
const (
	postponedSlackBits = 18
	postponedAgeBits   = slackBits - postponedSlackBits
)

// The age by which tasks of twice the processors go before others, and the size from which on a larger one doesn't count.
const (
	ageOfDoubling = time.Second
	maxDoublings  = 8 // of one processor
)

// sizeAge returns the age that tasks of a size have beside that of their workflow, which is less for larger ones.
func sizeAge(milliCPU int64) time.Duration {
	doublings := math.Log2(float64(max(milliCPU, 1)) / 1000)
	return time.Duration((maxDoublings - min(doublings, maxDoublings)) * float64(ageOfDoubling))
}

// postponedRank ranks the tasks of workflows that haven't begun: those of less age first, and of equal age those with more slack.
func postponedRank(age, slack time.Duration) int64 {
	const maxAge, maxSlack = int64(1)<<postponedAgeBits - 1, int64(1)<<postponedSlackBits - 1
	return min(max(age.Milliseconds(), 0), maxAge)<<postponedSlackBits + maxSlack - min(max(slack.Milliseconds(), 0), maxSlack)
}

// nearlyDone is the share of a workflow's tasks up to which the few starts that are left are worth more for a late one
// than as many of a whole one that would be in time.
const nearlyDone = 0.1

// urgencyOf returns the urgency of a task and the time that is left until it gets less urgent.
func urgencyOf(t notch.ReadyTask, now notch.Time) (urgency, time.Duration) {
	slack := t.Due.Add(-t.Remaining).Sub(now)
	untilMissed := slack + (notch.LateFactor-1)*t.Due.Sub(t.Accepted)
	switch {
	case t.LongRunning:
		return longRunning, slack
	case slack >= 0:
		return meetsObjective, slack
	case untilMissed >= 0 && t.Overloaded && t.Begun && t.Left <= nearlyDone:
		return meetsObjective, 0
	case untilMissed >= 0:
		return countsAsLate, untilMissed
	}
	return missedObjective, untilMissed
}

// FIFO starts tasks in the order in which their workflows were accepted.
type FIFO struct{}

// Rank implements [notch.WorkflowTaskOrder].
func (FIFO) Rank(t notch.ReadyTask, _ notch.Time) int64 { return int64(t.Accepted) }
