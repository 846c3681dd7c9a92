package engine

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	notch "tamaracknotch"
	"tamaracknotch/descriptors"
)

// exhaustedLimit is how long writes may fail for lack of a descriptor before the journal counts as
// failing. The process has none left for a moment; another replica in its place soon would not either.
const exhaustedLimit = 3 * time.Second

// journalRetryInterval is the time after which a write that failed is repeated.
const journalRetryInterval = 200 * time.Millisecond

// journaler is the goroutine that writes to the journal. Records that arrive during
// a sync are written together by the next sync. A write that fails is repeated until it
// succeeds, and what arrives meanwhile waits.
type journaler struct {
	journal notch.Journal
	post    func(notch.Body)
	send    func(notch.Send)
	effects *mailbox[notch.Effect]
	closing chan struct{}
	done    chan struct{}
}

func newJournaler(j notch.Journal, clock notch.Clock, post func(notch.Body), send func(notch.Send)) *journaler {
	w := &journaler{
		journal: j, post: post, send: send,
		effects: newMailbox[notch.Effect](clock), closing: make(chan struct{}), done: make(chan struct{}),
	}
	go func() {
		defer close(w.done)
		for range w.effects.ready {
			b := w.effects.take()
			if err := w.writeAll(b.items); err != nil {
				post(notch.PersistFailed{Reason: err.Error()})
				return
			}
			if b.closed {
				return
			}
		}
	}()
	return w
}

func (w *journaler) put(f notch.Effect) { w.effects.put(f) }

// close stops the journaler after it has written the queued effects, or at once if the journal
// is failing. It is called once, by the engine that started it.
func (w *journaler) close() {
	w.effects.close()
	close(w.closing)
	<-w.done
}

// writeAll writes effects in order and acknowledges each.
func (w *journaler) writeAll(effects []notch.Effect) error {
	for len(effects) > 0 {
		next := w.nextWrite(effects)
		if err := w.repeat(next.write, len(effects)); err != nil {
			return err
		}
		next.acknowledge()
		effects = effects[next.effects:]
	}
	return nil
}

// journalWrite is one write to the journal.
type journalWrite struct {
	effects     int // number of effects that it carries out
	write       func() error
	acknowledge func()
}

// nextWrite returns the write for the first of the effects, or for all records before another kind
// of effect.
func (w *journaler) nextWrite(effects []notch.Effect) journalWrite {
	switch f := effects[0].(type) {
	case notch.SetCluster:
		return journalWrite{1, func() error { return w.journal.SetCluster(f.Cluster) }, func() {}}
	case notch.SaveSnapshot:
		return journalWrite{1, func() error { return w.journal.SaveSnapshot(f) }, func() {
			sendAll(f.Then, w.send)
			w.post(notch.SnapshotSaved{Index: f.Snapshot.Index})
		}}
	}
	records := leadingRecords(effects)
	return journalWrite{len(records), func() error { return w.journal.Append(records) }, func() { acknowledge(records, w.post, w.send) }}
}

// leadingRecords returns the records before the first effect of another kind.
func leadingRecords(effects []notch.Effect) []notch.Persist {
	var out []notch.Persist
	for _, f := range effects {
		r, ok := f.(notch.Persist)
		if !ok {
			break
		}
		out = append(out, r)
	}
	return out
}

// repeat calls write until it succeeds. It returns an error if the journal is damaged, or if the
// journaler is closed before a write succeeds.
func (w *journaler) repeat(write func() error, waiting int) error {
	err := write()
	if err == nil || errors.Is(err, notch.ErrCorrupt) {
		return err
	}
	exhausted := descriptors.Exhausted(err)
	w.post(notch.JournalFailing{Reason: err.Error(), Waiting: waiting, Exhausted: exhausted})
	for beganAt := time.Now(); err != nil && !errors.Is(err, notch.ErrCorrupt); {
		if exhausted && (!descriptors.Exhausted(err) || time.Since(beganAt) > exhaustedLimit) {
			exhausted = false
			w.post(notch.JournalFailing{Reason: err.Error(), Waiting: waiting})
		}
		select {
		case <-time.After(journalRetryInterval):
			err = write()
		case <-w.closing:
			return err
		}
	}
	if err == nil {
		w.post(notch.JournalRecovered{})
	}
	return err
}

// acknowledge sends the messages that waited for the sync of the records, and posts
// how far the log is synced.
func acknowledge(records []notch.Persist, post func(notch.Body), send func(notch.Send)) {
	for _, r := range records {
		sendAll(r.Then, send)
	}
	for _, r := range slices.Backward(records) {
		if n := len(r.Entries); n > 0 {
			last := r.Entries[n-1]
			post(notch.Persisted{Write: r.Write, Term: last.Term, Index: last.Index})
			return
		}
	}
}

func sendAll(sends []notch.Send, send func(notch.Send)) {
	for _, s := range sends {
		send(s)
	}
}
