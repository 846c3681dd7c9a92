package assign

import (
	"time"

	notch "tamaracknotch"
)

// FirstFit takes the first agent that has enough free resources.
type FirstFit struct{}

// Score implements [notch.RunPlacer].
func (FirstFit) Score(st notch.Stage, agents notch.AgentViews) notch.AgentScores {
	return &firstFit{stage: st, agents: agents}
}

// firstFit implements [notch.AgentScores] for FirstFit. The agents before the index next don't fit:
// their free resources don't grow during a plan.
type firstFit struct {
	stage  notch.Stage
	agents notch.AgentViews
	next   int
}

// Next implements [notch.AgentScores].
func (f *firstFit) Next(time.Duration, uint64) int {
	for ; f.next < f.agents.Len(); f.next++ {
		if v, ok := f.agents.At(f.next); ok && f.stage.Reserved().Fits(v.Free) {
			return f.next
		}
	}
	return -1
}

// Rescore implements [notch.AgentScores].
func (*firstFit) Rescore(int) {}

// HasCapacity implements [notch.AgentScores].
func (f *firstFit) HasCapacity() bool { return f.next < f.agents.Len() }
