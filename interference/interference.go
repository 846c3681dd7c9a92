// Package interference estimates how much kinds of batch tasks disturb the services on their
// hosts. Each report gives only the total pressure of all tasks that ran together, so the
// estimate divides it between the kinds.
package interference

import (
	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// None is the baseline: it estimates no interference.
type None struct{}

// WithSample implements [notch.Interference].
func (n None) WithSample([]string, float64) notch.Interference { return n }

// Pressure implements [notch.Interference].
func (None) Pressure([]string) float64 { return 0 }

// pair holds two kinds in lexical order. For the term of a single kind, b is empty.
type pair struct{ a, b string }

type pairHasher struct{}

// Hash implements immutable.Hasher with the FNV-1a hash.
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

// PairwiseModel is a linear model of the pressure. It has a term for each task, by its kind,
// and one for each pair of kinds that run together. Each report corrects the terms that it
// involves by a part of the prediction error (the normalized least-mean-squares rule).
// Estimates rise faster than they fall, so that they tend towards the pressure at the peak of
// the services' load.
type PairwiseModel struct{ pressures *immutable.Map[pair, float64] }

// New returns a model that estimates no interference.
func New() PairwiseModel {
	return PairwiseModel{pressures: immutable.NewMap[pair, float64](pairHasher{})}
}

// The learning rates: the part of the prediction error that one report corrects.
const (
	risingRate  = 0.4 // when the pressure was underestimated
	fallingRate = 0.1 // when the pressure was overestimated
)

// maxKinds limits the number of kinds of one report that the model considers.
const maxKinds = 12

// term is one term of the model with its weight in a report.
type term struct {
	pair   pair
	weight float64
}

// termsOf returns a term for each kind, weighted by its number of tasks, and one for each
// pair of distinct kinds.
func termsOf(kinds []string) []term {
	out := make([]term, 0, len(kinds))
	for _, k := range kinds {
		i := 0
		for i < len(out) && out[i].pair.a != k {
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
			out = append(out, term{pairOf(out[i].pair.a, out[j].pair.a), 1})
		}
	}
	return out
}

func (p PairwiseModel) predict(terms []term) float64 {
	sum := 0.0
	for _, t := range terms {
		estimate, _ := p.pressures.Get(t.pair)
		sum += estimate * t.weight
	}
	return sum
}

// WithSample implements [notch.Interference].
func (p PairwiseModel) WithSample(kinds []string, pressure float64) notch.Interference {
	terms := termsOf(kinds)
	if len(terms) == 0 {
		return p
	}
	predictionError := pressure - p.predict(terms)
	rate := fallingRate
	if predictionError > 0 {
		rate = risingRate
	}
	norm := 0.0
	for _, t := range terms {
		norm += t.weight * t.weight
	}
	for _, t := range terms {
		estimate, _ := p.pressures.Get(t.pair)
		p.pressures = p.pressures.Set(t.pair, max(0, estimate+rate*predictionError*t.weight/norm))
	}
	return p
}

// Pressure implements [notch.Interference].
func (p PairwiseModel) Pressure(kinds []string) float64 { return p.predict(termsOf(kinds)) }
