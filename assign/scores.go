package assign

import (
	"cmp"
	"slices"
	"time"

	notch "tamaracknotch"
)

// The reserve for short tasks. Long-running tasks hold their processors until they are
// cancelled and could otherwise take all of them, while a short task delivers more for the
// processor time that it takes.
const (
	reserveThreshold  = 0.8             // reserved share of all processors from which on the reserve is kept
	shortTaskReserve  = 0.2             // share of an agent
	maxWaitForReserve = 2 * time.Second // a long-running task that has waited this long may take the reserve
)

// agentScores implements [notch.AgentScores] for ByScore.
type agentScores struct {
	model        notch.ColocationModel
	stage        notch.Stage
	agents       notch.AgentViews
	scores       []agentScore       // of the candidates
	coefficients []imageCoefficient // those that were looked up
}

// agentScore is the score of one agent.
type agentScore struct {
	agent     int  // index
	fits      bool // the agent can run the task
	value     float64
	freeShare float64 // share of the agent that stays unreserved once the task runs there
}

// imageCoefficient is the interference coefficient of a service image and the image of the stage.
type imageCoefficient struct {
	service string
	value   float64
}

// scoreOf returns the score of agent i.
func (s *agentScores) scoreOf(i int) agentScore {
	v, ok := s.agents.At(i)
	if !ok {
		return agentScore{agent: i}
	}
	out := s.scoreView(v)
	out.agent = i
	return out
}

// Rescore implements [notch.AgentScores].
func (s *agentScores) Rescore(i int) { s.scores[s.position(i)] = s.scoreOf(i) }

// position returns the index of the first score of an agent whose index is at least i.
func (s *agentScores) position(i int) int {
	at, _ := slices.BinarySearchFunc(s.scores, i, func(a agentScore, i int) int { return cmp.Compare(a.agent, i) })
	return at
}

// Next implements [notch.AgentScores]. Of the agents with the highest score, it returns the
// first one from a seeded index on.
func (s *agentScores) Next(waited time.Duration, seed uint64) int {
	minFreeShare := s.minFreeShare(waited)
	first := s.position(notch.SeededIndex(seed, s.agents.Len()))
	best := bestOf(nil, s.scores[first:], minFreeShare)
	best = bestOf(best, s.scores[:first], minFreeShare)
	if best == nil {
		return -1
	}
	return best.agent
}

// bestOf returns the first of the highest scores among best, which may be nil, and scores.
func bestOf(best *agentScore, scores []agentScore, minFreeShare float64) *agentScore {
	for i := range scores {
		a := &scores[i]
		if a.fits && a.freeShare >= minFreeShare && (best == nil || a.value > best.value) {
			best = a
		}
	}
	return best
}

// minFreeShare returns the share of an agent that must stay unreserved.
func (s *agentScores) minFreeShare(waited time.Duration) float64 {
	if s.stage.Lasts && waited < maxWaitForReserve && s.agents.ReservedShare() >= reserveThreshold {
		return shortTaskReserve
	}
	return 0
}

// HasCapacity implements [notch.AgentScores].
func (s *agentScores) HasCapacity() bool {
	return slices.ContainsFunc(s.scores, func(a agentScore) bool { return a.fits })
}
