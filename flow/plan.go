package flow

import (
	"slices"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/graph"
)

// maxPlacements limits the number of placements that one plan proposes.
const maxPlacements = 500

// readyTask is a task that could start now.
type readyTask struct {
	ref        notch.TaskRef
	latestRun  uint64 // number; 0: the task has had no run
	workflow   *graph.Workflow
	stage      notch.Stage
	rank       int64
	noRunSince notch.Time
}

// plan proposes placements. Only one proposal is under way at a time, so that each plan knows
// the outcome of the one before.
func (s *stepper) plan() {
	if !s.mayOrder() || s.now.Sub(s.plannedAt) < s.timing.PlanInterval {
		return
	}
	if s.placementsProposedAt != 0 && s.now.Sub(s.placementsProposedAt) < s.timing.ReproposeInterval {
		return
	}
	s.plannedAt, s.needsPlan = s.now, false
	placed := s.assign(s.readyTasks())
	if len(placed) == 0 {
		return
	}
	s.placementsProposedAt = s.now
	s.propose(notch.PlaceRuns{Token: s.leadership.Term, Placements: placed})
}

// readyTasks lists the tasks that could start now, in the order of the policy.
func (s *stepper) readyTasks() []readyTask {
	var out []readyTask
	for it := s.active.Iterator(); !it.Done(); {
		id, _, _ := it.Next()
		w, ok := s.workflows.Get(id)
		if !ok || w.State.Ended() {
			continue
		}
		for g := range w.GroupCount() {
			if w.Unfinished(g) > 0 && w.Due(g, s.unixMilli) {
				out = s.appendReady(out, w, g)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b readyTask) int {
		if a.rank < b.rank {
			return -1
		}
		return min(1, int(a.rank-b.rank))
	})
	return out
}

// appendReady appends the ready tasks of one group.
func (s *stepper) appendReady(out []readyTask, w *graph.Workflow, group int) []readyTask {
	st := w.Stage(group)
	rank, ranked := int64(0), false
	for i, t := range w.Tasks[group] {
		if t.State != notch.TaskOpen || len(t.Runs) > 0 {
			continue
		}
		if !ranked {
			rank, ranked = s.policy.Order.Rank(s.rankInput(w, group), s.now), true
		}
		out = append(out, readyTask{ref: w.TaskRef(group, i), latestRun: t.Latest, workflow: w, stage: st, rank: rank, noRunSince: t.Idle})
	}
	return out
}

// rankInput describes the tasks of a group to the policy that ranks them.
func (s *stepper) rankInput(w *graph.Workflow, group int) notch.ReadyTask {
	route, st := s.routeOf(w), w.Stage(group)
	criticalPath := w.CriticalPath(0, declaredEstimate)
	return notch.ReadyTask{
		Priority: route.Priority, LongRunning: st.Lasts, Opportunistic: st.Fills, Accepted: w.At,
		Due:       w.At.Add(time.Duration(route.Stretch*float64(criticalPath)) + route.Target),
		Remaining: w.CriticalPath(group, declaredEstimate),
	}
}

func declaredEstimate(st notch.Stage) time.Duration { return st.Estimate }

// assign chooses an agent for each task that fits on one, and reports the plan.
func (s *stepper) assign(tasks []readyTask) []notch.RunPlacement {
	pools := map[string]*agentViews{}
	placer := s.policy.Placer(s.colocationModel)
	full := map[notch.TaskRef]bool{} // stages with a task that fitted on no agent
	made := notch.PlanMade{Ready: len(tasks)}
	var out []notch.RunPlacement
	for i, t := range tasks {
		stage := notch.TaskRef{Flow: t.ref.Flow, Round: t.ref.Round, Stage: t.ref.Stage}
		pool := s.poolOf(t.workflow)
		if full[stage] || pool.Standby {
			continue
		}
		v := pools[pool.Name]
		if v == nil {
			v = s.agentViewsOf(pool)
			pools[pool.Name] = v
		}
		v.setStage(stage, t.stage)
		k := placer.Place(notch.RunRequest{Task: t.ref, Stage: t.stage, Waited: s.now.Sub(t.noRunSince)}, v, s.seed+uint64(i))
		if k < 0 {
			full[stage] = true
			continue
		}
		out = append(out, notch.RunPlacement{Task: t.ref, After: t.latestRun, Life: v.assign(k)})
		if len(out) == maxPlacements {
			s.needsPlan, made.Incomplete = true, true
			break
		}
	}
	made.Placed, made.StagesWithoutAgent = len(out), len(full)
	for _, v := range pools {
		made.AgentsExamined += v.examined
	}
	if made.Ready > 0 {
		s.out = append(s.out, made)
	}
	return out
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
