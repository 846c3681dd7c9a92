package engine

import (
	"cmp"
	"errors"
	"math"
	"syscall"
	"testing"

	notch "tamaracknotch"
)

// Guards against a replica that acknowledges entries of a new leader before they are synced: the
// sync of the entries that they replaced was reported under the new term.
func TestPersistedHasTermOfEntry(t *testing.T) {
	records := []notch.Persist{
		{Write: 1, Hard: notch.HardState{Term: 1}, Entries: []notch.LogEntry{{Index: 2, Term: 1}}},
		{Write: 2, Hard: notch.HardState{Term: 2}},
	}
	var got notch.Body
	acknowledge(records, func(b notch.Body) { got = b }, func(notch.Send) {})
	if want := (notch.Persisted{Write: 1, Term: 1, Index: 2}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// fullJournal is a journal whose first writes fail.
type fullJournal struct {
	notch.Journal
	err      error // nil: "no space left"
	failures int
	appends  [][]notch.Persist // those that succeeded
}

func (j *fullJournal) Append(records []notch.Persist) error {
	if j.failures > 0 {
		j.failures--
		return cmp.Or(j.err, errNoSpace)
	}
	j.appends = append(j.appends, records)
	return nil
}

var errNoSpace = errors.New("no space left")

// Guards against a replica that counts its journal as failing because the process has no descriptor
// left for a moment.
func TestLackOfDescriptorsIsNoFailingJournal(t *testing.T) {
	posted := make(chan notch.Body, 10)
	w := newJournaler(&fullJournal{err: syscall.EMFILE, failures: 2}, &fixedClock{}, func(b notch.Body) { posted <- b }, func(notch.Send) {})
	w.put(notch.Persist{Write: 1, Entries: []notch.LogEntry{{Index: 2, Term: 1}}})
	for _, want := range []notch.Body{
		notch.JournalFailing{Reason: "too many open files", Waiting: 1, Exhausted: true}, notch.JournalRecovered{}, notch.Persisted{Write: 1, Term: 1, Index: 2},
	} {
		if got := <-posted; got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	w.close()
}

// Guards against a journaler that ends with the first write that fails.
func TestFailedWriteIsRepeated(t *testing.T) {
	j := &fullJournal{failures: 2}
	posted := make(chan notch.Body, 10)
	w := newJournaler(j, &fixedClock{}, func(b notch.Body) { posted <- b }, func(notch.Send) {})
	w.put(notch.Persist{Write: 1, Entries: []notch.LogEntry{{Index: 2, Term: 1}}})
	for _, want := range []notch.Body{
		notch.JournalFailing{Reason: "no space left", Waiting: 1}, notch.JournalRecovered{}, notch.Persisted{Write: 1, Term: 1, Index: 2},
	} {
		if got := <-posted; got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	w.close()
	if got, want := len(j.appends), 1; got != want {
		t.Errorf("got %d appends, want %d", got, want)
	}
}

// Guards against a process that can't be stopped while its disk is full.
func TestJournalerClosesWhileWritesFail(t *testing.T) {
	posted := make(chan notch.Body, 10)
	w := newJournaler(&fullJournal{failures: math.MaxInt}, &fixedClock{}, func(b notch.Body) { posted <- b }, func(notch.Send) {})
	w.put(notch.Persist{})
	<-posted
	w.close()
}
