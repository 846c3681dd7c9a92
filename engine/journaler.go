package engine

import (
	notch "tamaracknotch"
)

// journaler is the goroutine that syncs. What waits while a sync is under way is
// synced together by the next.
type journaler struct {
	box  *mailbox[notch.Effect]
	done chan struct{}
}

func newJournaler(j notch.Journal, post func(notch.Body), send func(notch.Send)) *journaler {
	w := &journaler{box: newMailbox[notch.Effect](), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for range w.box.ready {
			batch, closed := w.box.take()
			if err := syncBatch(j, batch, post, send); err != nil {
				post(notch.PersistFailed{Reason: err.Error()})
				return
			}
			if closed {
				return
			}
		}
	}()
	return w
}

func (w *journaler) put(f notch.Effect) { w.box.put(f) }

func (w *journaler) close() {
	w.box.close()
	<-w.done
}

// syncBatch syncs runs of records at once, and snapshots one by one between them.
func syncBatch(j notch.Journal, batch []notch.Effect, post func(notch.Body), send func(notch.Send)) error {
	var run []notch.Persist
	flush := func() error {
		if len(run) == 0 {
			return nil
		}
		if err := j.Append(run); err != nil {
			return err
		}
		acknowledge(run, post, send)
		run = nil
		return nil
	}
	for _, f := range batch {
		switch f := f.(type) {
		case notch.Persist:
			run = append(run, f)
		case notch.AdoptCluster:
			if err := j.Adopt(f.Cluster); err != nil {
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

func acknowledge(run []notch.Persist, post func(notch.Body), send func(notch.Send)) {
	for _, r := range run {
		sendAll(r.Then, send)
	}
	last := run[len(run)-1]
	p := notch.Persisted{Term: last.Hard.Term}
	for _, r := range run {
		if n := len(r.Entries); n > 0 {
			p.Index = r.Entries[n-1].Index
		}
	}
	post(p)
}

func sendAll(sends []notch.Send, send func(notch.Send)) {
	for _, s := range sends {
		send(s)
	}
}
