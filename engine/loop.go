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
// block.
func newLoop(state notch.State, clock notch.Clock, seed uint64, tick time.Duration, execute func(notch.Effect)) *loop {
	l := &loop{events: newMailbox[notch.Body](), inspections: newMailbox[func(notch.State)](), done: make(chan struct{})}
	reduce := func(b notch.Body) {
		seed = notch.HashSeed(seed)
		var effects []notch.Effect
		state, effects = notch.Step(state, notch.Event{At: clock.Now(), UnixMilli: clock.UnixMilli(), Seed: seed, Body: b})
		for _, f := range effects {
			execute(f)
		}
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
				pending, _ := l.inspections.take()
				for _, inspect := range pending {
					inspect(state)
				}
				continue
			case <-l.events.ready:
			}
			batch, closed := l.events.take()
			for _, b := range batch {
				reduce(b)
			}
			reduce(notch.Flush{})
			if closed {
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
