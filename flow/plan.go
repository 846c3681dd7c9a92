package flow

import (
	"slices"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/graph"
)

// The limits of one plan. What it didn't reach, it leaves to the next one.
const (
	minPlacements = 150     // with room for fewer starts and for less than minRoomShare, a plan waits for answers or for urgentPlanInterval
	minRoomShare  = 0.4     // of the limit of starts that are placed and not answered
	maxScores     = 100_000 // agents that are scored, once for each group
)

// urgentPlanInterval is the time between plans for starts that go before those that are queued, while there is room
// for no others.
const urgentPlanInterval = 30 * time.Millisecond

// The pause after a plan in proportion to what it examined. It leaves most of the control thread
// to other work, however much there is to plan.
const (
	pausePerGroup       = 4 * time.Microsecond // that is ready
	pausePerDueGroup    = 32 * time.Nanosecond // of the workflows that wait
	pausePerAgentView   = time.Microsecond
	pausePerAgentImages = 30 * time.Microsecond // of a view, if a placer asked for its images
	pausePerScore       = 400 * time.Nanosecond
)

// planDue reports whether a plan is due. Only one proposal of placements is under way at a time, so that each
// plan knows the outcome of the one before.
func (p Part) planDue(now notch.Time) bool {
	if !p.needsPlan || !p.mayOrderAt(now) || now.Sub(p.plannedAt) < p.timing.PlanInterval+p.planPause {
		return false
	}
	return p.placementsProposedAt == 0 || now.Sub(p.placementsProposedAt) >= p.timing.ReproposeInterval
}

// plan proposes placements. It is due.
func (s *stepper) plan() {
	s.startsUnderWay = s.startsUnderWay.at(s.now)
	if !s.mayPlaceMany() && (s.startQueue.len() == 0 || s.now.Sub(s.plannedAt) < urgentPlanInterval) {
		return
	}
	if s.placementsProposedAt != 0 {
		s.planMemory = planMemory{} // the last plan counted on placements that weren't committed
	}
	s.plannedAt, s.needsPlan = s.now, false
	placed := s.assign(s.readyGroups(s.planScope()))
	if len(placed) == 0 {
		return
	}
	s.placementsProposedAt = s.now
	s.propose(notch.PlaceRuns{Token: s.leadership.Term, Placements: placed})
}

// mayPlaceMany reports whether a plan may place as many starts of any priority as are worth a plan.
func (s *stepper) mayPlaceMany() bool {
	room := s.startRoom(s.startQueue.len())
	return room >= min(minPlacements, int(minRoomShare*float64(s.startsUnderWay.placedLimit())))
}

// startRoom returns how many more starts may be placed, given how many are queued that go before them.
func (s *stepper) startRoom(queued int) int {
	return s.startsUnderWay.placedLimit() - s.startsUnderWay.count() - queued
}

// planScope is which groups a plan may place. Their ranking costs what the others needn't.
type planScope struct {
	onlyUrgent bool         // only tasks are placed that go before queued ones
	queued     queuedCounts // starts that were placed by earlier plans
	length     int          // of the queue
}

// planScope returns the scope of a plan that is made now.
func (s *stepper) planScope() planScope {
	return planScope{onlyUrgent: !s.mayPlaceMany(), queued: s.startQueue.counts(), length: s.startQueue.len()}
}

// includes reports whether tasks of a place in the queue may be placed.
func (c planScope) includes(startPriority int) bool {
	return !c.onlyUrgent || c.queued.upTo(startPriority) < c.length
}

// planner is a stepper during a plan.
type planner struct {
	*stepper
	placer     notch.RunPlacer
	pools      map[string]*agentViews // by name
	placed     []notch.RunPlacement
	ready      readyGroups
	agentsRead int // number of agents that were read to make views
	made       notch.PlanMade
}

// assign chooses an agent for each task that fits on one, and reports the plan.
func (s *stepper) assign(ready readyGroups) []notch.RunPlacement {
	p := planner{stepper: s, placer: s.policy.Placer(s.colocationModel), pools: map[string]*agentViews{}, ready: ready}
	for _, g := range ready.groups {
		p.made.Ready += g.tasks
	}
	p.placeGroups(ready.groups)
	p.placeStarving(ready.groups)
	s.needsPlan = p.made.Incomplete
	s.planPause = time.Duration(len(ready.groups))*pausePerGroup + time.Duration(ready.examined)*pausePerDueGroup + p.pauseForAgents()
	s.planMemory = p.remembered()
	p.report()
	return p.placed
}

