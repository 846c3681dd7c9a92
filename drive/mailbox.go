package drive

import (
	"time"

	notch "tamaracknotch"
)

// StepTimeFunc returns how long the control loop of a daemon takes for a step, given the event and
// the effects of the step.
type StepTimeFunc func(n *Node, b notch.Body, effects []notch.Effect) time.Duration

// maxUnflushed is how many events are reduced without a flush, as in the engine.
const maxUnflushed = 100

// mailbox holds the events that wait while the control loop of a daemon is busy. It orders
// them as the loop of the engine does.
type mailbox struct {
	urgent    []notch.Body // of high priority
	normal    []notch.Body
	tickDue   bool
	batchLeft int  // number of normal events left until a flush
	flushDue  bool // an event was taken since the last flush
	busy      bool // a step is under way
}

func (m *mailbox) put(b notch.Body) {
	if _, ok := b.(notch.Tick); ok {
		m.tickDue = true
		return
	}
	if notch.PriorityOf(b) == notch.HighPriority {
		m.urgent = append(m.urgent, b)
		return
	}
	m.normal = append(m.normal, b)
}

// take removes and returns the next event, or false if there is none.
func (m *mailbox) take() (notch.Body, bool) {
	switch {
	case len(m.urgent) > 0:
		b := m.urgent[0]
		m.urgent, m.flushDue = m.urgent[1:], true
		return b, true
	case m.tickDue:
		m.tickDue, m.flushDue = false, true
		return notch.Tick{}, true
	case m.batchLeft == 0 && m.flushDue:
		m.batchLeft, m.flushDue = min(len(m.normal), maxUnflushed), false
		return notch.Flush{}, true
	case len(m.normal) > 0:
		b := m.normal[0]
		m.normal, m.flushDue = m.normal[1:], true
		m.batchLeft = max(m.batchLeft-1, 0)
		return b, true
	}
	return nil, false
}

// reduceNext reduces the next event in the mailbox of a daemon. The effects follow when the
// time of the step has passed, and then the next event.
func (sim *Simulator) reduceNext(n *Node) {
	b, ok := n.mailbox.take()
	n.mailbox.busy = ok
	if !ok {
		return
	}
	effects := sim.step(n, b)
	sim.afterUnlessKilled(n, sim.StepTime(n, b, effects), func() {
		for _, f := range effects {
			sim.runEffect(n, f)
		}
		sim.reduceNext(n)
	})
}

// ConstantStepTime returns a StepTime by which every step takes d.
func ConstantStepTime(d time.Duration) StepTimeFunc {
	return func(*Node, notch.Body, []notch.Effect) time.Duration { return d }
}
