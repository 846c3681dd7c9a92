package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	notch "tamaracknotch"
)

// TestExpiredIsSafe compares AgentLease with an agent whose clock runs up to MaxClockDrift
// slow or fast, and whose answers take up to 200 ms. A lease must not count as expired while
// it is valid by the agent's clock.
func TestExpiredIsSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := 1 + (rapid.Float64Range(-1, 1).Draw(t, "drift") * MaxClockDrift)
		clock := func(at notch.Time) int64 { return int64(float64(at) * rate / float64(time.Millisecond)) }
		now := notch.Time(time.Second)
		l := New(0)
		grantedUntil := int64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "elapsed")) * time.Millisecond)
			if rapid.Bool().Draw(t, "answer") {
				read := clock(now)
				now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "delay")) * time.Millisecond)
				l = l.WithClock(read, now)
			}
			if rapid.Bool().Draw(t, "grant") {
				d := l.Deadline(now, 4*time.Second)
				l = l.WithGrant(d)
				grantedUntil = max(grantedUntil, d)
			}
			if got, want := l.Expired(now), clock(now) > grantedUntil; got && !want && grantedUntil > 0 {
				t.Fatalf("got expired at %d, want not before %d", clock(now), grantedUntil)
			}
		}
	})
}

// TestDeadlineIsNoLongerThanAsked guards against leases that grow with the time since the clock of a slow agent was
// last read: a new leader, which doesn't know them, counts with the usual length (TWICE).
func TestDeadlineIsNoLongerThanAsked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := 1 + (rapid.Float64Range(-1, 1).Draw(t, "drift") * MaxClockDrift)
		clock := func(at notch.Time) int64 { return int64(float64(at) * rate / float64(time.Millisecond)) }
		now := notch.Time(time.Second)
		l := New(0).WithClock(clock(now), now)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 30_000).Draw(t, "elapsed")) * time.Millisecond)
			read := clock(now)
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "delay")) * time.Millisecond)
			l = l.WithClock(read, now)
			// Both clocks are read in whole milliseconds.
			if got, want := l.Deadline(now, 4*time.Second)-clock(now), int64(4001); got > want {
				t.Fatalf("got a lease of %d ms by the clock of the agent, want at most %d ms", got, want)
			}
		}
	})
}

// TestClockMatchesOnlyItself guards against a start that was confirmed by the next incarnation of an agent and counts as
// confirmed by the known one: readings of one clock match, however long the agent has run, and those of a clock that
// started anew don't.
func TestClockMatchesOnlyItself(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := 1 + (rapid.Float64Range(-1, 1).Draw(t, "drift") * MaxClockDrift)
		clock := func(at notch.Time) int64 { return int64(float64(at) * rate / float64(time.Millisecond)) }
		now := notch.Time(time.Second)
		l := New(0).WithClock(clock(now), now)
		for range rapid.IntRange(1, 100).Draw(t, "lists") {
			now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "elapsed")) * time.Millisecond)
			l = l.WithClock(clock(now), now)
		}
		now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "since the list")) * time.Millisecond)
		read := clock(now)
		sent := now.Add(-time.Duration(rapid.IntRange(0, 100).Draw(t, "way there")) * time.Millisecond)
		answered := now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "way back")) * time.Millisecond)
		if !l.ClockMatches(read, sent, answered) {
			t.Fatalf("got that the reading %d isn't one of the clock", read)
		}
		apart := int64(rapid.IntRange(400, 1000).Draw(t, "apart"))
		for _, other := range []int64{read - apart, read + apart} {
			if l.ClockMatches(other, sent, answered) {
				t.Fatalf("got that the reading %d is one of the clock, which reads %d", other, read)
			}
		}
	})
}

// TestClockOfAnotherIncarnation guards against a run that is taken for one of the known incarnation of an agent because
// the clock of the next one reads about the same: the readings of a slow clock that count for its lease grow old.
func TestClockOfAnotherIncarnation(t *testing.T) {
	clock := func(at notch.Time) int64 { return int64(float64(at) * (1 - MaxClockDrift) / float64(time.Millisecond)) }
	l, now := New(0), notch.Time(time.Second)
	for range 300 {
		l = l.WithClock(clock(now), now)
		now = now.Add(time.Second)
	}
	for ahead, want := range map[time.Duration]bool{0: true, -time.Second: false, time.Second: false, 4 * time.Second: false} {
		if got := l.ClockMatches(clock(now)+ahead.Milliseconds(), now, now); got != want {
			t.Errorf("a clock that is %v ahead matches: got %v, want %v", ahead, got, want)
		}
	}
}
