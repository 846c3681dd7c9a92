package press

import (
	"testing"

	notch "tamaracknotch"
)

// TestLearns feeds looks of a world in which one pair is heavy, and checks that only
// that one is found.
func TestLearns(t *testing.T) {
	var in notch.Interplay = New()
	loads := func(names ...string) []notch.Load {
		var out []notch.Load
		for _, n := range names {
			out = append(out, notch.Load{Image: n, Cores: 10})
		}
		return out
	}
	looks := []struct {
		loads []notch.Load
		over  bool
	}{
		{loads("heavy", "light"), true}, {loads("light", "other"), false}, {loads("heavy", "other"), true},
		{loads("light"), false}, {loads("heavy"), true}, {loads("other", "light"), false}, {loads("heavy", "light"), true},
	}
	for range 3 {
		for _, l := range looks {
			tails := []notch.Tail{{Image: "shop", Over: l.over}}
			in = in.WithLook(notch.Look{Tails: tails, Loads: l.loads, Room: 40, Steady: true})
		}
	}
	cases := []struct {
		filling     string
		least, most float64
	}{
		{"heavy", 4, heavyWeight}, {"light", 1, 2}, {"other", 1, 2}, {"never seen", 2, 3},
	}
	for _, c := range cases {
		if got := in.Weight("shop", c.filling); got < c.least || got > c.most {
			t.Errorf("%s: got weight %.2f, want %.1f to %.1f", c.filling, got, c.least, c.most)
		}
	}
}

// TestTooMuch checks that loads beyond the room aren't blamed on any pair.
func TestTooMuch(t *testing.T) {
	l := notch.Look{
		Tails: []notch.Tail{{Image: "shop", Over: true}}, Loads: []notch.Load{{Image: "light", Cores: 50}}, Room: 40,
	}
	got, want := New().WithLook(l).Weight("shop", "light"), New().Weight("shop", "light")
	if got != want {
		t.Errorf("got weight %.2f, want %.2f", got, want)
	}
}
