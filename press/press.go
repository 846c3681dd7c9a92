// Package press learns which images disturb which, from looks at agents on which
// several fill beside several that serve.
package press

import (
	"slices"

	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// The parameters of the estimate.
const (
	prior = 0.08 // risk of a pair that was never seen
	leak  = 0.03 // chance that a tail is over its target for no cause on the agent
	rate  = 0.25 // weight of one look when a tail came over its target
	calm  = 0.03 // weight of one look when it didn't
)

// Noisy holds that each image that fills brings a tail over its target by itself, with
// a chance of its own (a noisy or), and divides the blame of a look by these chances.
type Noisy struct {
	risks *immutable.Map[pair, float64]
}

type pair struct{ serving, filling string }

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

// New returns a Noisy that has seen nothing.
func New() Noisy { return Noisy{risks: immutable.NewMap[pair, float64](pairs{})} }

// Risk implements [notch.PairHarm].
func (n Noisy) Risk(serving, filling string) float64 {
	if r, ok := n.risks.Get(pair{serving, filling}); ok {
		return r
	}
	return prior
}

// WithLook implements [notch.PairHarm].
func (n Noisy) WithLook(tails []notch.Tail, filling []string) notch.PairHarm {
	filling = slices.Compact(slices.Sorted(slices.Values(filling)))
	for _, t := range tails {
		n = n.withTail(t, filling)
	}
	return n
}

func (n Noisy) withTail(t notch.Tail, filling []string) Noisy {
	spared := 1 - leak
	for _, f := range filling {
		spared *= 1 - n.Risk(t.Image, f)
	}
	risks := n.risks
	for _, f := range filling {
		old := n.Risk(t.Image, f)
		next := old * (1 - calm)
		if t.Over {
			next = old + rate*(old/(1-spared)-old)
		}
		risks = risks.Set(pair{t.Image, f}, next)
	}
	return Noisy{risks: risks}
}

// None knows of no harm: the baseline.
type None struct{}

// WithLook implements [notch.PairHarm].
func (None) WithLook([]notch.Tail, []string) notch.PairHarm { return None{} }

// Risk implements [notch.PairHarm].
func (None) Risk(string, string) float64 { return 0 }
