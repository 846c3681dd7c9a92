// Package pick implements the policies that choose a backend server for a request.
package pick

import (
	"time"

	notch "tamaracknotch"
)

// Random takes an available backend server at random. It is the baseline for comparisons.
type Random struct{}

// Pick implements [notch.Picker].
func (Random) Pick(cs notch.Candidates, seed uint64) int {
	n := cs.Len()
	if n == 0 {
		return -1
	}
	start := notch.SeededIndex(seed, n)
	for k := range n {
		i := (start + k) % n
		if _, ok := cs.At(i); ok {
			return i
		}
	}
	return -1
}

// Scored takes the available backend server with the lowest score among SampleSize
// random ones. It scores all of them if SampleSize is 0, if there are at most
// 2*SampleSize, or if none of the random ones is available.
type Scored struct {
	SampleSize int // 0: score all
	Score      func(notch.Candidate) float64
}

// Pick implements [notch.Picker].
func (p Scored) Pick(cs notch.Candidates, seed uint64) int {
	n := cs.Len()
	if p.SampleSize > 0 && n > 2*p.SampleSize {
		if i := p.pickSampled(cs, seed); i >= 0 {
			return i
		}
	}
	return p.pickAll(cs, seed)
}

// pickSampled returns the index with the lowest score among SampleSize random ones, or
// -1 if none of these backend servers is available. The sample
// covers all failure domains; only the score favours the local one.
func (p Scored) pickSampled(cs notch.Candidates, seed uint64) int {
	best, lowest := -1, 0.0
	for k := range p.SampleSize {
		i := notch.SeededIndex(seed+uint64(k), cs.Len())
		c, ok := cs.At(i)
		if !ok {
			continue
		}
		if score := p.Score(c); best < 0 || score < lowest {
			best, lowest = i, score
		}
	}
	return best
}

// pickAll returns the index with the lowest score of all, or -1 if no backend server is
// available. It starts at a random index, so that requests are spread over backend servers
// with equal scores.
func (p Scored) pickAll(cs notch.Candidates, seed uint64) int {
	n := cs.Len()
	best, lowest := -1, 0.0
	start := notch.SeededIndex(seed, n)
	for k := range n {
		i := (start + k) % n
		c, ok := cs.At(i)
		if !ok {
			continue
		}
		if score := p.Score(c); best < 0 || score < lowest {
			best, lowest = i, score
		}
	}
	return best
}

// remotePenalty is added to the expected latency of a backend server in another failure
// domain, for the network round trip and its cost.
const remotePenalty = 12 * time.Millisecond

// unknownLatency is the assumed mean latency of a backend server without samples.
const unknownLatency = 5 * time.Millisecond

// fullWeightSamples is the number of samples from which ByTail uses the tail estimate of a
// backend server unchanged. With fewer samples it blends the tail with the mean.
const fullWeightSamples = 20

// utilization returns the share of the slots in use after the request is added.
func utilization(c notch.Candidate) float64 {
	return float64(c.InFlight+1) / float64(max(c.Slots, 1))
}

// domainPenalty returns remotePenalty in seconds for another failure domain, else 0.
func domainPenalty(c notch.Candidate) float64 {
	if c.Local {
		return 0
	}
	return remotePenalty.Seconds()
}

// ByLoad scores by the share of slots in use. 1 is added for another failure domain, so
// that a local backend server with a free slot always comes first.
func ByLoad(c notch.Candidate) float64 {
	s := utilization(c)
	if !c.Local {
		s += 1
	}
	return s
}

// ByWork scores by the mean latency, scaled by the current load.
func ByWork(c notch.Candidate) float64 {
	mean := c.Mean
	if c.Samples == 0 {
		mean = unknownLatency
	}
	return mean.Seconds()*(0.5+utilization(c)) + domainPenalty(c)
}

// ByTail scores by the 95th percentile of the latency, scaled by the current load. With
// few samples it blends the percentile with the mean.
func ByTail(c notch.Candidate) float64 {
	if c.Samples == 0 {
		return ByWork(c)
	}
	weight := min(1, float64(c.Samples)/fullWeightSamples)
	tail := weight*c.Tail.Seconds() + (1-weight)*c.Mean.Seconds()
	return tail*(0.5+utilization(c)) + domainPenalty(c)
}

// New returns the picker with the given name.
func New(name string) (notch.Picker, bool) {
	p, ok := pickers[name]
	return p, ok
}

// Names lists the names that New accepts, the default first.
func Names() []string { return []string{"work", "tail", "load", "all", "two", "random"} }

var pickers = map[string]notch.Picker{
	"work":   Scored{SampleSize: 6, Score: ByWork},
	"tail":   Scored{SampleSize: 6, Score: ByTail},
	"load":   Scored{SampleSize: 6, Score: ByLoad},
	"all":    Scored{Score: ByWork},
	"two":    Scored{SampleSize: 2, Score: ByWork},
	"random": Random{},
}
