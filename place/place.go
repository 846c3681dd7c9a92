// Package place chooses workers for tasks.
package place

import (
	notch "tamaracknotch"
)

// FirstFit takes the first worker with room. It is the naive baseline.
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

// Scored takes the worker with the lowest cost among a few drawn at random. If
// none of these has room it takes the first that has, from a random one on.
type Scored struct {
	Draws        int
	Interference notch.Interference
}

// DefaultDraws bounds the work per placement, whatever the number of workers.
const DefaultDraws = 24

// Place implements [notch.Placer].
func (p Scored) Place(r notch.PlaceRequest, ws notch.WorkerViews, seed uint64) int {
	n := ws.Len()
	if n == 0 {
		return -1
	}
	best, lowest := -1, 0.0
	start := notch.Pick(seed, n)
	draws := min(p.Draws, n)
	for k := range draws {
		i := (start + k) % n
		if draws < n {
			i = notch.Pick(seed+uint64(k), n)
		}
		w := ws.At(i)
		if !r.Size.Fits(w.Free) {
			continue
		}
		if c := p.cost(r, w); best < 0 || c < lowest {
			best, lowest = i, c
		}
	}
	if best >= 0 || draws == n {
		return best
	}
	return p.scan(r, ws, start)
}

func (p Scored) scan(r notch.PlaceRequest, ws notch.WorkerViews, start int) int {
	n := ws.Len()
	for k := range n {
		if i := (start + k) % n; r.Size.Fits(ws.At(i).Free) {
			return i
		}
	}
	return -1
}

// comfortable is the pressure up to which services don't suffer noticeably.
const comfortable = 0.3

// The weights of the cost of a placement.
const (
	harmWeight        = 8.0 // per unit of estimated pressure above comfortable
	addedWeight       = 1.0 // per unit of pressure added
	leftoverWeight    = 0.5 // per share of the worker left free: full workers first
	acceleratorWeight = 2.0 // for using up a worker with accelerators without need
)

func (p Scored) cost(r notch.PlaceRequest, w notch.WorkerView) float64 {
	before := p.Interference.Pressure(w.Kinds)
	after := p.Interference.Pressure(append(w.Kinds[:len(w.Kinds):len(w.Kinds)], r.Job.Kind))
	cost := harmWeight*max(0, after-comfortable) + addedWeight*(after-before)
	cost += leftoverWeight * w.Free.Minus(r.Size).Share(w.Worker.Size)
	if r.Size.Accelerators == 0 && w.Worker.Size.Accelerators > 0 {
		cost += acceleratorWeight
	}
	return cost
}

// Names lists the placers, the default first.
func Names() []string { return []string{"scored", "first-fit"} }

// New returns the named placer; in is what it knows of interference.
func New(name string, in notch.Interference) (notch.Placer, bool) {
	switch name {
	case "scored":
		return Scored{Draws: DefaultDraws, Interference: in}, true
	case "first-fit":
		return FirstFit{}, true
	}
	return nil, false
}
