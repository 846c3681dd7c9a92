package colocation

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	notch "tamaracknotch"
)

type imagePair struct{ service, opportunistic string }

// headroomModel generates measurements: the headroom of a group without opportunistic
// tasks is a sine wave over time, and each opportunistic image lowers it by its coefficient
// times its share of the processors.
type headroomModel struct {
	coefficients map[imagePair]float64
	mean         float64
	amplitude    float64
	period       float64 // seconds
}

// headroomAlone returns the headroom of a group without opportunistic tasks. The phase is
// in radians.
func (m headroomModel) headroomAlone(at notch.Time, phase float64) float64 {
	return m.mean + m.amplitude*math.Sin(2*math.Pi*at.Sub(0).Seconds()/m.period+phase)
}

func (m headroomModel) measure(group, image string, headroomAlone float64, loads []notch.OpportunisticLoad, noise float64) notch.HeadroomMeasurement {
	headroom := headroomAlone
	for _, l := range loads {
		headroom -= m.coefficients[imagePair{image, l.Image}] * l.CPUShare
	}
	return notch.HeadroomMeasurement{Group: notch.TaskRef{Flow: group}, Image: image, Headroom: max(0.1, headroom*(1+noise))}
}

var testModel = headroomModel{
	coefficients: map[imagePair]float64{
		{"shop", "heavy"}: 13, {"shop", "light"}: 0.5, {"desk", "heavy"}: 0.5, {"desk", "light"}: 1,
	},
	mean: 2.7, amplitude: 1.1, period: 14,
}

// TestEstimatesConverge measures two groups twice a second on each of two agents, one with
// random loads and one without, and checks the estimated coefficients and headrooms.
func TestEstimatesConverge(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var model notch.ColocationModel = New()
		now := notch.Time(time.Hour)
		headroomError, measurements := 0.0, 0
		for i := range 120 {
			now = now.Add(250 * time.Millisecond)
			var loads []notch.OpportunisticLoad
			for _, image := range []string{"heavy", "light"} {
				if rng.IntN(2) == 0 {
					loads = append(loads, notch.OpportunisticLoad{Image: image, CPUShare: 0.15 * rng.Float64()})
				}
			}
			if i%2 == 0 {
				loads = nil // the second agent runs no opportunistic tasks
			}
			measured := []notch.HeadroomMeasurement{
				testModel.measure("a", "shop", testModel.headroomAlone(now, 0), loads, 0.05*rng.NormFloat64()),
				testModel.measure("b", "desk", testModel.headroomAlone(now, 2), loads, 0.05*rng.NormFloat64()),
			}
			model = model.WithObservation(notch.ColocationObservation{At: now, Headrooms: measured, Loads: loads})
			if i >= 40 {
				headroomError += math.Abs(model.HeadroomAlone(notch.TaskRef{Flow: "a"}, now) - testModel.headroomAlone(now, 0))
				measurements++
			}
		}
		for p, want := range testModel.coefficients {
			c := model.(Filter).coefficientsOf(p.service).coefficient(p.opportunistic)
			if got, want := model.InterferenceCoefficient(p.service, p.opportunistic), c.mean+safetyStdDevs*math.Sqrt(c.variance); got != want {
				t.Errorf("seed %d: %s colocated with %s: got interference coefficient %.2f, want %.2f", seed, p.opportunistic, p.service, got, want)
			}
			got := c.mean
			if tolerance := max(1.5, want/5); got < want-tolerance || got > want+tolerance {
				t.Errorf("seed %d: %s colocated with %s: got mean coefficient %.2f, want %.1f ± %.1f", seed, p.opportunistic, p.service, got, want, tolerance)
			}
		}
		if got, want := headroomError/float64(measurements), 0.25; got > want {
			t.Errorf("seed %d: got a mean error of %.2f in the headroom of a group, want at most %.2f", seed, got, want)
		}
	}
}

// TestUnmeasuredImage checks that the interference coefficient of an image without
// measurements is above the prior mean, so that the image is started cautiously, and that a
// group without measurements has some headroom.
func TestUnmeasuredImage(t *testing.T) {
	f := New()
	if got, want := f.InterferenceCoefficient("shop", "new"), priorCoefficient; got <= want {
		t.Errorf("got interference coefficient %.2f, want above %.2f", got, want)
	}
	if got := f.HeadroomAlone(notch.TaskRef{Flow: "new"}, notch.Time(time.Hour)); got <= 1 || got >= priorHeadroom {
		t.Errorf("got headroom %.2f, want 1 to %.2f", got, priorHeadroom)
	}
}

// TestHeadroomExpires checks that the headroom estimate of a group is dropped when
// measurements stop and when the group ends, and that the coefficients stay.
func TestHeadroomExpires(t *testing.T) {
	group, now := notch.TaskRef{Flow: "a"}, notch.Time(time.Hour)
	var model notch.ColocationModel = New()
	for range 10 {
		now = now.Add(200 * time.Millisecond)
		loads := []notch.OpportunisticLoad{{Image: "heavy", CPUShare: 0.1}}
		measured := []notch.HeadroomMeasurement{{Group: group, Image: "shop", Headroom: 4}}
		model = model.WithObservation(notch.ColocationObservation{At: now, Headrooms: measured, Loads: loads})
	}
	prior := New().HeadroomAlone(group, now)
	if got := model.HeadroomAlone(group, now); got <= prior {
		t.Errorf("got headroom %.2f, want above the prior, %.2f", got, prior)
	}
	if got := model.HeadroomAlone(group, now.Add(time.Minute)); got != prior {
		t.Errorf("after a minute: got headroom %.2f, want %.2f", got, prior)
	}
	ended := model.WithoutGroup(group)
	if got := ended.HeadroomAlone(group, now); got != prior {
		t.Errorf("after the end of the group: got headroom %.2f, want %.2f", got, prior)
	}
	if got, want := ended.InterferenceCoefficient("shop", "heavy"), model.InterferenceCoefficient("shop", "heavy"); got != want {
		t.Errorf("got interference coefficient %.2f, want %.2f", got, want)
	}
}

// TestUnmeasurableHeadroom checks that a measurement below minMeasurableHeadroom changes no
// coefficient if the loads already explain a headroom that low.
func TestUnmeasurableHeadroom(t *testing.T) {
	group, now := notch.TaskRef{Flow: "a"}, notch.Time(time.Hour)
	o := notch.ColocationObservation{
		At: now, Headrooms: []notch.HeadroomMeasurement{{Group: group, Image: "shop", Headroom: 0.1}},
		Loads: []notch.OpportunisticLoad{{Image: "heavy", CPUShare: 1}},
	}
	got, want := New().WithObservation(o).InterferenceCoefficient("shop", "heavy"), New().InterferenceCoefficient("shop", "heavy")
	if got != want {
		t.Errorf("got interference coefficient %.2f, want %.2f", got, want)
	}
}
