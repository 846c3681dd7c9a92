// Package interfere estimates the harm that kinds of tasks do to the services
// on their hosts, from reports that mix the harm of all that ran together.
package interfere

import (
	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// None knows nothing of interference. It is the naive baseline.
type None struct{}

// WithSample implements [notch.Interference].
func (n None) WithSample([]string, float64) notch.Interference { return n }

// Pressure implements [notch.Interference].
func (None) Pressure([]string) float64 { return 0 }

// pair is two kinds in lexical order; the second is empty for a kind by itself.
type pair struct{ a, b string }

type pairHasher struct{}

// Hash implements immutable.Hasher.
func (pairHasher) Hash(p pair) uint32 {
	h := uint32(2166136261)
	for _, s := range [...]string{p.a, "|", p.b} {
		for i := range len(s) {
			h = (h ^ uint32(s[i])) * 16777619
		}
	}
	return h
}

// Equal implements immutable.Hasher.
func (pairHasher) Equal(a, b pair) bool { return a == b }

func pairOf(a, b string) pair {
	if a > b {
		return pair{b, a}
	}
	return pair{a, b}
}

// Pairs adds up a harm for each task by its kind, and one for each pair of kinds
// that run together. Each report corrects the terms that it involves by a part of
// the error (the normalized least-mean-squares rule). It rises faster than it
// falls, so that it leans towards the pressure at the crest of the services' load.
type Pairs struct{ harm *immutable.Map[pair, float64] }

// New returns an estimate that knows of no harm.
func New() Pairs { return Pairs{harm: immutable.NewMap[pair, float64](pairHasher{})} }

// The part of an error that one report corrects.
const (
	rateUp   = 0.4
	rateDown = 0.1
)

// maxKinds bounds the kinds of one report.
const maxKinds = 12

// term is a weighted harm.
type term struct {
	of     pair
	weight float64
}

// termsOf lists each kind, weighted by its tasks, and each pair of distinct kinds.
func termsOf(kinds []string) []term {
	out := make([]term, 0, len(kinds))
	for _, k := range kinds {
		i := 0
		for i < len(out) && out[i].of.a != k {
			i++
		}
		if i < len(out) {
			out[i].weight++
		} else if len(out) < maxKinds {
			out = append(out, term{pair{a: k}, 1})
		}
	}
	for i, n := 0, len(out); i < n; i++ {
		for j := i + 1; j < n; j++ {
			out = append(out, term{pairOf(out[i].of.a, out[j].of.a), 1})
		}
	}
	return out
}

func (p Pairs) sum(terms []term) float64 {
	sum := 0.0
	for _, t := range terms {
		h, _ := p.harm.Get(t.of)
		sum += h * t.weight
	}
	return sum
}

// WithSample implements [notch.Interference].
func (p Pairs) WithSample(kinds []string, pressure float64) notch.Interference {
	terms := termsOf(kinds)
	if len(terms) == 0 {
		return p
	}
	missing := pressure - p.sum(terms)
	rate := rateDown
	if missing > 0 {
		rate = rateUp
	}
	norm := 0.0
	for _, t := range terms {
		norm += t.weight * t.weight
	}
	for _, t := range terms {
		h, _ := p.harm.Get(t.of)
		p.harm = p.harm.Set(t.of, max(0, h+rate*missing*t.weight/norm))
	}
	return p
}

// Pressure implements [notch.Interference].
func (p Pairs) Pressure(kinds []string) float64 { return p.sum(termsOf(kinds)) }
