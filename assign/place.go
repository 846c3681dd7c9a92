package assign

import notch "tamaracknotch"

// ByScore takes the agent with the highest score. It spreads tasks: the score is the share of
// processors and memory that stays unreserved. Service tasks are packed instead, so that some
// agents stay without them. Opportunistic tasks go where most processors are unused and where
// they take the least latency headroom.
type ByScore struct {
	ColocationModel notch.ColocationModel
}

// The terms of the score of an agent, in shares of the agent unless noted otherwise.
const (
	serviceIdleShare    = 0.6 // share of the processors reserved by service tasks that counts as unused
	wrongRackPenalty    = 1.0 // for an agent in another rack than the task's data
	headroomMargin      = 1.6 // factor by which the spare headroom must exceed what the loads take
	spareHeadroomWeight = 0.7 // of the spare headroom that remains, up to 1
	sameImageBonus      = 1.0 // for each service image on the agent that equals the image of the task
	otherImagePenalty   = 0.7 // for each other service image on the agent
)

// Score implements [notch.RunPlacer].
func (p ByScore) Score(st notch.Stage, agents notch.AgentViews) notch.AgentScores {
	candidates := agents.Candidates()
	s := &agentScores{model: p.ColocationModel, stage: st, agents: agents, scores: make([]agentScore, 0, len(candidates))}
	for _, i := range candidates {
		s.scores = append(s.scores, s.scoreOf(i))
	}
	return s
}

// scoreView scores an agent by the resources and headroom that remain once a task of the stage
// runs there. It leaves the index of the agent unset.
func (s *agentScores) scoreView(v *notch.AgentView) agentScore {
	st := &s.stage
	if !st.Reserved().Fits(v.Free) {
		return agentScore{}
	}
	remaining := v.Free.Minus(st.Reserved())
	milliCPU := float64(max(1, v.Agent.Size.MilliCPU))
	memory := float64(remaining.MemoryMB) / float64(max(1, v.Agent.Size.MemoryMB))
	freeShare := min(float64(remaining.MilliCPU)/milliCPU, memory)
	score := freeShare
	switch {
	case st.Fills:
		unused := float64(v.Free.MilliCPU-v.OpportunisticMilliCPU-st.Size.MilliCPU) + serviceIdleShare*float64(v.ServiceMilliCPU)
		if unused < 0 {
			return agentScore{}
		}
		spare, found := s.minSpareHeadroom(v.ServiceImages, float64(st.Size.MilliCPU)/milliCPU)
		if found && spare < 0 {
			return agentScore{}
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
	return agentScore{fits: true, value: score, freeShare: freeShare}
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

// minSpareHeadroom returns the least spare headroom of the service images on an agent when one
// more task of the stage runs there, which uses the given share of the processors. It returns
// false if the agent has no service tasks.
func (s *agentScores) minSpareHeadroom(services []notch.ServiceImage, cpuShare float64) (least float64, found bool) {
	for i := range services {
		o := &services[i]
		spare := o.SpareHeadroom - headroomMargin*(o.TakenHeadroom+s.coefficient(o.Image)*cpuShare)
		if !found || spare < least {
			least, found = spare, true
		}
	}
	return least, found
}

// coefficient returns the interference coefficient of a service image and the image of the stage.
func (s *agentScores) coefficient(service string) float64 {
	for i := range s.coefficients {
		if c := &s.coefficients[i]; c.service == service {
			return c.value
		}
	}
	c := imageCoefficient{service: service, value: s.model.InterferenceCoefficient(service, s.stage.Image)}
	s.coefficients = append(s.coefficients, c)
	return c.value
}
