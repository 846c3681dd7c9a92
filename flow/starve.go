package flow

import (
	"slices"
	"time"

	notch "tamaracknotch"
)

// A workflow starves once it has waited for starvationWait and none of its tasks has run for maxIdleTime.
const (
	starvationWait = 10 * time.Second
	maxIdleTime    = time.Second
)

// starves reports whether the workflow of a group has waited for long while none of its tasks runs. One of its
// opportunistic tasks may then start throttled, so that it goes on while others take the agents on which a task
// fits that isn't.
func (s *stepper) starves(g readyGroup) bool {
	w := g.workflow
	idleSince, idle := w.IdleSince()
	st := w.Stage(g.group)
	if !idle || !st.Fills || st.Image == "" { // without an image it can't be limited
		return false
	}
	return s.waitedFor(g) >= starvationWait && s.now.Sub(idleSince) >= maxIdleTime
}

// waitedFor returns the time since the workflow of a group was accepted or the round of the group was due.
func (s *stepper) waitedFor(g readyGroup) time.Duration {
	waited := s.now.Sub(g.workflow.At)
	if due := g.workflow.RoundDueAt(g.ref().Round); due != 0 {
		return min(waited, time.Duration(s.unixMilli-due)*time.Millisecond)
	}
	return waited
}

// placeStarving places one task of each workflow throttled that starves and of which the plan has placed none.
func (p *planner) placeStarving(groups []readyGroup) {
	groups = slices.DeleteFunc(slices.Clone(groups), func(g readyGroup) bool { return !p.starves(g) })
	if len(groups) == 0 {
		return
	}
	begun := p.placedWorkflows()
	var starving starvation
	for _, g := range groups {
		if begun[g.workflow.Flow.ID] {
			continue
		}
		if p.made.AgentsExamined >= maxScores || p.roomFor(g) <= 0 {
			p.made.Incomplete = true
			break
		}
		if pool := p.poolOf(g.workflow); !pool.Standby && p.placeThrottled(g, p.viewsOf(pool)) {
			begun[g.workflow.Flow.ID] = true
			starving.throttled++
			continue
		}
		starving.groups, starving.longestWait = starving.groups+1, max(starving.longestWait, p.waitedFor(g))
	}
	p.logStarvation(starving)
}

// starvation tells what a plan found out about the groups of starving workflows.
type starvation struct {
	throttled   int // of which a task was placed throttled
	groups      int // of which no task fits on an agent
	longestWait time.Duration
}

// starvationLogInterval is the least time between log messages about starving workflows.
const starvationLogInterval = 5 * time.Second

// logStarvation counts throttled placements, and logs that workflows starve although these are allowed.
func (s *stepper) logStarvation(v starvation) {
	s.count("plan-tasks-throttled", v.throttled)
	if v.groups == 0 || s.now.Sub(s.starvationLoggedAt) < starvationLogInterval {
		return
	}
	s.starvationLoggedAt = s.now
	s.logMessage("opportunistic tasks starve, no agent has headroom, memory or processors for them", notch.IntField("groups", v.groups),
		notch.DurationField("longest-wait", v.longestWait), notch.IntField("placed-throttled", v.throttled))
}

// placedWorkflows returns the ids of the workflows of which the plan has placed a task.
func (p *planner) placedWorkflows() map[string]bool {
	out := map[string]bool{}
	for _, pl := range p.placed {
		out[pl.Task.Flow] = true
	}
	return out
}

// placeThrottled places the first task of a group throttled. It returns false if that fits on no agent.
func (p *planner) placeThrottled(g readyGroup, v *agentViews) bool {
	v.throttled = true
	defer func() { v.throttled = false }()
	st := g.workflow.Stage(g.group).Throttled()
	if !v.setStage(g.ref(), st) {
		return false
	}
	examined := v.examined
	scores := p.scoreGroup(st, v)
	placed := false
	g.eachTask(func(ref notch.TaskRef, t notch.WorkflowTask) bool {
		if p.heldBack(t) {
			return true
		}
		i := scores.next(t, p.now.Sub(g.workflow.At), p.seed+uint64(g.ahead))
		if i >= 0 {
			p.placed = append(p.placed, notch.RunPlacement{Task: ref, After: t.Latest, Life: v.assign(i), Throttled: true})
			scores.placed(t, i)
			placed = true
		}
		return false
	})
	p.made.AgentsExamined += v.examined - examined
	return placed
}

// limitStarted limits an opportunistic task as soon as its start is confirmed. The next list of its agent, after which
// the limits of all tasks there are adapted, may be most of a second away.
func (s *stepper) limitStarted(b notch.AgentAnswered) {
	if b.Order.Kind != notch.AgentStart || b.Answer.Kind != notch.AgentOK {
		return
	}
	ref := b.Order.Run
	st, r := s.liveStage(ref)
	load := s.load(r.Life.Agent)
	if !st.Fills || r.Life != b.Life || !r.Throttled && !load.hasServiceTask() {
		return
	}
	a, known := s.agent(r.Life.Agent)
	opportunistic := load.opportunisticRuns()
	i := slices.Index(opportunistic, ref)
	if !known || i < 0 {
		return
	}
	limits := s.cpuLimits(a, opportunistic, s.serviceImages(a.ID, load))
	s.applyCPULimit(a, notch.LiveRun{Run: ref}, limits[i])
}
