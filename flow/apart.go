package flow

import (
	"time"

	notch "tamaracknotch"
)

// apartScores chooses agents for the suspected tasks of a group: those on which no other suspected
// task started recently, so that the next crash tells the cause. It is used during one plan only.
type apartScores struct {
	views  *agentViews
	score  func() notch.AgentScores
	scores notch.AgentScores // nil: none was needed yet
}

// next returns the index of the best agent, or -1 if there is none.
func (a *apartScores) next(waited time.Duration, seed uint64) int {
	a.views.apart = true
	defer func() { a.views.apart = false }()
	if a.scores == nil {
		a.scores = a.score()
	}
	return a.scores.Next(waited, seed)
}

// rescore updates the score of an agent after a placement.
func (a *apartScores) rescore(i int) {
	if a.scores == nil {
		return
	}
	a.views.apart = true
	defer func() { a.views.apart = false }()
	a.scores.Rescore(i)
}
