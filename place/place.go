// Package place implements the policies that choose a worker for a task.
package place

import (
	notch "tamaracknotch"
)

// FirstFit takes the first worker on which the task fits. It is the baseline for
// comparisons.
type FirstFit struct{}

// Place implements [notch.Placer].
func (FirstFit) Place(r notch.PlaceRequest, ws notch.WorkerViews, _ uint64) int {
	for i := range ws.Len() {
		if r.Size.Fits(ws.At(i).Free) {
			return i
		}
	}
	return -1
}

// Scored takes the worker with the lowest cost among SampleSize random ones. If the task
// fits on none of these, it takes the first worker on which it fits, starting the search
// at a random worker.
type Scored struct {
	SampleSize   int
	Interference notch.Interference
}

// DefaultSampleSize is the number of workers that are scored per placement. It is
// constant, so that the time for a placement doesn't grow with the number of workers.
const DefaultSampleSize = 24

// Place implements [notch.Placer].
func (p Scored) Place(r notch.PlaceRequest, ws notch.WorkerViews, seed uint64) int {
	n := ws.Len()
	if n == 0 {
		return -1
	}
	best, lowest := -1, 0.0
	start := notch.SeededIndex(seed, n)
	sampleSize := min(p.SampleSize, n)
	for k := range sampleSize {
		i := (start + k) % n
		if sampleSize < n {
			i = notch.SeededIndex(seed+uint64(k), n)
		}
		w := ws.At(i)
		if !r.Size.Fits(w.Free) {
			continue
		}
		if c := p.cost(r, w); best < 0 || c < lowest {
			best, lowest = i, c
		}
	}
	if best >= 0 || sampleSize == n {
		return best
	}
	return p.firstFitFrom(r, ws, start)
}

// firstFitFrom returns the first worker on which the task fits, starting at index start
// and wrapping around, or -1.
func (p Scored) firstFitFrom(r notch.PlaceRequest, ws notch.WorkerViews, start int) int {
	n := ws.Len()
	for k := range n {
		if i := (start + k) % n; r.Size.Fits(ws.At(i).Free) {
			return i
		}
	}
	return -1
}

// harmlessPressure is the pressure up to which the latency of services isn't noticeably
// affected.
const harmlessPressure = 0.3

// Weights in the cost of a placement.
const (
	pressureWeight      = 8.0 // per unit of estimated pressure above harmlessPressure
	addedPressureWeight = 1.0 // per unit of pressure that the task adds
	freeShareWeight     = 0.5 // times the share of the worker that stays free, so that tasks are packed
	acceleratorWeight   = 2.0 // for a task without accelerators on a worker that has some
)

// cost returns the cost of placing the task on w. The lowest cost wins.
func (p Scored) cost(r notch.PlaceRequest, w notch.WorkerView) float64 {
	before := p.Interference.Pressure(w.Kinds)
	after := p.Interference.Pressure(append(w.Kinds[:len(w.Kinds):len(w.Kinds)], r.Job.Kind))
	cost := pressureWeight*max(0, after-harmlessPressure) + addedPressureWeight*(after-before)
	cost += freeShareWeight * w.Free.Minus(r.Size).Share(w.Worker.Size)
	if r.Size.Accelerators == 0 && w.Worker.Size.Accelerators > 0 {
		cost += acceleratorWeight
	}
	return cost
}

// Names lists the names that New accepts, the default first.
func Names() []string { return []string{"scored", "first-fit"} }

// New returns the placer with the given name. It estimates interference by in.
func New(name string, in notch.Interference) (notch.Placer, bool) {
	switch name {
	case "scored":
		return Scored{SampleSize: DefaultSampleSize, Interference: in}, true
	case "first-fit":
		return FirstFit{}, true
	}
	return nil, false
}
