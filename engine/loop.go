package engine

import (
	"time"

	notch "tamaracknotch"
)

// loop is a goroutine that owns one state. It blocks until an event or a tick
// comes; the events that have come meanwhile form a batch, ended by a Flush.
type loop struct {
	box   *mailbox[notch.Body]
	looks *mailbox[func(notch.State)]
	done  chan struct{}
}

// newLoop starts the goroutine. Effects are given to run, which must not block.
func newLoop(state notch.State, clock notch.Clock, seed uint64, tick time.Duration, run func(notch.Effect)) *loop {
	l := &loop{box: newMailbox[notch.Body](), looks: newMailbox[func(notch.State)](), done: make(chan struct{})}
	step := func(b notch.Body) {
		seed = notch.Mix(seed)
		var effects []notch.Effect
		state, effects = notch.Step(state, notch.Event{At: clock.Now(), Wall: clock.Wall(), Seed: seed, Body: b})
		for _, f := range effects {
			run(f)
		}
	}
	go func() {
		defer close(l.done)
		ticker := time.NewTicker(tick)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				step(notch.Tick{})
			case <-l.looks.ready:
				looks, _ := l.looks.take()
				for _, look := range looks {
					look(state)
				}
				continue
			case <-l.box.ready:
			}
			batch, closed := l.box.take()
			for _, b := range batch {
				step(b)
			}
			step(notch.Flush{})
			if closed {
				return
			}
		}
	}()
	return l
}

func (l *loop) post(b notch.Body) { l.box.put(b) }

// look calls f with the present state on the loop's goroutine and waits for it.
// It reports whether the loop still ran.
func (l *loop) look(f func(notch.State)) bool {
	done := make(chan struct{})
	l.looks.put(func(s notch.State) {
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
	l.box.close()
	<-l.done
}
