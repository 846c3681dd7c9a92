package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	notch "tamaracknotch"
)

// TestOverIsSafe compares the book with an agent whose clock is up to Drift slow or
// fast, and whose answers take up to 200 ms: whenever a lease counts as over, it is.
func TestOverIsSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := 1 + (rapid.Float64Range(-1, 1).Draw(t, "drift") * Drift)
		clock := func(at notch.Time) int64 { return int64(float64(at) * rate / float64(time.Millisecond)) }
		now := notch.Time(time.Second)
		b := New(0)
		most := int64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "pass")) * time.Millisecond)
			if rapid.Bool().Draw(t, "answer") {
				read := clock(now)
				now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "delay")) * time.Millisecond)
				b = b.WithClock(read, now)
			}
			if rapid.Bool().Draw(t, "grant") {
				d := b.Deadline(now, 4*time.Second)
				b = b.WithGrant(d)
				most = max(most, d)
			}
			if got, want := b.Over(now), clock(now) > most; got && !want && most > 0 {
				t.Fatalf("got over at %d, want not before %d", clock(now), most)
			}
		}
	})
}
