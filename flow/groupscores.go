package flow

import (
	"time"

	notch "tamaracknotch"
)

// groupScores chooses agents for the tasks of one group. It is used during one plan only.
type groupScores struct {
	views  *agentViews
	score  func() notch.AgentScores
	scores notch.AgentScores
	apart  apartScores // for suspected tasks
}

// scoreGroup scores the agents for the tasks of a stage, for which the views are set.
func (p *planner) scoreGroup(st notch.Stage, v *agentViews) *groupScores {
	score := func() notch.AgentScores { return p.placer.Score(st, v) }
	return &groupScores{views: v, score: score, scores: score(), apart: apartScores{views: v, score: score}}
}

// next returns the index of the best agent for a task, or -1 if it fits on none, which is remembered.
func (g *groupScores) next(t notch.WorkflowTask, waited time.Duration, seed uint64) int {
	i := -1
	if len(t.Suspects) > 0 {
		i = g.apart.next(t, waited, seed)
	}
	if i < 0 {
		i = g.scores.Next(waited, seed)
	}
	if i < 0 && g.views.widen() {
		g.scores, g.apart.scores = g.score(), nil
		i = g.scores.Next(waited, seed)
	}
	if i < 0 {
		g.views.addShortage(g.scores)
	}
	return i
}

// placed updates the scores after a task was placed on agent i.
func (g *groupScores) placed(t notch.WorkflowTask, i int) {
	a := &g.views.agents[i]
	a.hostsSuspect = a.hostsSuspect || len(t.Suspects) > 0
	g.scores.Rescore(i)
	g.apart.rescore(i)
}
