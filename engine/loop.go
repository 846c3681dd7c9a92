package engine

import (
	"time"

	notch "tamaracknotch"
)

// loop is a goroutine that owns one state. It blocks until an event or a tick
// arrives. It then reduces the queued events as one batch, with a Flush after at most
// maxUnflushed events and at the end. Events of high priority and ticks that become due during the batch wait for
// one event of the batch at most.
type loop struct {
	state       notch.State // owned by the goroutine
	seed        uint64
	clock       notch.Clock
	meter       *loopMeter // nil: the loop isn't measured
	execute     func(notch.Effect)
	events      *mailbox[notch.Body] // of normal priority
	urgent      *mailbox[notch.Body] // of high priority
	inspections *mailbox[func(notch.State)]
	done        chan struct{}
}

// newLoop starts the goroutine. It passes each effect to execute, which must not
// block. The meter is nil if the loop isn't measured.
func newLoop(state notch.State, clock notch.Clock, seed uint64, tick time.Duration, meter *loopMeter, execute func(notch.Effect)) *loop {
	l := &loop{
		state: state, seed: seed, clock: clock, meter: meter, execute: execute,
		events: newMailbox[notch.Body](clock), urgent: newMailbox[notch.Body](clock),
		inspections: newMailbox[func(notch.State)](clock), done: make(chan struct{}),
	}
	go func() {
		defer close(l.done)
		ticker := time.NewTicker(tick)
		defer ticker.Stop()
		for closed := false; !closed; {
			select {
			case <-ticker.C:
				l.reduceUrgent()
				l.reduce(notch.Tick{})
			case <-l.inspections.ready:
				l.inspectState()
				continue
			case <-l.urgent.ready:
			case <-l.events.ready:
			}
			closed = l.reduceBatch(ticker.C)
		}
	}()
	return l
}

// maxUnflushed is how many events are reduced without a Flush. What they have collected, such as log entries
// for one sync, waits no longer than that for the events behind them.
const maxUnflushed = 100

// reduceBatch reduces the queued events, with a Flush after each part of them. It returns whether the loop was
// closed before.
func (l *loop) reduceBatch(ticks <-chan time.Time) (closed bool) {
	queued := l.events.take()
	l.meter.beginBatch(l.clock.Now(), len(queued.items), queued.oldestAt)
	l.reduceUrgent()
	for i, b := range queued.items {
		if i > 0 && i%maxUnflushed == 0 {
			l.reduce(notch.Flush{})
		}
		l.reduce(b)
		l.reduceUrgent()
		select {
		case <-ticks:
			l.reduce(notch.Tick{})
		default:
		}
	}
	l.reduce(notch.Flush{})
	l.meter.endBatch(l.clock.Now())
	return queued.closed
}

// reduceUrgent reduces the queued events of high priority.
func (l *loop) reduceUrgent() {
	for _, b := range l.urgent.take().items {
		l.reduce(b)
	}
}

func (l *loop) reduce(b notch.Body) {
	l.seed = notch.HashSeed(l.seed)
	now := l.clock.Now()
	l.meter.beginEvent(now, b)
	var effects []notch.Effect
	l.state, effects = notch.Step(l.state, notch.Event{At: now, UnixMilli: l.clock.UnixMilli(), Seed: l.seed, Body: b})
	for _, f := range effects {
		l.execute(f)
	}
}

func (l *loop) post(b notch.Body) {
	if notch.PriorityOf(b) == notch.HighPriority {
		l.urgent.put(b)
		return
	}
	l.events.put(b)
}

// inspect calls f with the current state on the loop's goroutine and waits until f
// returns. It returns false if the loop has stopped.
func (l *loop) inspect(f func(notch.State)) bool {
	done := make(chan struct{})
	l.inspections.put(func(s notch.State) {
		defer close(done)
		f(s)
	})
	select {
	case <-done:
		return true
	case <-l.done:
		return false
	}
}

func (l *loop) inspectState() {
	for _, inspect := range l.inspections.take().items {
		inspect(l.state)
	}
}

// close stops the loop after it has reduced the queued events.
func (l *loop) close() {
	l.urgent.close()
	l.events.close()
	<-l.done
}
