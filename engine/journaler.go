package engine

import (
	"slices"

	notch "tamaracknotch"
)

// journaler is the goroutine that writes to the journal. Records that arrive during
// a sync are written together by the next sync.
type journaler struct {
	effects *mailbox[notch.Effect]
	done    chan struct{}
}

func newJournaler(j notch.Journal, clock notch.Clock, post func(notch.Body), send func(notch.Send)) *journaler {
	w := &journaler{effects: newMailbox[notch.Effect](clock), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for range w.effects.ready {
			b := w.effects.take()
			if err := syncBatch(j, b.items, post, send); err != nil {
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

func (w *journaler) close() {
	w.effects.close()
	<-w.done
}

// syncBatch syncs consecutive records together and each snapshot by itself, in
// order.
func syncBatch(j notch.Journal, batch []notch.Effect, post func(notch.Body), send func(notch.Send)) error {
	var records []notch.Persist
	flush := func() error {
		if len(records) == 0 {
			return nil
		}
		if err := j.Append(records); err != nil {
			return err
		}
		acknowledge(records, post, send)
		records = nil
		return nil
	}
	for _, f := range batch {
		switch f := f.(type) {
		case notch.Persist:
			records = append(records, f)
		case notch.SetCluster:
			if err := j.SetCluster(f.Cluster); err != nil {
				return err
			}
		case notch.SaveSnapshot:
			if err := flush(); err != nil {
				return err
			}
			if err := j.SaveSnapshot(f); err != nil {
				return err
			}
			sendAll(f.Then, send)
			post(notch.SnapshotSaved{Index: f.Snapshot.Index})
		}
	}
	return flush()
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
			post(notch.Persisted{Term: last.Term, Index: last.Index})
			return
		}
	}
}

func sendAll(sends []notch.Send, send func(notch.Send)) {
	for _, s := range sends {
		send(s)
	}
}
