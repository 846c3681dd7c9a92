package queue

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	notch "tamaracknotch"
)

// TestShortFirstDifferential compares the order with the naive one: without a
// history and within a class both agree, a shorter request that came at the same
// time goes first, and no head start is longer than the factor and the class allow.
func TestShortFirstDifferential(t *testing.T) {
	order := DefaultShortFirst
	draw := func(t *rapid.T) notch.Waiting {
		return notch.Waiting{
			Class:    notch.Class(rapid.IntRange(0, 2).Draw(t, "class")),
			Arrived:  notch.Time(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "arrived")),
			Expected: time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "expected")),
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b := draw(t), draw(t)
		naive := FIFO{}.Rank(a) < FIFO{}.Rank(b)
		plainA, plainB := a, b
		plainA.Expected, plainB.Expected, plainB.Class = 0, 0, a.Class
		if got := order.Rank(plainA) < order.Rank(plainB); got != naive {
			t.Fatalf("without a history: got %v before %v is %v, want %v", plainA, plainB, got, naive)
		}
		most := order.Class[notch.BestEffort] + time.Duration(order.Factor)*time.Second
		if b.Arrived.Sub(a.Arrived) > most && order.Rank(a) >= order.Rank(b) {
			t.Fatalf("got %v after %v, want no head start beyond %v", a, b, most)
		}
		same := b
		same.Arrived, same.Class = a.Arrived, a.Class
		if a.Expected < same.Expected && order.Rank(a) >= order.Rank(same) {
			t.Fatalf("got %v not before %v, which takes longer", a, same)
		}
	})
}

func TestAdmit(t *testing.T) {
	base := notch.QueueLoad{Length: 10, Ahead: 10, Limit: 100, Slots: 10, Service: 20 * time.Millisecond, Deadline: time.Second}
	with := func(change func(*notch.QueueLoad)) notch.QueueLoad {
		q := base
		change(&q)
		return q
	}
	cases := []struct {
		name         string
		load         notch.QueueLoad
		naive, admit bool
	}{
		{"room", base, true, true},
		{"full", with(func(q *notch.QueueLoad) { q.Length = 100 }), false, false},
		{"long wait", with(func(q *notch.QueueLoad) { q.Ahead = 99; q.Slots = 2 }), true, false},
		{"goes first", with(func(q *notch.QueueLoad) { q.Length = 99; q.Ahead = 0; q.Slots = 2 }), true, true},
		{"just enough time", with(func(q *notch.QueueLoad) { q.Deadline = 23 * time.Millisecond; q.Ahead = 0 }), true, true},
		{"less than a service", with(func(q *notch.QueueLoad) { q.Deadline = 19 * time.Millisecond }), true, false},
		{"grant under way", with(func(q *notch.QueueLoad) { q.Slots = 0 }), true, true},
	}
	for _, c := range cases {
		if got, _ := (Bounded{}).Admit(c.load); got != c.naive {
			t.Errorf("%s, bounded: got %v, want %v", c.name, got, c.naive)
		}
		if got, _ := DefaultByDeadline.Admit(c.load); got != c.admit {
			t.Errorf("%s, by deadline: got %v, want %v", c.name, got, c.admit)
		}
	}
}
