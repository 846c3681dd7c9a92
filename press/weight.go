package press

import (
	"slices"
	"strings"
)

// weight is the headroom that a load of all processors takes.
type weight struct{ mean, variance float64 }

// corrected returns w after a reading beside a load of a share that differed by surprise
// from the expected one, whose variance was spread in all.
func (w weight) corrected(share, surprise, spread float64) weight {
	gain := w.variance * share / spread
	w.mean = max(0, w.mean-gain*surprise)
	w.variance = max(leastSpread*leastSpread, w.variance-gain*share*w.variance)
	return w
}

// row holds the weights of the images that were seen to fill beside one image that
// serves, in the order of their names.
type row []cell

type cell struct {
	filling string
	weight
}

func (r row) find(filling string) (int, bool) {
	return slices.BinarySearchFunc(r, filling, func(c cell, name string) int { return strings.Compare(c.filling, name) })
}

// weight returns that of an image, also of one that was never seen.
func (r row) weight(filling string) weight {
	if i, ok := r.find(filling); ok {
		return r[i].weight
	}
	return weight{priorWeight, priorSpread * priorSpread}
}

// put sets a weight in place. The row must be known to its owner only.
func (r row) put(filling string, w weight) row {
	i, ok := r.find(filling)
	if !ok {
		return slices.Insert(r, i, cell{filling, w})
	}
	r[i].weight = w
	return r
}
