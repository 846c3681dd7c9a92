// Package press learns which images disturb which, from looks at agents on which
// several fill beside several that serve.
package press

import (
	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// Pairs holds that an image that fills is either harmless to one that serves, so that
// only the processors it uses count, or heavy, so that each core counts for several. It
// keeps the chance that a pair is heavy.
type Pairs struct {
	heavy *immutable.Map[pair, float64]
}

type pair struct{ serving, filling string }

// The parameters of the estimate.
const (
	heavyWeight = 4.5  // cores that one core of a heavy pair counts for
	prior       = 0.4  // chance that a pair is heavy, before any look
	surest      = 0.97 // most and one less least that a chance may be
	blameRate   = 0.45 // by which a chance follows the blame for a tail over its target
	calmRate    = 0.30 // by which it falls when a load that would have shown it didn't
	telling     = 0.6  // of the room, from which a heavy load would have shown itself
	leak        = 0.04 // chance that a tail came over its target for another cause
)

// New returns a Pairs that has seen nothing.
func New() Pairs { return Pairs{heavy: immutable.NewMap[pair, float64](pairs{})} }

func (n Pairs) chance(p pair) float64 {
	if c, ok := n.heavy.Get(p); ok {
		return c
	}
	return prior
}

// Weight implements [notch.Interplay].
func (n Pairs) Weight(serving, filling string) float64 {
	return 1 + (heavyWeight-1)*n.chance(pair{serving, filling})
}

// WithLook implements [notch.Interplay].
func (n Pairs) WithLook(l notch.Look) notch.Interplay {
	total := 0.0
	for _, load := range l.Loads {
		total += load.Cores
	}
	for _, t := range l.Tails {
		switch {
		case t.Over && total < l.Room:
			n = n.blame(t.Image, l)
		case !t.Over && l.Steady:
			n = n.clear(t.Image, l)
		}
	}
	return n
}

// shown is the share of the room that a load takes if it is heavy.
func shown(load notch.Load, l notch.Look) float64 {
	return heavyWeight * load.Cores / max(1, l.Room)
}

// blame divides the cause of a tail over its target between the loads, each of which
// may have been it alone.
func (n Pairs) blame(serving string, l notch.Look) Pairs {
	spared := 1 - leak
	for _, load := range l.Loads {
		spared *= 1 - n.cause(serving, load, l)
	}
	if spared >= 1 {
		return n
	}
	heavy := n.heavy
	for _, load := range l.Loads {
		p := pair{serving, load.Image}
		part := n.cause(serving, load, l) / (1 - spared)
		if old := n.chance(p); part > old {
			heavy = heavy.Set(p, min(surest, old+blameRate*(part-old)))
		}
	}
	return Pairs{heavy: heavy}
}

// cause is the chance that a load brings a tail over its target by itself.
func (n Pairs) cause(serving string, load notch.Load, l notch.Look) float64 {
	return n.chance(pair{serving, load.Image}) * min(1, shown(load, l))
}

// clear takes note that no load has brought a tail over its target.
func (n Pairs) clear(serving string, l notch.Look) Pairs {
	heavy := n.heavy
	for _, load := range l.Loads {
		if share := shown(load, l); share >= telling {
			p := pair{serving, load.Image}
			heavy = heavy.Set(p, max(1-surest, n.chance(p)*(1-calmRate*min(1, share))))
		}
	}
	return Pairs{heavy: heavy}
}

type pairs struct{}

// Hash implements immutable.Hasher.
func (pairs) Hash(p pair) uint32 {
	h := uint64(14695981039346656037)
	for _, s := range []string{p.serving, p.filling} {
		for _, c := range []byte(s) {
			h = (h ^ uint64(c)) * 1099511628211
		}
		h *= 31
	}
	return uint32(h ^ h>>32)
}

// Equal implements immutable.Hasher.
func (pairs) Equal(a, b pair) bool { return a == b }

// None knows of no harm: the baseline.
type None struct{}

// WithLook implements [notch.Interplay].
func (None) WithLook(notch.Look) notch.Interplay { return None{} }

// Weight implements [notch.Interplay].
func (None) Weight(string, string) float64 { return 1 }
