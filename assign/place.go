package assign

import notch "tamaracknotch"

// Roomiest spreads: it takes the agent on which the task leaves the largest share
// of the processors and the memory unreserved. Tasks that serve are packed instead,
// so that some agents are left without them; tasks that fill go where most
// processors are unused and where they disturb least.
type Roomiest struct {
	Harm notch.PairHarm
}

// The weights of a place, in shares of an agent.
const (
	riskWeight  = 2.0  // of the risk that a task that fills disturbs one that serves
	idleServing = 0.45 // of what tasks that serve reserve, that they leave unused
	wrongRack   = 1.0  // of a place away from the task's data
)

// Place implements [notch.RunPlacer].
func (p Roomiest) Place(r notch.RunRequest, as notch.AgentViews, seed uint64) int {
	best, most := -1, 0.0
	n := as.Len()
	first := notch.Pick(seed, n)
	for k := range n {
		i := (first + k) % n
		v, ok := as.At(i)
		if !ok || !r.Stage.Reserved().Fits(v.Free) {
			continue
		}
		if score := p.score(r.Stage, v); best < 0 || score > most {
			best, most = i, score
		}
	}
	return best
}

// score rates a place by what is left of the agent once the task runs there.
func (p Roomiest) score(st notch.Stage, v notch.AgentView) float64 {
	left := v.Free.Minus(st.Reserved())
	whole := float64(max(1, v.Agent.Size.MilliCPU))
	cpu := float64(left.MilliCPU) / whole
	memory := float64(left.MemoryMB) / float64(max(1, v.Agent.Size.MemoryMB))
	score := min(cpu, memory)
	switch {
	case st.Fills:
		unused := float64(left.MilliCPU-v.Filling) + idleServing*float64(v.Serving)
		score = min(unused/whole, memory) - riskWeight*p.risk(st, v)
	case st.Target > 0:
		score = -score - riskWeight*p.risk(st, v)
	}
	if st.Rack != "" && st.Rack != v.Agent.Rack {
		score -= wrongRack
	}
	return score
}

// risk estimates the chance that the task and those on the agent disturb each other.
func (p Roomiest) risk(st notch.Stage, v notch.AgentView) float64 {
	spared := 1.0
	for _, image := range v.Served {
		if st.Fills {
			spared *= 1 - p.Harm.Risk(image, st.Image)
		}
	}
	for _, image := range v.Filled {
		if st.Target > 0 {
			spared *= 1 - p.Harm.Risk(st.Image, image)
		}
	}
	return 1 - spared
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
