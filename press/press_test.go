package press

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	notch "tamaracknotch"
)

type pair struct{ serving, filling string }

// world is a made-up truth: what each image that fills takes of the headroom of each
// image that serves, and how the load of a group swings.
type world struct {
	weights map[pair]float64
	mean    float64
	swing   float64
	period  float64 // seconds
}

// alone returns the headroom of a group whose load is at a phase, in radians.
func (w world) alone(at notch.Time, phase float64) float64 {
	return w.mean + w.swing*math.Sin(2*math.Pi*at.Sub(0).Seconds()/w.period+phase)
}

func (w world) tail(group, image string, alone float64, loads []notch.Load, noise float64) notch.Tail {
	for _, l := range loads {
		alone -= w.weights[pair{image, l.Image}] * l.Share
	}
	return notch.Tail{Group: notch.TaskRef{Flow: group}, Image: image, Headroom: max(0.1, alone*(1+noise))}
}

var truth = world{
	weights: map[pair]float64{{"shop", "heavy"}: 13, {"shop", "light"}: 0.5, {"desk", "heavy"}: 0.5, {"desk", "light"}: 1},
	mean:    2.7, swing: 1.1, period: 14,
}

// TestLearns has two groups looked at twice a second on two agents with random loads,
// and checks what is known of pairs and of the groups' own headroom.
func TestLearns(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var in notch.Interplay = New()
		now := notch.Time(time.Hour)
		off, looks := 0.0, 0
		for i := range 120 {
			now = now.Add(250 * time.Millisecond)
			var loads []notch.Load
			for _, image := range []string{"heavy", "light"} {
				if rng.IntN(2) == 0 {
					loads = append(loads, notch.Load{Image: image, Share: 0.15 * rng.Float64()})
				}
			}
			if i%2 == 0 {
				loads = nil // of the other agent
			}
			tails := []notch.Tail{
				truth.tail("a", "shop", truth.alone(now, 0), loads, 0.05*rng.NormFloat64()),
				truth.tail("b", "desk", truth.alone(now, 2), loads, 0.05*rng.NormFloat64()),
			}
			in = in.WithLook(notch.Look{At: now, Tails: tails, Loads: loads})
			if i >= 40 {
				off += math.Abs(in.Alone(notch.TaskRef{Flow: "a"}, now) - truth.alone(now, 0))
				looks++
			}
		}
		for p, want := range truth.weights {
			w := in.(Filter).row(p.serving).weight(p.filling)
			if got := w.mean + cautious*math.Sqrt(w.variance); got != in.Weight(p.serving, p.filling) {
				t.Errorf("seed %d: got weight %.2f, want %.2f", seed, in.Weight(p.serving, p.filling), got)
			}
			got := w.mean
			if off := max(1.5, want/5); got < want-off || got > want+off {
				t.Errorf("seed %d: %s beside %s: got weight %.2f, want %.1f, give or take %.1f", seed, p.filling, p.serving, got, want, off)
			}
		}
		if got, want := off/float64(looks), 0.25; got > want {
			t.Errorf("seed %d: got a mean error of %.2f in the headroom of a group, want at most %.2f", seed, got, want)
		}
	}
}

// TestUnknown checks that an image that was never seen counts as more than a light one,
// so that it is tried with care, and that a group that was never seen has some headroom.
func TestUnknown(t *testing.T) {
	f := New()
	if got, want := f.Weight("shop", "new"), priorWeight; got <= want {
		t.Errorf("got weight %.2f, want above %.2f", got, want)
	}
	if got := f.Alone(notch.TaskRef{Flow: "new"}, notch.Time(time.Hour)); got <= 1 || got >= priorLevel {
		t.Errorf("got headroom %.2f, want 1 to %.2f", got, priorLevel)
	}
}

// TestStale checks that what was known of a group is forgotten after a silence, and at
// its end, and that the weights stay.
func TestStale(t *testing.T) {
	group, now := notch.TaskRef{Flow: "a"}, notch.Time(time.Hour)
	var in notch.Interplay = New()
	for range 10 {
		now = now.Add(200 * time.Millisecond)
		loads := []notch.Load{{Image: "heavy", Share: 0.1}}
		tails := []notch.Tail{{Group: group, Image: "shop", Headroom: 4}}
		in = in.WithLook(notch.Look{At: now, Tails: tails, Loads: loads})
	}
	fresh := New().Alone(group, now)
	if got := in.Alone(group, now); got <= fresh {
		t.Errorf("got headroom %.2f, want above that of an unknown group, %.2f", got, fresh)
	}
	if got := in.Alone(group, now.Add(time.Minute)); got != fresh {
		t.Errorf("after a minute: got headroom %.2f, want %.2f", got, fresh)
	}
	over := in.WithoutGroup(group)
	if got := over.Alone(group, now); got != fresh {
		t.Errorf("after its end: got headroom %.2f, want %.2f", got, fresh)
	}
	if got, want := over.Weight("shop", "heavy"), in.Weight("shop", "heavy"); got != want {
		t.Errorf("got weight %.2f, want %.2f", got, want)
	}
}

// TestFarOver checks that a tail far over its target, which says no more how far, blames
// nothing that was expected to bring it there.
func TestFarOver(t *testing.T) {
	group, now := notch.TaskRef{Flow: "a"}, notch.Time(time.Hour)
	l := notch.Look{
		At: now, Tails: []notch.Tail{{Group: group, Image: "shop", Headroom: 0.1}},
		Loads: []notch.Load{{Image: "crowd", Share: 1}},
	}
	got, want := New().WithLook(l).Weight("shop", "crowd"), New().Weight("shop", "crowd")
	if got != want {
		t.Errorf("got weight %.2f, want %.2f", got, want)
	}
}
