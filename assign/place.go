package assign

import notch "tamaracknotch"

// Roomiest spreads: it takes the agent on which the task leaves the largest share
// of the processors and the memory unreserved. Tasks that fill go where most
// processors are left over, and away from tasks that serve.
type Roomiest struct{}

// servingPenalty is how much room, as a share of an agent, one task that serves
// counts against a place for a task that fills.
const servingPenalty = 0.25

// Place implements [notch.RunPlacer].
func (Roomiest) Place(r notch.RunRequest, as notch.AgentViews, seed uint64) int {
	best, most := -1, 0.0
	n := as.Len()
	first := notch.Pick(seed, n)
	for k := range n {
		i := (first + k) % n
		v, ok := as.At(i)
		if !ok || !r.Stage.Reserved().Fits(v.Free) {
			continue
		}
		if score := room(r.Stage, v); best < 0 || score > most {
			best, most = i, score
		}
	}
	return best
}

// room scores what is left of an agent once the task runs there.
func room(st notch.Stage, v notch.AgentView) float64 {
	left := v.Free.Minus(st.Reserved())
	cpu := float64(left.MilliCPU-v.Filling) / float64(max(1, v.Agent.Size.MilliCPU))
	memory := float64(left.MemoryMB) / float64(max(1, v.Agent.Size.MemoryMB))
	score := min(cpu, memory)
	if st.Fills {
		score -= servingPenalty * float64(v.Serving)
	}
	if st.Rack != "" && st.Rack != v.Agent.Rack {
		score -= 1
	}
	return score
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
