package colocation

import (
	"time"

	notch "tamaracknotch"
)

// headroomState is the estimated state of one group of tasks: the latency headroom that
// the tasks have without colocated opportunistic tasks, and its slope. Headroom is the
// latency target divided by the tail latency, so it has no unit; time is in seconds.
type headroomState struct {
	estimatedAt   notch.Time
	headroom      float64
	slope         float64 // change of headroom per second
	variance      float64 // of headroom
	covariance    float64 // of headroom and slope
	slopeVariance float64
}

// The parameters of the headroom estimates.
const (
	priorHeadroom       = 2.5             // of a group without measurements
	priorHeadroomStdDev = 1.0             // standard deviation of priorHeadroom
	priorSlopeStdDev    = 0.4             // standard deviation of the initial slope, which is 0, per second
	slopeProcessNoise   = 0.04            // growth of slopeVariance per second without a measurement
	maxPredictionTime   = 3 * time.Second // an agent tells of its tasks each 2 s or more often
)

// priorState returns the estimate for a group without measurements.
func priorState(now notch.Time) headroomState {
	return headroomState{
		estimatedAt:   now,
		headroom:      priorHeadroom,
		variance:      priorHeadroomStdDev * priorHeadroomStdDev,
		slopeVariance: priorSlopeStdDev * priorSlopeStdDev,
	}
}

// predicted returns the state predicted for a time. For a time before the latest estimate
// it returns that estimate.
func (h headroomState) predicted(at notch.Time) headroomState {
	d := at.Sub(h.estimatedAt)
	if d <= 0 {
		return h
	}
	if d > maxPredictionTime {
		// The estimate is too old to predict from.
		return priorState(at)
	}
	t := d.Seconds()
	h.estimatedAt = at
	h.headroom += h.slope * t
	h.variance += 2*t*h.covariance + t*t*h.slopeVariance + slopeProcessNoise*t*t*t/3
	h.covariance += t*h.slopeVariance + slopeProcessNoise*t*t/2
	h.slopeVariance += slopeProcessNoise * t
	return h
}

// updated returns the state after a measurement. The innovation is the difference between
// the measured and the predicted headroom.
func (h headroomState) updated(innovation, innovationVariance float64) headroomState {
	headroomGain, slopeGain := h.variance/innovationVariance, h.covariance/innovationVariance
	h.headroom += headroomGain * innovation
	h.slope += slopeGain * innovation
	h.slopeVariance -= slopeGain * h.covariance
	h.covariance -= headroomGain * h.covariance
	h.variance -= headroomGain * h.variance
	return h
}
