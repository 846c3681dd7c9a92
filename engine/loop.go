package engine

import (
	"time"

	notch "tamaracknotch"
)

// loop is a goroutine that owns one state. It blocks until an event or a tick
// arrives. It then reduces the queued events as one batch and ends the batch with a
// Flush.
type loop struct {
	events      *mailbox[notch.Body]
	inspections *mailbox[func(notch.State)]
	done        chan struct{}
}

// newLoop starts the goroutine. It passes each effect to execute, which must not
// block. The meter is nil if the loop isn't measured.
func newLoop(state notch.State, clock notch.Clock, seed uint64, tick time.Duration, meter *loopMeter, execute func(notch.Effect)) *loop {
	l := &loop{events: newMailbox[notch.Body](clock), inspections: newMailbox[func(notch.State)](clock), done: make(chan struct{})}
	reduce := func(b notch.Body) {
		seed = notch.HashSeed(seed)
		now := clock.Now()
		meter.beginEvent(now, b)
		var effects []notch.Effect
		state, effects = notch.Step(state, notch.Event{At: now, UnixMilli: clock.UnixMilli(), Seed: seed, Body: b})
		for _, f := range effects {
			execute(f)
		}
	}
	reduceQueued := func() (closed bool) {
		b := l.events.take()
		meter.beginBatch(clock.Now(), len(b.items), b.oldestAt)
		for _, body := range b.items {
			reduce(body)
		}
		reduce(notch.Flush{})
		meter.endBatch(clock.Now())
		return b.closed
	}
	go func() {
		defer close(l.done)
		ticker := time.NewTicker(tick)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				reduce(notch.Tick{})
			case <-l.inspections.ready:
				for _, inspect := range l.inspections.take().items {
					inspect(state)
				}
				continue
			case <-l.events.ready:
			}
			if reduceQueued() {
				return
			}
		}
	}()
	return l
}

func (l *loop) post(b notch.Body) { l.events.put(b) }

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

func (l *loop) close() {
	l.events.close()
	<-l.done
}
