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

// next returns the index of the best agent for a task, or -1 if there is none. An agent that crashed
// under the task before is chosen only if no other one has room: it may crash for a reason of its own.
func (a *apartScores) next(t notch.WorkflowTask, waited time.Duration, seed uint64) int {
	i := a.nextApart(waited, seed)
	if i >= 0 && !a.views.hasCrashedUnder(i, t) {
		return i
	}
	a.views.avoidedBy = &t
	defer func() { a.views.avoidedBy, a.views.apart = nil, false }()
	for _, a.views.apart = range []bool{true, false} {
		if i = a.score().Next(waited, seed); i >= 0 {
			return i
		}
	}
	return -1
}

// nextApart returns the index of the best agent without a suspected task, or -1.
func (a *apartScores) nextApart(waited time.Duration, seed uint64) int {
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
