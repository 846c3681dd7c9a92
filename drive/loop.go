package drive

import (
	"time"

	notch "tamaracknotch"
)

// StepTimeFunc returns how long a step of a node's control state took, given the event and the
// effects of the step.
type StepTimeFunc func(n *Node, b notch.Body, effects []notch.Effect) time.Duration

// controlLoop holds the events that wait for a node whose steps take time. Like the engine's
// loop, it takes all queued events as one batch and ends the batch with a Flush, and at most one
// tick is pending.
type controlLoop struct {
	queued []notch.Body
	batch  []notch.Body // the rest of the batch in progress
	ticked bool         // a tick is pending
	busy   bool         // a step is in progress
}

// enqueue adds an event to the loop of a node, and starts the loop if it is idle.
func (sim *Simulator) enqueue(n *Node, b notch.Body) {
	if _, ok := b.(notch.Tick); ok {
		n.loop.ticked = true
	} else {
		n.loop.queued = append(n.loop.queued, b)
	}
	if !n.loop.busy {
		sim.stepNext(n)
	}
}

// stepNext takes the next event of a node's loop. The effects follow when the step has taken its
// time, and then the next event.
func (sim *Simulator) stepNext(n *Node) {
	l := &n.loop
	if len(l.batch) == 0 {
		l.batch = sim.takeBatch(l)
	}
	if l.busy = len(l.batch) > 0; !l.busy {
		return
	}
	body := l.batch[0]
	l.batch = l.batch[1:]
	effects := sim.step(n, body)
	sim.afterUnlessKilled(n, sim.StepTime(n, body, effects), func() {
		for _, f := range effects {
			sim.runEffect(n, f)
		}
		sim.stepNext(n)
	})
}

// takeBatch returns the next batch of a loop, or nil if nothing waits. Either a pending tick or
// the queued events are taken first, like the ready cases of a select statement.
func (sim *Simulator) takeBatch(l *controlLoop) []notch.Body {
	if !l.ticked && len(l.queued) == 0 {
		return nil
	}
	var out []notch.Body
	if l.ticked && (len(l.queued) == 0 || sim.Rand.IntN(2) == 0) {
		l.ticked = false
		out = append(out, notch.Tick{})
	}
	out = append(append(out, l.queued...), notch.Flush{})
	l.queued = nil
	return out
}
