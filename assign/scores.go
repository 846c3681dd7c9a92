package assign

import (
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
	scores       []agentScore
	coefficients []imageCoefficient // those that were looked up

	// Sums over all agents:
	freeMilliCPU  int64
	totalMilliCPU int64
}

// agentScore is the score of one agent.
type agentScore struct {
	fits         bool // the agent can run the task
	value        float64
	freeShare    float64 // share of the agent that stays unreserved once the task runs there
	freeMilliCPU int64
	milliCPU     int64
}

// imageCoefficient is the interference coefficient of a service image and the image of the stage.
type imageCoefficient struct {
	service string
	value   float64
}

// Rescore implements [notch.AgentScores].
func (s *agentScores) Rescore(i int) {
	v, ok := s.agents.At(i)
	var next agentScore
	if ok {
		next = s.score(v)
	}
	next.freeMilliCPU, next.milliCPU = v.Free.MilliCPU, v.Agent.Size.MilliCPU
	s.freeMilliCPU += next.freeMilliCPU - s.scores[i].freeMilliCPU
	s.totalMilliCPU += next.milliCPU - s.scores[i].milliCPU
	s.scores[i] = next
}

// Next implements [notch.AgentScores]. Of the agents with the highest score, it returns the
// first one from a seeded index on.
func (s *agentScores) Next(waited time.Duration, seed uint64) int {
	minFreeShare := s.minFreeShare(waited)
	first := notch.SeededIndex(seed, len(s.scores))
	best := s.best(-1, first, len(s.scores), minFreeShare)
	return s.best(best, 0, first, minFreeShare)
}

// best returns the agent with the highest score among the agent soFar, which may be -1, and those
// from start to end-1.
func (s *agentScores) best(soFar, start, end int, minFreeShare float64) int {
	for i := start; i < end; i++ {
		a := &s.scores[i]
		if a.fits && a.freeShare >= minFreeShare && (soFar < 0 || a.value > s.scores[soFar].value) {
			soFar = i
		}
	}
	return soFar
}

// minFreeShare returns the share of an agent that must stay unreserved.
func (s *agentScores) minFreeShare(waited time.Duration) float64 {
	reservedShare := 1 - float64(s.freeMilliCPU)/float64(max(1, s.totalMilliCPU))
	if s.stage.Lasts && waited < maxWaitForReserve && reservedShare >= reserveThreshold {
		return shortTaskReserve
	}
	return 0
}

// HasCapacity implements [notch.AgentScores].
func (s *agentScores) HasCapacity() bool {
	return slices.ContainsFunc(s.scores, func(a agentScore) bool { return a.fits })
}
