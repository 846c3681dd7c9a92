// Package colocation estimates, from measurements on agents, the latency headroom of groups of
// service tasks and how much each opportunistic image reduces it.
//
// The latency headroom of a task is its latency target divided by its tail latency. It
// falls linearly with the load of the task and with the share of the processors that
// opportunistic tasks on the same agent use. A linear (Kalman) filter can therefore
// attribute an unexpected measurement to both causes. All tasks of a stage share one load
// on whichever agent they run, so the filter keeps one state for each group, and one
// interference coefficient for each pair of a service image and an opportunistic image.
package colocation

import (
	"math"
	"slices"

	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// Filter holds a headroom estimate for each group of tasks and an interference coefficient
// for each pair of images, with their variances.
type Filter struct {
	headrooms    *immutable.Map[notch.TaskRef, headroomState]
	coefficients *immutable.Map[string, serviceCoefficients] // by service image
}

// The parameters of the coefficients and of the measurements; headroom has no unit.
const (
	priorCoefficient       = 4.0  // of a pair without measurements
	priorCoefficientStdDev = 4.0  // standard deviation of priorCoefficient
	minCoefficientStdDev   = 0.15 // keeps a well-known coefficient able to change
	safetyStdDevs          = 0.6  // standard deviations by which estimates err on the safe side
	relativeNoiseStdDev    = 0.07 // standard deviation of a measurement, as a share of the headroom
	absoluteNoiseStdDev    = 0.05 // standard deviation of a measurement, in headroom
	loadChangeNoiseStdDev  = 3.0  // standard deviation per share of the processors by which loads changed
	maxInnovationStdDevs   = 3.0  // standard deviations beyond which a measurement counts for less
	minMeasurableHeadroom  = 0.3  // below it the tail latency no longer shows how overloaded the task is
)

// New returns a Filter without measurements.
func New() Filter {
	return Filter{
		headrooms:    immutable.NewMap[notch.TaskRef, headroomState](groupHasher{}),
		coefficients: immutable.NewMap[string, serviceCoefficients](nil),
	}
}

// InterferenceCoefficient implements [notch.ColocationModel].
func (f Filter) InterferenceCoefficient(service, opportunistic string) float64 {
	c := f.coefficientsOf(service).coefficient(opportunistic)
	return c.mean + safetyStdDevs*math.Sqrt(c.variance)
}

func (f Filter) coefficientsOf(service string) serviceCoefficients {
	s, _ := f.coefficients.Get(service)
	return s
}

// HeadroomAlone implements [notch.ColocationModel].
func (f Filter) HeadroomAlone(group notch.TaskRef, at notch.Time) float64 {
	h := f.predictedHeadroom(group, at)
	return h.headroom - safetyStdDevs*math.Sqrt(h.variance)
}

func (f Filter) predictedHeadroom(group notch.TaskRef, at notch.Time) headroomState {
	if h, ok := f.headrooms.Get(group); ok {
		return h.predicted(at)
	}
	return priorState(at)
}

// WithoutGroup implements [notch.ColocationModel].
func (f Filter) WithoutGroup(group notch.TaskRef) notch.ColocationModel {
	f.headrooms = f.headrooms.Delete(group)
	return f
}

// WithObservation implements [notch.ColocationModel].
func (f Filter) WithObservation(o notch.ColocationObservation) notch.ColocationModel {
	u := filterUpdate{Filter: f, changed: map[string]serviceCoefficients{}}
	for _, m := range o.Headrooms {
		u.addMeasurement(m, o)
	}
	for service, s := range u.changed {
		u.coefficients = u.coefficients.Set(service, s)
	}
	return u.Filter
}

// filterUpdate is a Filter that takes in the measurements of one agent. It collects the
// changed coefficients in slices of its own, because the tasks on an agent mostly have few
// images and each change of a persistent map is expensive.
type filterUpdate struct {
	Filter
	changed map[string]serviceCoefficients // by service image
}

func (u *filterUpdate) coefficientsOf(service string) serviceCoefficients {
	s, ok := u.changed[service]
	if !ok {
		s = slices.Clone(u.Filter.coefficientsOf(service))
		u.changed[service] = s
	}
	return s
}

// addMeasurement corrects the headroom of the task's group and the coefficients of the
// colocated loads. Each takes a part of the innovation in proportion to its variance.
func (u *filterUpdate) addMeasurement(m notch.HeadroomMeasurement, o notch.ColocationObservation) {
	state, coefficients := u.predictedHeadroom(m.Group, o.At), u.coefficientsOf(m.Image)
	predicted, innovationVariance := state.headroom, state.variance+measurementVariance(m, o)
	for _, load := range o.Loads {
		c := coefficients.coefficient(load.Image)
		predicted -= c.mean * load.CPUShare
		innovationVariance += c.variance * load.CPUShare * load.CPUShare
	}
	if m.Headroom < minMeasurableHeadroom && predicted < minMeasurableHeadroom {
		return
	}
	innovation := m.Headroom - predicted
	innovationVariance = max(innovationVariance, innovation*innovation/(maxInnovationStdDevs*maxInnovationStdDevs))
	u.headrooms = u.headrooms.Set(m.Group, state.updated(innovation, innovationVariance))
	for _, load := range o.Loads {
		c := coefficients.coefficient(load.Image).updated(load.CPUShare, innovation, innovationVariance)
		coefficients = coefficients.set(load.Image, c)
	}
	u.changed[m.Image] = coefficients
}

// measurementVariance returns the variance of the noise of a measured headroom.
func measurementVariance(m notch.HeadroomMeasurement, o notch.ColocationObservation) float64 {
	relative, loadChange := relativeNoiseStdDev*m.Headroom, loadChangeNoiseStdDev*o.LoadChange
	return relative*relative + absoluteNoiseStdDev*absoluteNoiseStdDev + loadChange*loadChange
}

type groupHasher struct{}

// Hash implements immutable.Hasher. It is on the path of every list of an agent, so it allocates nothing.
func (groupHasher) Hash(t notch.TaskRef) uint32 {
	h := uint64(t.Round)<<32 ^ uint64(t.Stage)
	for i := range len(t.Flow) {
		h = h*31 + uint64(t.Flow[i])
	}
	return uint32(notch.HashSeed(h))
}

// Equal implements immutable.Hasher.
func (groupHasher) Equal(a, b notch.TaskRef) bool { return a == b }
