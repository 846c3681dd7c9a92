package consensus

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	notch "tamaracknotch"
)

// TestLogDifferential compares the log with a slice.
func TestLogDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLog()
		naive := []notch.Entry{{}} // position 0 stands for the empty log
		base := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				if len(naive)-1 > base {
					i := rapid.IntRange(base+1, len(naive)-1).Draw(t, "suffix")
					l = l.withoutSuffix(uint64(i))
					naive = naive[:i]
				}
			case 1:
				i := rapid.IntRange(base, len(naive)-1).Draw(t, "prefix")
				l = l.withoutPrefix(uint64(i))
				base = max(base, i)
			default:
				e := notch.Entry{Index: uint64(len(naive)), Term: uint64(rapid.IntRange(1, 9).Draw(t, "term"))}
				l = l.withEntry(e)
				naive = append(slices.Clip(naive), e)
			}
		}
		if got, want := l.lastIndex(), uint64(len(naive)-1); got != want {
			t.Fatalf("last index: got %d, want %d", got, want)
		}
		for i := base; i < len(naive); i++ {
			if got, want := l.term(uint64(i)), naive[i].Term; got != want {
				t.Fatalf("term of %d: got %d, want %d", i, got, want)
			}
		}
		got := l.slice(uint64(base+1), 7)
		want := naive[base+1 : min(base+8, len(naive))]
		if !slices.EqualFunc(got, want, func(a, b notch.Entry) bool { return a.Index == b.Index && a.Term == b.Term }) {
			t.Fatalf("slice: got %v, want %v", got, want)
		}
	})
}
