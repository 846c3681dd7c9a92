package consensus

import (
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	notch "tamaracknotch"
)

// TestLogDifferential applies the same random operations to a log and to a slice, and
// compares the results.
func TestLogDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLog()
		model := []notch.LogEntry{{}} // index 0 stands for the empty log
		base := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				if len(model)-1 > base {
					i := rapid.IntRange(base+1, len(model)-1).Draw(t, "suffix")
					l = l.withoutSuffix(uint64(i))
					model = model[:i]
				}
			case 1:
				i := rapid.IntRange(base, len(model)-1).Draw(t, "prefix")
				l = l.withoutPrefix(uint64(i))
				base = max(base, i)
			default:
				e := notch.LogEntry{Index: uint64(len(model)), Term: uint64(rapid.IntRange(1, 9).Draw(t, "term"))}
				l = l.withEntry(e)
				model = append(slices.Clip(model), e)
			}
		}
		if got, want := l.lastIndex(), uint64(len(model)-1); got != want {
			t.Fatalf("last index: got %d, want %d", got, want)
		}
		for i := base; i < len(model); i++ {
			if got, want := l.term(uint64(i)), model[i].Term; got != want {
				t.Fatalf("term of %d: got %d, want %d", i, got, want)
			}
		}
		got := l.slice(uint64(base+1), 7)
		want := model[base+1 : min(base+8, len(model))]
		if !slices.EqualFunc(got, want, func(a, b notch.LogEntry) bool { return a.Index == b.Index && a.Term == b.Term }) {
			t.Fatalf("slice: got %v, want %v", got, want)
		}
	})
}

// TestLatestRevision compares the revision that a replica reports with one counted from its log, which took tens of
// milliseconds for each query after a loss of all power.
func TestLatestRevision(t *testing.T) {
	s := stepper{Part: New(notch.Replica{Name: "a", Storage: 1})}
	r := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		switch last := s.log.lastIndex(); r.IntN(5) {
		case 0:
			s.appendEntry(notch.LogEntry{Index: last + 1, Term: 1, Command: notch.EditTable{}})
		case 1, 2:
			s.appendEntry(notch.LogEntry{Index: last + 1, Term: 1, Command: notch.Noop{}})
		case 3:
			s.appliedIndex += r.Uint64N(last - s.appliedIndex + 1)
		case 4:
			if r.IntN(4) == 0 && s.appliedIndex < last {
				s.truncateFrom(s.appliedIndex + 1 + r.Uint64N(last-s.appliedIndex))
			}
		}
		want := s.tablesRevision
		for i := s.appliedIndex + 1; i <= s.log.lastIndex(); i++ {
			if _, ok := s.log.entryAt(i).Command.(notch.EditTable); ok {
				want++
			}
		}
		if got := s.latestRevision(); got != want {
			t.Fatalf("got revision %d with %d entries of which %d are applied, want %d", got, s.log.lastIndex(), s.appliedIndex, want)
		}
	}
}
