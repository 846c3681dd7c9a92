package flow

import (
	"testing"
	"time"

	notch "tamaracknotch"
)

// TestRoomCloses answers plays in which tasks that fill went on for four seconds beside
// a tail over its target: quiet-1 with seeds 12, 13 and 16 among them.
func TestRoomCloses(t *testing.T) {
	cases := []struct {
		name  string
		tails []float64 // worst share of a target, a look a second
		want  float64   // share of the room after the last
	}{
		{"calm", []float64{0.3, 0.4}, mostRoom},
		{"neither calm nor over", []float64{0.7, 0.8}, 1},
		{"just over", []float64{0.95}, 0.5},
		{"far over", []float64{3}, 0.25},
		{"over for long", []float64{0.95, 0.92}, 0},
		{"far over for long", []float64{8, 6, 4}, 0},
		{"back under, not yet calm", []float64{0.95, 0.7}, 0.5},
		{"calm again", []float64{8, 6, 0.3, 0.3}, 2 * growRoom},
		{"over again", []float64{0.95, 0.7, 0.95}, 0.25},
	}
	for _, c := range cases {
		m := mix{share: 1}
		for i, worst := range c.tails {
			l := look{worst: worst}
			l.Loads = []notch.Load{{Image: "f", Cores: 8}}
			m = m.after(l, notch.Time(time.Hour).Add(time.Duration(i)*time.Second))
		}
		if got := m.share; got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("%s: got share %.2f, want %.2f", c.name, got, c.want)
		}
	}
}
