package flow

import (
	"fmt"
	"strings"
	"time"

	notch "tamaracknotch"
)

// waitClasses is how many priorities startWaits and outcomes tell apart; the last one includes all after it.
const waitClasses = 4

// startWaits tells how long starts have waited since the last log message about them, by priority. With it, the
// log tells whether the plans, the queue or the answers keep urgent starts waiting.
type startWaits [waitClasses]struct {
	begun, followed, sent, answered int

	toPlan    time.Duration // of the begun workflows, from their acceptance to the plan of their first start
	toFollow  time.Duration // of the later stages, from the end of the ones before to the plan of their first start
	toSend    time.Duration // from the plan to the sending
	toAnswer  time.Duration // from the sending to the answer's event
	inMailbox time.Duration // of toAnswer, the part in which the answer waited for the control loop
}

// priorityClass returns the index of a priority.
func priorityClass(priority int) int { return min(max(priority, 0), waitClasses-1) }

// withBegun returns w after the first start of a workflow was sent, which was accepted and planned at the given times.
func (w startWaits) withBegun(priority int, accepted, planned notch.Time) startWaits {
	c := &w[priorityClass(priority)]
	c.begun++
	c.toPlan += planned.Sub(accepted)
	return w
}

// withFollowed returns w after the first start of a later stage was sent, which could start and was planned at the given times.
func (w startWaits) withFollowed(priority int, ready, planned notch.Time) startWaits {
	c := &w[priorityClass(priority)]
	c.followed++
	c.toFollow += planned.Sub(ready)
	return w
}

// withSent returns w after a start was sent that was planned at the given time.
func (w startWaits) withSent(priority int, planned, now notch.Time) startWaits {
	c := &w[priorityClass(priority)]
	c.sent++
	c.toSend += now.Sub(planned)
	return w
}

// withAnswered returns w after the answer to a start that was sent and received at the given times.
func (w startWaits) withAnswered(priority int, sent, received, now notch.Time) startWaits {
	c := &w[priorityClass(priority)]
	c.answered++
	c.toAnswer += now.Sub(sent)
	c.inMailbox += now.Sub(received)
	return w
}

// String lists the means by priority.
func (w startWaits) String() string {
	mean := func(d time.Duration, n int) time.Duration {
		return (d / time.Duration(max(n, 1))).Round(time.Millisecond)
	}
	var out []string
	for priority, c := range w {
		if c.sent > 0 {
			out = append(out, fmt.Sprintf("%d: %d begun after %v, %d later stages after %v, %d sent after %v, answered after %v, of which %v in the mailbox", priority,
				c.begun, mean(c.toPlan, c.begun), c.followed, mean(c.toFollow, c.followed), c.sent, mean(c.toSend, c.sent), mean(c.toAnswer, c.answered), mean(c.inMailbox, c.answered)))
		}
	}
	return strings.Join(out, "; ")
}
