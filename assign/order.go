// Package assign decides which tasks of workflows start first and on which agent.
package assign

import notch "tamaracknotch"

// BySlack starts interrupted tasks first, as callers miss what ran before more than what hasn't
// started yet. The other long-running tasks follow, then the rest. Within each of these classes, it
// starts those of the routes with the lower priority number first, and among those of equal priority
// those with the least slack. Tasks that aren't long-running start first if their workflows can still
// meet their objective, then those whose workflows can still end in time to count as late, then the
// rest: with more work than capacity, workflows that have already missed their objective must not
// delay the others. A long-running task is of use whenever it starts.
type BySlack struct{}

// The fields of a rank, most significant first: the class of the task, the priority of its route,
// the lateness of its workflow, the slack in ms.
const (
	slackBits    = 40
	latenessBits = 2
	priorityBits = 8
)

// lateFactor is the multiple of its objective that a workflow may take and still count as late.
const lateFactor = 3

// Rank implements [notch.WorkflowTaskOrder].
func (BySlack) Rank(t notch.ReadyTask, now notch.Time) int64 {
	const maxSlack = int64(1)<<slackBits - 1
	slack := t.Due.Add(-t.Remaining).Sub(now)
	lateness := int64(0)
	if slack < 0 && !t.LongRunning {
		lateness, slack = 1, slack+(lateFactor-1)*t.Due.Sub(t.Accepted)
		if slack < 0 {
			lateness = 2
		}
	}
	rank := min(max(slack.Milliseconds()+maxSlack/2, 0), maxSlack)
	rank += lateness << slackBits
	rank += int64(min(max(t.Priority, 0), 1<<priorityBits-1)) << (slackBits + latenessBits)
	return rank + class(t)<<(slackBits+latenessBits+priorityBits)
}

// class returns the most significant field of a rank.
func class(t notch.ReadyTask) int64 {
	switch {
	case t.Interrupted:
		return 0
	case t.LongRunning:
		return 1
	}
	return 2
}

// FIFO starts tasks in the order in which their workflows were accepted.
type FIFO struct{}

// Rank implements [notch.WorkflowTaskOrder].
func (FIFO) Rank(t notch.ReadyTask, _ notch.Time) int64 { return int64(t.Accepted) }
