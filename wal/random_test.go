package wal

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	notch "tamaracknotch"
)

var (
	seeds     = flag.Int("seeds", 30, "number of seeded runs of each randomized test")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first run")
)

// logModel is what a journal has to return: the latest snapshot and the entries after it.
type logModel struct {
	term, snapshot uint64
	entries        []notch.LogEntry
}

func (m logModel) last() uint64 { return m.snapshot + uint64(len(m.entries)) }

// withEntries returns m with the entries from the first one's index on replaced.
func (m logModel) withEntries(term uint64, es []notch.LogEntry) logModel {
	m.term = term
	m.entries = slices.Concat(m.entries[:es[0].Index-1-m.snapshot], es)
	return m
}

// withSnapshot returns m without the entries up to index.
func (m logModel) withSnapshot(index uint64) logModel {
	m.entries = slices.Clone(m.entries[min(index-m.snapshot, uint64(len(m.entries))):])
	m.snapshot = index
	return m
}

func (m logModel) String() string {
	s := fmt.Sprintf("term %d, snapshot %d, entries", m.term, m.snapshot)
	for _, e := range m.entries {
		s += fmt.Sprintf(" %d@%d", e.Index, e.Term)
	}
	return s
}

// randomJournal applies random calls to a journal whose disk fails at random.
type randomJournal struct {
	rand    *rand.Rand
	disk    *disk
	journal *Journal
	model   logModel // what is acknowledged
	// What the journal may also return until a write succeeds: it has reported entries as unsynced.
	orElse []logModel
}

// nextCall draws a call. It returns the call and the model after it.
func (r *randomJournal) nextCall() (call func() error, after logModel) {
	m := r.model
	if r.rand.IntN(4) > 0 {
		first := m.last() + 1
		if r.rand.IntN(4) == 0 {
			first -= r.rand.Uint64N(uint64(len(m.entries)) + 1)
			m.term++
		}
		es := entries(int(m.term), int(first), 1+r.rand.IntN(20))
		records := []notch.Persist{{Hard: notch.HardState{Term: m.term}, Entries: es}}
		return func() error { return r.journal.Append(records) }, m.withEntries(m.term, es)
	}
	index := m.snapshot + r.rand.Uint64N(uint64(len(m.entries))+1)
	replace := index == 0 || r.rand.IntN(3) == 0
	if replace {
		index = m.last() + 1 + r.rand.Uint64N(10)
	}
	save := notch.SaveSnapshot{
		Snapshot: notch.Snapshot{Index: index, Term: m.term, Images: []notch.PartSnapshot{notch.ClaimsSnapshot{}}},
		KeepFrom: index - r.rand.Uint64N(min(index, 10)), Replace: replace,
	}
	return func() error { return r.journal.SaveSnapshot(save) }, m.withSnapshot(index)
}

// failSometimes lets each operation fail with a probability that is drawn anew, or none.
func (r *randomJournal) failSometimes() {
	r.disk.fails = failNever
	if p := r.rand.IntN(4); p > 0 {
		r.disk.fails = func(operation) bool { return r.rand.IntN(4) < p }
	}
}

// crash reads the journal again, after a loss of power or only of the process, while the disk may
// be failing. What it returns has to match one of the models.
func (r *randomJournal) crash(t *testing.T, allowed ...logModel) {
	allowed = append(allowed, r.orElse...)
	if r.rand.IntN(2) == 0 {
		r.disk.crash(r.rand.IntN(300), func() bool { return r.rand.IntN(2) == 0 })
	}
	recovered, err := r.load()
	for errors.Is(err, errDisk) {
		recovered, err = r.load()
	}
	if err != nil {
		t.Fatalf("load: %v; want one of %v", err, allowed)
	}
	got := logModel{term: recovered.Hard.Term, entries: recovered.Entries}
	if recovered.Snapshot != nil {
		got.snapshot = recovered.Snapshot.Index
	}
	if !slices.ContainsFunc(allowed, func(m logModel) bool { return m.String() == got.String() }) {
		t.Fatalf("got %v, want one of %v", got, allowed)
	}
	r.model, r.orElse = got, nil
	if recovered.Unsynced > 0 {
		r.orElse = allowed
	}
}

// load reads the journal in a new process.
func (r *randomJournal) load() (notch.Recovered, error) {
	r.failSometimes()
	r.journal = New(r.disk)
	return r.journal.Load()
}

// addSnapshot adds to what the journal may also return the same with a snapshot, which is saved before
// the entries are written again.
func (r *randomJournal) addSnapshot(index uint64) {
	for _, m := range r.orElse {
		if m.snapshot < index {
			r.orElse = append(r.orElse, m.withSnapshot(index))
		}
	}
}

// run applies a call until it succeeds or a crash interrupts it.
func (r *randomJournal) run(t *testing.T) {
	call, after := r.nextCall()
	if after.snapshot > r.model.snapshot {
		r.addSnapshot(after.snapshot)
	}
	for {
		r.failSometimes()
		if call() == nil {
			r.model, r.orElse = after, nil
			return
		}
		if r.rand.IntN(4) == 0 {
			r.crash(t, r.model, after)
			return
		}
	}
}

// Guards against a journal that loses or damages what it acknowledged, when writes fail at any place
// and are repeated, and the process or the power is lost meanwhile.
func TestRandomFailures(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := &randomJournal{rand: rand.New(rand.NewPCG(seed, 0)), disk: newDisk()}
			r.journal = New(r.disk)
			if _, err := r.journal.Load(); err != nil {
				t.Fatal(err)
			}
			for range 100 {
				r.run(t)
				if r.rand.IntN(10) == 0 {
					r.crash(t, r.model)
				}
			}
			r.crash(t, r.model)
		})
	}
}
