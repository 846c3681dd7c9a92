package queue

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	notch "tamaracknotch"
)

// TestShortFirstDifferential compares ShortFirst with FIFO. For requests of one class
// without an expected service time both agree. Of two requests that arrive at the same
// time, the one with the shorter expected service time goes first. No request overtakes
// one that arrived earlier by more than the largest possible delay.
func TestShortFirstDifferential(t *testing.T) {
	order := DefaultShortFirst
	draw := func(t *rapid.T) notch.QueuedRequest {
		return notch.QueuedRequest{
			Class:    notch.Class(rapid.IntRange(0, 2).Draw(t, "class")),
			Arrived:  notch.Time(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "arrived")),
			Expected: time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "expected")),
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b := draw(t), draw(t)
		naive := FIFO{}.Rank(a) < FIFO{}.Rank(b)
		unknownA, unknownB := a, b
		unknownA.Expected, unknownB.Expected, unknownB.Class = 0, 0, a.Class
		if got := order.Rank(unknownA) < order.Rank(unknownB); got != naive {
			t.Fatalf("without an expected service time: got %v before %v is %v, want %v", unknownA, unknownB, got, naive)
		}
		maxDelay := order.ClassDelay[notch.BestEffort] + time.Duration(order.DelayFactor)*time.Second
		if b.Arrived.Sub(a.Arrived) > maxDelay && order.Rank(a) >= order.Rank(b) {
			t.Fatalf("got %v after %v, want no delay beyond %v", a, b, maxDelay)
		}
		simultaneous := b
		simultaneous.Arrived, simultaneous.Class = a.Arrived, a.Class
		if a.Expected < simultaneous.Expected && order.Rank(a) >= order.Rank(simultaneous) {
			t.Fatalf("got %v not before %v, which takes longer", a, simultaneous)
		}
	})
}

func TestAdmit(t *testing.T) {
	base := notch.QueueLoad{Length: 10, Ahead: 10, Limit: 100, Slots: 10, MeanLatency: 20 * time.Millisecond, Deadline: time.Second}
	with := func(change func(*notch.QueueLoad)) notch.QueueLoad {
		q := base
		change(&q)
		return q
	}
	cases := []struct {
		name                string
		load                notch.QueueLoad
		bounded, byDeadline bool
	}{
		{"below the limit", base, true, true},
		{"queue at its limit", with(func(q *notch.QueueLoad) { q.Length = 100 }), false, false},
		{"long wait", with(func(q *notch.QueueLoad) { q.Ahead = 99; q.Slots = 2 }), true, false},
		{"first in the queue", with(func(q *notch.QueueLoad) { q.Length = 99; q.Ahead = 0; q.Slots = 2 }), true, true},
		{"just enough time", with(func(q *notch.QueueLoad) { q.Deadline = 23 * time.Millisecond; q.Ahead = 0 }), true, true},
		{"less time left than one request takes", with(func(q *notch.QueueLoad) { q.Deadline = 19 * time.Millisecond }), true, false},
		{"no slots granted yet", with(func(q *notch.QueueLoad) { q.Slots = 0 }), true, true},
	}
	for _, c := range cases {
		if got, _ := (BoundedAdmitter{}).Admit(c.load); got != c.bounded {
			t.Errorf("%s, bounded: got %v, want %v", c.name, got, c.bounded)
		}
		if got, _ := DefaultDeadlineAdmitter.Admit(c.load); got != c.byDeadline {
			t.Errorf("%s, by deadline: got %v, want %v", c.name, got, c.byDeadline)
		}
	}
}