// placeGroups places the groups in their order until half of maxScores is used. The other half
// goes to the groups from the one on that the plan before didn't reach, so that every group has
// its turn and the most urgent ones never wait for it.
func (p *planner) placeGroups(groups []readyGroup) {
	n := p.placeUntil(groups, maxScores/2)
	rest := groups[n:]
	first := max(0, slices.IndexFunc(rest, func(g readyGroup) bool { return g.key() == p.planResumesAt }))
	rest = slices.Concat(rest[first:], rest[:first])
	n = p.placeUntil(rest, maxScores)
	switch {
	case n < len(rest):
		p.planResumesAt, p.made.Incomplete = rest[n].key(), true
	case p.ready.leftOut:
		p.made.Incomplete = true
	default:
		p.planResumesAt = readyGroupKey{}
	}
}

// placeUntil places groups until the plan has reached a number of scores or its limit of placements. It
// returns how many groups it dealt with.
func (p *planner) placeUntil(groups []readyGroup, scores int) int {
	for i, g := range groups {
		if p.made.AgentsExamined >= scores || p.roomFor(g) <= 0 {
			return i
		}
		if pool := p.poolOf(g.workflow); !pool.Standby {
			p.placeGroup(g, p.viewsOf(pool))
		}
	}
	return len(groups)
}

// roomFor returns how many more tasks of a group may be placed. What the plan has placed before goes before it.
func (p *planner) roomFor(g readyGroup) int {
	place := p.startPriority(g.workflow, g.workflow.Stage(g.group).Lasts, g.interrupted)
	if !p.ready.scope.includes(place) {
		return 0
	}
	return p.startRoom(p.ready.scope.queued.upTo(place) + len(p.placed))
}

// report emits what the plan looked at, unless no task could start.
func (p *planner) report() {
	p.made.Placed = len(p.placed)
	if p.made.Ready > 0 {
		p.out = append(p.out, p.made)
	}
}

// pauseForAgents returns the part of the pause that pays for looking at agents.
func (p *planner) pauseForAgents() time.Duration {
	out := time.Duration(p.agentsRead)*pausePerAgentView + time.Duration(p.made.AgentsExamined)*pausePerScore
	for _, v := range p.pools {
		out += time.Duration(v.withImages) * pausePerAgentImages
	}
	return out
}

// remembered returns what the next plan may know.
func (p *planner) remembered() planMemory {
	m := planMemory{plan: p.planMemory.plan + 1, pools: map[string]poolMemory{}}
	for name, before := range p.planMemory.pools {
		if _, ok := p.tables.Pool(name); ok {
			m.pools[name] = before // unless this plan looked at it
		}
	}
	for name, v := range p.pools {
		m.pools[name] = v.remembered(p.made.Incomplete)
	}
	return m
}

// viewsOf returns the views of a pool's agents.
func (p *planner) viewsOf(pool notch.Pool) *agentViews {
	v := p.pools[pool.Name]
	if v == nil {
		v = p.agentViewsOf(pool)
		p.agentsRead += p.sessions.Len()
		p.pools[pool.Name] = v
	}
	return v
}

// placeGroup places the tasks of a group until one fits on no agent.
func (p *planner) placeGroup(g readyGroup, v *agentViews) {
	st := g.workflow.Stage(g.group)
	if !v.setStage(g.ref(), st) {
		p.made.StagesWithoutAgent++
		return
	}
	examined := v.examined
	scores := p.scoreGroup(st, v)
	waited := p.now.Sub(g.workflow.At)
	seed, room := p.seed+uint64(g.ahead), p.roomFor(g)
	g.eachTask(func(ref notch.TaskRef, t notch.WorkflowTask) bool {
		if p.heldBack(t) {
			return true
		}
		i := scores.next(t, waited, seed)
		if i < 0 {
			p.made.StagesWithoutAgent++
			return false
		}
		seed++
		p.placed = append(p.placed, notch.RunPlacement{Task: ref, After: t.Latest, Life: v.assign(i)})
		scores.placed(t, i)
		room--
		return room > 0
	})
	p.made.AgentsExamined += v.examined - examined
}

// poolOf returns the pool of the workflow's route. Without such a pool it returns a standby pool,
// which gets no tasks.
func (s *stepper) poolOf(w *graph.Workflow) notch.Pool {
	pool, ok := s.tables.Pool(s.routeOf(w).Pool)
	if !ok {
		return notch.Pool{Name: w.Flow.Pool, Standby: true}
	}
	return pool
}
