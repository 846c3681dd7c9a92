package consensus

import (
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
