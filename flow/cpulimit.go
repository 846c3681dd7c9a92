package flow

import (
	"cmp"
	"slices"

	notch "tamaracknotch"
)

// Parameters of CPU limits.
const (
	minThrottledPercent = 1   // a lower limit of a throttled task becomes 0
	unthrottledMargin   = 1.6 // factor by which the spare headroom must exceed what a throttled task takes without its limit
	serviceUnusedShare  = 0.5 // share of the processors reserved by service tasks that counts as unused
)

// loadCost is what an opportunistic task without a CPU limit takes from the other tasks of its agent.
type loadCost struct {
	headroom    []float64 // of each service image, in their order
	maxHeadroom float64
	milliCPU    int64
	throttled   bool
}

func (s *stepper) loadCostOf(a notch.Agent, services []notch.ServiceImage, ref notch.RunRef) loadCost {
	st, r := s.liveStage(ref)
	out := loadCost{headroom: make([]float64, len(services)), milliCPU: st.Size.MilliCPU, throttled: r.Throttled}
	for i, v := range services {
		out.headroom[i] = s.colocationModel.InterferenceCoefficient(v.Image, st.Image) * cpuShare(a, st.Size.MilliCPU)
		out.maxHeadroom = max(out.maxHeadroom, out.headroom[i])
	}
	return out
}

// cpuLimits returns the limit of each opportunistic task in percent.
func (s *stepper) cpuLimits(a notch.Agent, runs []notch.RunRef, services []notch.ServiceImage) []int {
	costs := make([]loadCost, len(runs))
	for i, ref := range runs {
		costs[i] = s.loadCostOf(a, services, ref)
	}
	spare := spareLoad{services: services, milliCPU: s.unusedMilliCPU(a)}
	return spare.limits(costs)
}

// unusedMilliCPU returns the processors of an agent that its tasks neither reserve nor count on.
func (s *stepper) unusedMilliCPU(a notch.Agent) int64 {
	load := s.load(a.ID)
	return a.Size.MilliCPU - load.reserved.MilliCPU + int64(serviceUnusedShare*float64(load.serviceMilliCPU)) - load.opportunisticMilliCPU
}

// spareLoad is what opportunistic tasks may take on an agent.
type spareLoad struct {
	services []notch.ServiceImage
	milliCPU int64 // for throttled tasks, beyond what they count on
}

// limits returns the limit of each task in percent, and subtracts in place what the tasks take. Throttled tasks get
// what they count on first, and what the others leave last. Among equals, the tasks with the lowest cost get their
// processors first, as long as every service task has spare headroom.
func (l *spareLoad) limits(costs []loadCost) []int {
	limits := make([]int, len(costs))
	order := make([]int, len(costs))
	for i := range costs {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, k int) int { return cmp.Compare(costs[i].maxHeadroom, costs[k].maxHeadroom) })
	for _, i := range order {
		if costs[i].throttled {
			limits[i] = l.allot(costs[i], minThrottledPercent, notch.ThrottledPercent)
		}
	}
	for _, i := range order {
		if !costs[i].throttled {
			limits[i] = l.allot(costs[i], minLimitPercent, fullLimitPercent)
		}
	}
	for _, i := range order {
		if limits[i] > 0 && costs[i].throttled {
			limits[i] += l.allotRest(costs[i], fullLimitPercent-limits[i])
		}
	}
	return limits
}

// allot returns the limit in percent that the spare headroom allows one more task, at most the given one and 0 below the
// least one. It subtracts in place what the task takes.
func (l *spareLoad) allot(c loadCost, least, most int) int {
	fraction := float64(most) / fullLimitPercent
	for i, v := range l.services {
		fraction = min(fraction, v.SpareHeadroom/max(0.001, c.headroom[i]))
	}
	percent := int(fraction * fullLimitPercent)
	if percent < least {
		return 0
	}
	for i, v := range l.services {
		l.services[i].SpareHeadroom = max(0, v.SpareHeadroom-fraction*c.headroom[i])
	}
	return percent
}

// allotRest returns by how much the limit of a throttled task rises: to that of others, if it would fit so beside
// the others by the margin of a placement, or by 0. It subtracts in place what the task takes.
func (l *spareLoad) allotRest(c loadCost, rest int) int {
	fraction := float64(rest) / fullLimitPercent
	milliCPU := c.milliCPU * int64(rest) / fullLimitPercent
	if milliCPU > l.milliCPU {
		return 0
	}
	for i, v := range l.services {
		if v.SpareHeadroom < unthrottledMargin*fraction*c.headroom[i] {
			return 0
		}
	}
	for i := range l.services {
		l.services[i].SpareHeadroom -= fraction * c.headroom[i]
	}
	l.milliCPU -= milliCPU
	return rest
}
