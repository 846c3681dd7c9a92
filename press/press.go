// Package press learns from looks at agents how much headroom the tails of tasks that
// serve have by themselves, and how much of it each image that fills takes.
//
// The headroom of a tail is its target over it. It falls in a straight line with the
// load of the task and with the processors that tasks which fill use beside it. Thus a
// linear filter can divide what is missing between the two: the tasks of a stage share
// one load, wherever they run, and a pair of images one weight.
package press

import (
	"hash/fnv"
	"math"
	"slices"

	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// Filter keeps a level for each group of tasks and a weight for each pair of images,
// with their variances.
type Filter struct {
	levels  *immutable.Map[notch.TaskRef, level]
	weights *immutable.Map[string, row] // by the image that serves
}

// The parameters of the filter; headroom has no unit.
const (
	priorWeight   = 4.0  // of a pair that was never seen
	priorSpread   = 4.0  // standard deviation of that
	leastSpread   = 0.15 // standard deviation of a weight that is known well
	cautious      = 0.6  // standard deviations by which estimates err on the safe side
	readingNoise  = 0.07 // standard deviation of a reading, as a share of the headroom
	readingGrain  = 0.05 // standard deviation of a reading
	movedNoise    = 3.0  // standard deviation for each share by which loads have moved
	mostSurprise  = 3.0  // standard deviations beyond which a reading counts for less
	leastHeadroom = 0.3  // below which a tail no longer tells how far over it is
)

// New returns a Filter that has seen nothing.
func New() Filter {
	return Filter{
		levels:  immutable.NewMap[notch.TaskRef, level](groups{}),
		weights: immutable.NewMap[string, row](nil),
	}
}

// Weight implements [notch.Interplay].
func (f Filter) Weight(serving, filling string) float64 {
	w := f.row(serving).weight(filling)
	return w.mean + cautious*math.Sqrt(w.variance)
}

func (f Filter) row(serving string) row {
	r, _ := f.weights.Get(serving)
	return r
}

// Alone implements [notch.Interplay].
func (f Filter) Alone(group notch.TaskRef, at notch.Time) float64 {
	l := f.level(group, at)
	return l.value - cautious*math.Sqrt(l.spread)
}

func (f Filter) level(group notch.TaskRef, at notch.Time) level {
	if l, ok := f.levels.Get(group); ok {
		return l.at(at)
	}
	return newLevel(at)
}

// WithoutGroup implements [notch.Interplay].
func (f Filter) WithoutGroup(group notch.TaskRef) notch.Interplay {
	f.levels = f.levels.Delete(group)
	return f
}

// WithLook implements [notch.Interplay].
func (f Filter) WithLook(l notch.Look) notch.Interplay {
	d := draft{Filter: f, rows: map[string]row{}}
	for _, t := range l.Tails {
		d.take(t, l)
	}
	for serving, r := range d.rows {
		d.weights = d.weights.Set(serving, r)
	}
	return d.Filter
}

// draft is a Filter in the middle of a look, with rows that only it knows. The tails of a
// look are mostly of few images, and changing a persistent map is dear.
type draft struct {
	Filter
	rows map[string]row
}

func (d *draft) row(serving string) row {
	r, ok := d.rows[serving]
	if !ok {
		r = slices.Clone(d.Filter.row(serving))
		d.rows[serving] = r
	}
	return r
}

// take divides what a reading differs by from the expected one between the level of its
// group and the weights of the loads, by how uncertain each is.
func (d *draft) take(t notch.Tail, l notch.Look) {
	lev, r := d.level(t.Group, l.At), d.row(t.Image)
	expected, spread := lev.value, lev.spread+noise(t, l)
	for _, load := range l.Loads {
		w := r.weight(load.Image)
		expected -= w.mean * load.Share
		spread += w.variance * load.Share * load.Share
	}
	if t.Headroom < leastHeadroom && expected < leastHeadroom {
		return
	}
	surprise := t.Headroom - expected
	spread = max(spread, surprise*surprise/(mostSurprise*mostSurprise))
	d.levels = d.levels.Set(t.Group, lev.corrected(surprise, spread))
	for _, load := range l.Loads {
		r = r.put(load.Image, r.weight(load.Image).corrected(load.Share, surprise, spread))
	}
	d.rows[t.Image] = r
}

// noise is the variance of a reading.
func noise(t notch.Tail, l notch.Look) float64 {
	part, moved := readingNoise*t.Headroom, movedNoise*l.Moved
	return part*part + readingGrain*readingGrain + moved*moved
}

type groups struct{}

// Hash implements immutable.Hasher.
func (groups) Hash(t notch.TaskRef) uint32 {
	h := fnv.New32a()
	h.Write([]byte(t.Flow))
	return h.Sum32() ^ uint32(t.Round)<<8 ^ uint32(t.Stage)
}

// Equal implements immutable.Hasher.
func (groups) Equal(a, b notch.TaskRef) bool { return a == b }
