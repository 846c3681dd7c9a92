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

// Harm implements [notch.Interference].
func (None) Harm(string, []string) float64 { return 0 }

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

// Pairs adds up a harm of each kind and of each pair of kinds. Each report
// corrects the terms that it involves by a part of the error (the normalized
// least-mean-squares rule).
type Pairs struct{ harm *immutable.Map[pair, float64] }

// New returns an estimate that knows of no harm.
func New() Pairs { return Pairs{harm: immutable.NewMap[pair, float64](pairHasher{})} }

// rate is the part of an error that one report corrects.
const rate = 0.3

// maxKinds bounds the terms of one report.
const maxKinds = 12

// WithSample implements [notch.Interference].
func (p Pairs) WithSample(kinds []string, pressure float64) notch.Interference {
	terms := termsOf(kinds)
	if len(terms) == 0 {
		return p
	}
	estimate := 0.0
	for _, t := range terms {
		h, _ := p.harm.Get(t)
		estimate += h
	}
	step := rate * (pressure - estimate) / float64(len(terms))
	for _, t := range terms {
		h, _ := p.harm.Get(t)
		p.harm = p.harm.Set(t, max(0, h+step))
	}
	return p
}

// termsOf lists each kind and each pair of distinct kinds once.
func termsOf(kinds []string) []pair {
	var distinct []string
	seen := map[string]bool{}
	for _, k := range kinds {
		if !seen[k] && len(distinct) < maxKinds {
			seen[k] = true
			distinct = append(distinct, k)
		}
	}
	var out []pair
	for i, a := range distinct {
		out = append(out, pair{a: a})
		for _, b := range distinct[i+1:] {
			out = append(out, pairOf(a, b))
		}
	}
	return out
}

// Harm implements [notch.Interference].
func (p Pairs) Harm(kind string, others []string) float64 {
	sum, _ := p.harm.Get(pair{a: kind})
	seen := map[string]bool{kind: true}
	for _, o := range others {
		if seen[o] || len(seen) > maxKinds {
			continue
		}
		seen[o] = true
		h, _ := p.harm.Get(pairOf(kind, o))
		sum += h
	}
	return sum
}
