// Package pick chooses a backend server for a request.
package pick

import (
	"time"

	notch "tamaracknotch"
)

// Random takes any available backend server. It is the naive baseline.
type Random struct{}

// Pick implements [notch.Picker].
func (Random) Pick(cs notch.Candidates, seed uint64) int {
	n := cs.Len()
	if n == 0 {
		return -1
	}
	start := notch.Pick(seed, n)
	for k := range n {
		i := (start + k) % n
		if _, ok := cs.At(i); ok {
			return i
		}
	}
	return -1
}

// Scored takes the available backend server with the lowest score, out of a
// few drawn at random or out of all.
type Scored struct {
	Draws int // 0: all
	Score func(notch.Candidate) float64
}

// Pick implements [notch.Picker].
func (p Scored) Pick(cs notch.Candidates, seed uint64) int {
	n := cs.Len()
	if p.Draws > 0 && n > 2*p.Draws {
		if i := p.draw(cs, seed); i >= 0 {
			return i
		}
	}
	return p.scan(cs, seed)
}

// draw tries a few random positions, local ones being preferred by the score.
func (p Scored) draw(cs notch.Candidates, seed uint64) int {
	best, lowest := -1, 0.0
	for k := range p.Draws {
		i := notch.Pick(seed+uint64(k), cs.Len())
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

// scan starts at a random position, so that equal scores are spread.
func (p Scored) scan(cs notch.Candidates, seed uint64) int {
	n := cs.Len()
	best, lowest := -1, 0.0
	start := notch.Pick(seed, n)
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

// remotePenalty is added to the expected latency of another failure domain: the
// way there and back, and its cost.
const remotePenalty = 12 * time.Millisecond

// unknownLatency stands in for a backend server without samples.
const unknownLatency = 5 * time.Millisecond

// sampleFloor is how many samples a backend server's own tail needs to count in
// full. Below it the tail is damped towards the mean.
const sampleFloor = 20

// load is the share of the slots in use if the request is added.
func load(c notch.Candidate) float64 {
	return float64(c.InFlight+1) / float64(max(c.Slots, 1))
}

func penalty(c notch.Candidate) float64 {
	if c.Local {
		return 0
	}
	return remotePenalty.Seconds()
}

// ByLoad scores by the share of slots in use and the failure domain.
func ByLoad(c notch.Candidate) float64 {
	s := load(c)
	if !c.Local {
		s += 1
	}
	return s
}

// ByWork scores by the mean latency expected at the present load.
func ByWork(c notch.Candidate) float64 {
	mean := c.Mean
	if c.Samples == 0 {
		mean = unknownLatency
	}
	return mean.Seconds()*(0.5+load(c)) + penalty(c)
}

// ByTail scores by the 95th percentile of the latency, damped while there are few
// samples, at the present load.
func ByTail(c notch.Candidate) float64 {
	if c.Samples == 0 {
		return ByWork(c)
	}
	weight := min(1, float64(c.Samples)/sampleFloor)
	tail := weight*c.Tail.Seconds() + (1-weight)*c.Mean.Seconds()
	return tail*(0.5+load(c)) + penalty(c)
}

// New returns the named picker.
func New(name string) (notch.Picker, bool) {
	p, ok := pickers[name]
	return p, ok
}

// Names lists the pickers, the default first.
func Names() []string { return []string{"work", "tail", "load", "all", "two", "random"} }

var pickers = map[string]notch.Picker{
	"work":   Scored{Draws: 6, Score: ByWork},
	"tail":   Scored{Draws: 6, Score: ByTail},
	"load":   Scored{Draws: 6, Score: ByLoad},
	"all":    Scored{Score: ByWork},
	"two":    Scored{Draws: 2, Score: ByWork},
	"random": Random{},
}
