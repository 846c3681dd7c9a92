package assign

import (
	"time"

	notch "tamaracknotch"
)

// ByScore takes the agent with the highest score. It spreads tasks: the score is the share of
// processors and memory that stays unreserved. Service tasks are packed instead, so that some
// agents stay without them. Opportunistic tasks go where most processors are unused and where
// they take the least latency headroom.
type ByScore struct {
	ColocationModel notch.ColocationModel
}

// The reserve for short tasks. Long-running tasks hold their processors until they are
// cancelled and could otherwise take all of them, while a short task delivers more for the
// processor time that it takes.
const (
	reserveThreshold  = 0.8             // reserved share of all processors from which on the reserve is kept
	shortTaskReserve  = 0.2             // share of an agent
	maxWaitForReserve = 2 * time.Second // a long-running task that has waited this long may take the reserve
)

// The terms of the score of an agent, in shares of the agent unless noted otherwise.
const (
	serviceIdleShare    = 0.6 // share of the processors reserved by service tasks that counts as unused
	wrongRackPenalty    = 1.0 // for an agent in another rack than the task's data
	headroomMargin      = 1.6 // factor by which the spare headroom must exceed what the loads take
	spareHeadroomWeight = 0.7 // of the spare headroom that remains, up to 1
	sameImageBonus      = 1.0 // for each service image on the agent that equals the image of the task
	otherImagePenalty   = 0.7 // for each other service image on the agent
)

// Place implements [notch.RunPlacer].
func (p ByScore) Place(r notch.RunRequest, as notch.AgentViews, seed uint64) int {
	best, bestScore := -1, 0.0
	n := as.Len()
	minFreeShare := 0.0
	if r.Stage.Lasts && r.Waited < maxWaitForReserve && reservedShare(as) >= reserveThreshold {
		minFreeShare = shortTaskReserve
	}
	first := notch.SeededIndex(seed, n)
	for k := range n {
		i := (first + k) % n
		v, ok := as.At(i)
		if !ok || !r.Stage.Reserved().Fits(v.Free) {
			continue
		}
		score, ok := p.score(r.Stage, v, minFreeShare)
		if ok && (best < 0 || score > bestScore) {
			best, bestScore = i, score
		}
	}
	return best
}

// reservedShare returns the share of all processors that is reserved.
func reservedShare(as notch.AgentViews) float64 {
	var free, total int64
	for i := range as.Len() {
		v, _ := as.At(i)
		free += v.Free.MilliCPU
		total += v.Agent.Size.MilliCPU
	}
	return 1 - float64(free)/float64(max(1, total))
}

// score rates an agent by the resources and headroom that remain once the task runs there.
// It returns false if the task may not run there, or if less than the share minFreeShare would
// remain.
func (p ByScore) score(st notch.Stage, v notch.AgentView, minFreeShare float64) (float64, bool) {
	remaining := v.Free.Minus(st.Reserved())
	milliCPU := float64(max(1, v.Agent.Size.MilliCPU))
	score := float64(remaining.MilliCPU) / milliCPU
	memory := float64(remaining.MemoryMB) / float64(max(1, v.Agent.Size.MemoryMB))
	score = min(score, memory)
	switch {
	case score < minFreeShare:
		return 0, false
	case st.Fills:
		spare, found := p.minSpareHeadroom(v, notch.OpportunisticLoad{Image: st.Image, CPUShare: float64(st.Size.MilliCPU) / milliCPU})
		unused := float64(v.Free.MilliCPU-v.OpportunisticMilliCPU-st.Size.MilliCPU) + serviceIdleShare*float64(v.ServiceMilliCPU)
		if found && spare < 0 || unused < 0 {
			return 0, false
		}
		score = min(unused/milliCPU, memory)
		if found {
			score += spareHeadroomWeight * (min(spare, 1) - 1)
		}
	case st.Target > 0:
		score = serviceMixScore(st.Image, v.ServiceImages) - score
	}
	if st.Rack != "" && st.Rack != v.Agent.Rack {
		score -= wrongRackPenalty
	}
	return score, true
}

// serviceMixScore rates an agent for one more service task by the service tasks that run
// there. Tasks of one image are disturbed by the same opportunistic images, so that other
// opportunistic images can still be colocated with them.
func serviceMixScore(image string, services []notch.ServiceImage) float64 {
	score := 0.0
	for _, o := range services {
		if o.Image == image {
			score += sameImageBonus
		} else {
			score -= otherImagePenalty
		}
	}
	return score
}

// minSpareHeadroom returns the least spare headroom of the service tasks on an agent when one
// more load runs there. It returns false if the agent has no service tasks.
func (p ByScore) minSpareHeadroom(v notch.AgentView, more notch.OpportunisticLoad) (least float64, found bool) {
	for _, o := range v.ServiceImages {
		taken := p.ColocationModel.InterferenceCoefficient(o.Image, more.Image) * more.CPUShare
		for _, l := range v.OpportunisticLoads {
			taken += p.ColocationModel.InterferenceCoefficient(o.Image, l.Image) * l.CPUShare
		}
		spare := o.SpareHeadroom - headroomMargin*taken
		if !found || spare < least {
			least, found = spare, true
		}
	}
	return least, found
}

// FirstFit takes the first agent that has enough free resources.
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
