package flow

import (
	"slices"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/graph"
)

// maxPlacements bounds what one plan proposes.
const maxPlacements = 500

// ready is a task that could start now.
type ready struct {
	ref   notch.TaskRef
	after uint64 // number of its latest run
	job   *graph.Job
	stage notch.Stage
	rank  int64
	idle  notch.Time // when it last came to be without a run
}

// plan proposes placements. One proposal is under way at a time, so that each plan
// knows the outcome of the one before.
func (s *stepper) plan() {
	if !s.acts() || s.now.Sub(s.planned) < s.timing.Plan {
		return
	}
	if s.placing != 0 && s.now.Sub(s.placing) < s.timing.Repropose {
		return
	}
	s.planned, s.dirty = s.now, false
	placed := s.assign(s.readyTasks())
	if len(placed) == 0 {
		return
	}
	s.placing = s.now
	s.propose(notch.PlaceRuns{Token: s.leading.Term, Placements: placed})
}

// readyTasks lists the tasks that could start now, in the order of the policy.
func (s *stepper) readyTasks() []ready {
	var out []ready
	for it := s.open.Iterator(); !it.Done(); {
		id, _, _ := it.Next()
		j, ok := s.jobs.Get(id)
		if !ok || j.State.Ended() {
			continue
		}
		for g := range j.Groups() {
			if j.Left(g) > 0 && j.Due(g, s.wall) {
				out = s.readyOf(out, j, g)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b ready) int {
		if a.rank < b.rank {
			return -1
		}
		return min(1, int(a.rank-b.rank))
	})
	return out
}

// readyOf adds the tasks of one group.
func (s *stepper) readyOf(out []ready, j *graph.Job, group int) []ready {
	st := j.Stage(group)
	rank, ranked := int64(0), false
	for i, t := range j.Tasks[group] {
		if t.State != notch.TaskOpen || len(t.Runs) > 0 {
			continue
		}
		if !ranked {
			rank, ranked = s.policy.Order.Rank(s.readyTask(j, group), s.now), true
		}
		out = append(out, ready{ref: j.Ref(group, i), after: t.Latest, job: j, stage: st, rank: rank, idle: t.Idle})
	}
	return out
}

func (s *stepper) readyTask(j *graph.Job, group int) notch.ReadyTask {
	terms, st := s.terms(j), j.Stage(group)
	whole := j.Chain(0, declared)
	return notch.ReadyTask{
		Priority: terms.Priority, Lasts: st.Lasts, Fills: st.Fills, Accepted: j.At,
		Due:       j.At.Add(time.Duration(terms.Stretch*float64(whole)) + terms.Target),
		Remaining: j.Chain(group, declared),
	}
}

func declared(st notch.Stage) time.Duration { return st.Estimate }

// assign chooses an agent for each task that fits somewhere.
func (s *stepper) assign(tasks []ready) []notch.RunPlacement {
	pools := map[string]*views{}
	placer := s.policy.Placer(s.interplay)
	full := map[notch.TaskRef]bool{} // stages of which a task fitted nowhere
	var out []notch.RunPlacement
	for i, t := range tasks {
		stage := notch.TaskRef{Flow: t.ref.Flow, Round: t.ref.Round, Stage: t.ref.Stage}
		pool := s.poolOf(t.job)
		if full[stage] || pool.Standby {
			continue
		}
		v := pools[pool.Name]
		if v == nil {
			v = s.viewsOf(pool)
			pools[pool.Name] = v
		}
		v.ask(stage, t.stage)
		k := placer.Place(notch.RunRequest{Task: t.ref, Stage: t.stage, Waited: s.now.Sub(t.idle)}, v, s.seed+uint64(i))
		if k < 0 {
			full[stage] = true
			continue
		}
		out = append(out, notch.RunPlacement{Task: t.ref, After: t.after, Life: v.take(k)})
		if len(out) == maxPlacements {
			s.dirty = true
			break
		}
	}
	return out
}

// poolOf returns the pool that the job's route leads to, or led to last.
func (s *stepper) poolOf(j *graph.Job) notch.Pool {
	pool, ok := s.tables.Pool(s.terms(j).Pool)
	if !ok {
		return notch.Pool{Name: j.Flow.Pool, Standby: true}
	}
	return pool
}
