package assign

import (
	"time"

	notch "tamaracknotch"
)

// FirstFit takes the first agent that has enough free resources.
type FirstFit struct{}

// Score implements [notch.RunPlacer].
func (FirstFit) Score(st notch.Stage, agents notch.AgentViews) notch.AgentScores {
	return &firstFit{stage: st, agents: agents, candidates: agents.Candidates()}
}

// firstFit implements [notch.AgentScores] for FirstFit. Candidates that were passed don't fit: their
// free resources don't grow during a plan.
type firstFit struct {
	stage      notch.Stage
	agents     notch.AgentViews
	candidates []int // indexes of agents, without those that were passed
}

// Next implements [notch.AgentScores].
func (f *firstFit) Next(time.Duration, uint64) int {
	for ; len(f.candidates) > 0; f.candidates = f.candidates[1:] {
		if v, ok := f.agents.At(f.candidates[0]); ok && f.stage.Reserved().Fits(v.Free) {
			return f.candidates[0]
		}
	}
	return -1
}

// Rescore implements [notch.AgentScores].
func (*firstFit) Rescore(int) {}

// HasCapacity implements [notch.AgentScores].
func (f *firstFit) HasCapacity() bool { return len(f.candidates) > 0 }
