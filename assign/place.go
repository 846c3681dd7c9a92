package assign

import (
	"time"

	notch "tamaracknotch"
)

// Roomiest spreads: it takes the agent on which the task leaves the largest share
// of the processors and the memory unreserved. Tasks that serve are packed instead,
// so that some agents are left without them; tasks that fill go where most
// processors are unused and where they disturb least.
type Roomiest struct {
	Interplay notch.Interplay
}

// What tasks that last leave to short ones: whoever comes to stay could otherwise take
// all there is, and short tasks are worth more for the time that they take.
const (
	crowded      = 0.8             // of all processors: from here on something is kept
	keptForShort = 0.2             // of an agent
	patience     = 2 * time.Second // after which a task that lasts takes this too
)

// The weights of a place, in shares of an agent.
const (
	idleServing = 0.6 // of what tasks that serve reserve, that they leave unused
	wrongRack   = 1.0 // of a place away from the task's data
	placeMargin = 1.6 // times the headroom that loads take has to be spare
	spareWeight = 0.7 // of the headroom that is left to tasks that serve, up to 1
	sameImage   = 1.0 // of a place beside tasks that serve, of the same image
	otherImage  = 0.7 // of each other image that serves there, against it
)

// Place implements [notch.RunPlacer].
func (p Roomiest) Place(r notch.RunRequest, as notch.AgentViews, seed uint64) int {
	best, most := -1, 0.0
	n := as.Len()
	keep := 0.0
	if r.Stage.Lasts && r.Waited < patience && reserved(as) >= crowded {
		keep = keptForShort
	}
	first := notch.Pick(seed, n)
	for k := range n {
		i := (first + k) % n
		v, ok := as.At(i)
		if !ok || !r.Stage.Reserved().Fits(v.Free) {
			continue
		}
		score, ok := p.score(r.Stage, v, keep)
		if ok && (best < 0 || score > most) {
			best, most = i, score
		}
	}
	return best
}

// reserved returns the share of all processors that is reserved.
func reserved(as notch.AgentViews) float64 {
	var free, whole int64
	for i := range as.Len() {
		v, _ := as.At(i)
		free += v.Free.MilliCPU
		whole += v.Agent.Size.MilliCPU
	}
	return 1 - float64(free)/float64(max(1, whole))
}

// score rates a place by what is left of the agent once the task runs there, if it may.
// A share of the agent has to be kept.
func (p Roomiest) score(st notch.Stage, v notch.AgentView, keep float64) (float64, bool) {
	left := v.Free.Minus(st.Reserved())
	whole := float64(max(1, v.Agent.Size.MilliCPU))
	score := float64(left.MilliCPU) / whole
	memory := float64(left.MemoryMB) / float64(max(1, v.Agent.Size.MemoryMB))
	score = min(score, memory)
	switch {
	case score < keep:
		return 0, false
	case st.Fills:
		left, any := p.spareWith(v, notch.Load{Image: st.Image, Share: float64(st.Size.MilliCPU) / whole})
		unused := float64(v.Free.MilliCPU-v.Filling-st.Size.MilliCPU) + idleServing*float64(v.Serving)
		if any && left < 0 || unused < 0 {
			return 0, false
		}
		score = min(unused/whole, memory)
		if any {
			score += spareWeight * (min(left, 1) - 1)
		}
	case st.Target > 0:
		score = company(st.Image, v.Served) - score
	}
	if st.Rack != "" && st.Rack != v.Agent.Rack {
		score -= wrongRack
	}
	return score, true
}

// company rates the tasks that serve on an agent as neighbours of one more. Those of
// one image suffer from the same images that fill, so that others may go there.
func company(image string, served []notch.Served) float64 {
	score := 0.0
	for _, o := range served {
		if o.Image == image {
			score += sameImage
		} else {
			score -= otherImage
		}
	}
	return score
}

// spareWith returns the headroom that is left with one more load, of the task that serves
// there and has least.
func (p Roomiest) spareWith(v notch.AgentView, more notch.Load) (left float64, any bool) {
	for _, o := range v.Served {
		taken := p.Interplay.Weight(o.Image, more.Image) * more.Share
		for _, l := range v.Filled {
			taken += p.Interplay.Weight(o.Image, l.Image) * l.Share
		}
		spare := o.Spare - placeMargin*taken
		if !any || spare < left {
			left, any = spare, true
		}
	}
	return left, any
}

// FirstFit takes the first agent that has room.
type FirstFit struct{}

// Place implements [notch.RunPlacer].
func (FirstFit) Place(r notch.RunRequest, as notch.AgentViews, _ uint64) int {
	for i := range as.Len() {
		if v, ok := as.At(i); ok && r.Stage.Reserved().Fits(v.Free) {
			return i
		}
	}
	return -1
}
