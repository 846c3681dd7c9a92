package batch

import (
	"cmp"
	"slices"

	notch "tamaracknotch"
)

// The bounds of one plan.
const (
	maxPlacements = 1000 // proposed at once
	lookAhead     = 16   // tasks of a team that are tried when its first doesn't fit
	oldestEvery   = 8    // each so many picks takes a team's oldest task
)

// plan proposes placements. One proposal is under way at a time, so that each
// plan knows the outcome of the one before.
func (s *stepper) plan(tick bool) {
	if !s.acts() || (!s.dirty && !tick) || s.now.Sub(s.planned) < s.timing.PlanPeriod {
		return
	}
	if s.placing != 0 && s.now.Sub(s.placing) < s.timing.Repropose {
		return
	}
	s.planned, s.dirty = s.now, false
	var all []notch.Placement
	for _, pool := range s.tables.Pools {
		if pool.Kind == notch.WorkerPool {
			all = append(all, s.planPool(pool, maxPlacements-len(all))...)
		}
	}
	if len(all) == 0 {
		return
	}
	s.placing = s.now
	s.dirty = len(all) == maxPlacements
	s.propose(notch.PlaceTasks{Placements: all})
}

// teamPlan is a team's queue during a plan.
type teamPlan struct {
	team  notch.Team
	queue teamQueue
	tried int // tasks passed over
	from  taskKey
}

// planPool fills one pool. Teams take turns by their weighted share.
func (s *stepper) planPool(pool notch.Pool, limit int) []notch.Placement {
	teams := s.teamPlans(pool)
	if len(teams) == 0 {
		return nil
	}
	views := s.views(pool)
	placer := s.policy.Placer(s.harm)
	var out []notch.Placement
	for len(out) < limit && len(teams) > 0 {
		i := nextTeam(teams, views.total)
		t, j, ok := s.nextTask(&teams[i])
		if !ok {
			teams = slices.Delete(teams, i, i+1)
			continue
		}
		if pl, ok := s.tryPlace(&teams[i], t, j, views, placer); ok {
			out = append(out, pl)
			continue
		}
		if teams[i].tried++; teams[i].tried >= lookAhead {
			teams = slices.Delete(teams, i, i+1)
		}
	}
	return out
}

func (s *stepper) teamPlans(pool notch.Pool) []teamPlan {
	var out []teamPlan
	add := func(team notch.Team) {
		if q, ok := s.queues.Get(pool.Name + "/" + team.Name); ok && q.byBand.Len() > 0 {
			out = append(out, teamPlan{team: team, queue: q, from: taskKey{}})
		}
	}
	for _, team := range pool.Teams {
		add(team)
	}
	if len(pool.Teams) == 0 {
		prefix := pool.Name + "/"
		for it := s.queues.Iterator(); !it.Done(); {
			name, _, _ := it.Next()
			if len(name) > len(prefix) && name[:len(prefix)] == prefix {
				add(notch.Team{Name: name[len(prefix):], Weight: 1})
			}
		}
		add(notch.Team{Weight: 1})
	}
	return out
}

// nextTeam returns the team whose first task has the most pressing class, and of
// these the one with the smallest share for its weight.
func nextTeam(teams []teamPlan, total notch.Resources) int {
	best := 0
	for i := range teams {
		a, b := teams[i].headClass(), teams[best].headClass()
		if a < b || (a == b && teams[i].share(total) < teams[best].share(total)) {
			best = i
		}
	}
	return best
}

func (t *teamPlan) share(total notch.Resources) float64 {
	return t.queue.used.Share(total) / float64(max(t.team.Weight, 1))
}

// headClass returns the class of the team's next task, or one below all if there is
// none.
func (t *teamPlan) headClass() notch.Class {
	it := t.queue.byBand.Iterator()
	it.Seek(t.from)
	key, _, ok := it.Next()
	if !ok {
		return notch.BestEffort + 1
	}
	return key.class
}

// nextTask returns the team's next task after those passed over, at times its
// oldest, so that long tasks aren't starved by short ones.
func (s *stepper) nextTask(tp *teamPlan) (notch.Task, notch.Job, bool) {
	s.picks++
	var id notch.TaskID
	if tp.tried == 0 && s.picks%oldestEvery == 0 {
		it := tp.queue.bySeq.Iterator()
		_, place, ok := it.Next()
		if !ok {
			return notch.Task{}, notch.Job{}, false
		}
		id = place.id
	} else {
		it := tp.queue.byBand.Iterator()
		it.Seek(tp.from)
		_, first, ok := it.Next()
		if !ok {
			return notch.Task{}, notch.Job{}, false
		}
		id = first
	}
	t, _ := s.tasks.Get(id)
	rec, _ := s.jobs.Get(t.Job)
	return t, rec.Job, true
}

// tryPlace places a task, or passes it over.
func (s *stepper) tryPlace(tp *teamPlan, t notch.Task, j notch.Job, views *views, placer notch.Placer) (notch.Placement, bool) {
	place, _ := tp.queue.bySeq.Get(t.Seq)
	pass := place.key
	pass.seq++
	if exceeds(tp.queue.used.Plus(j.Size), tp.team.Quota) {
		tp.from = pass
		return notch.Placement{}, false
	}
	views.avoid = t.FailedOn
	i := placer.Place(notch.PlaceRequest{Task: t, Job: j, Size: j.Size}, views, s.seed+s.picks)
	if i < 0 {
		tp.from = pass
		s.makeRoom(t, j, views)
		return notch.Placement{}, false
	}
	w := views.take(i, j)
	tp.queue = tp.queue.withoutTask(t)
	tp.queue.used = tp.queue.used.Plus(j.Size)
	return notch.Placement{Task: t.ID, Epoch: t.Epoch, Worker: w.Name, Incarnation: w.Incarnation}, true
}

// makeRoom helps a task that fits nowhere now: an urgent one by evictions, one
// that has waited long by keeping a worker free for it.
func (s *stepper) makeRoom(t notch.Task, j notch.Job, views *views) {
	if j.Class == notch.Urgent && s.policy.Preempt {
		if i, victims := s.victims(j, views); i >= 0 {
			views.exclude(i)
			if len(victims) > 0 {
				s.evict(victims)
			}
			return
		}
	}
	if s.now.Sub(t.Since) >= s.timing.Reserve {
		if i := views.roomiest(j.Size); i >= 0 {
			views.exclude(i)
		}
	}
}

// evictionCost is the cost of an eviction by class, in seconds of lost work.
var evictionCost = [...]float64{notch.Urgent: 0, notch.Normal: 60, notch.BestEffort: 1}

// victims returns the worker where room for the job costs the least work, and the
// tasks to stop there. Room that earlier stops will leave counts.
func (s *stepper) victims(j notch.Job, views *views) (int, []notch.Task) {
	best, cheapest := -1, 0.0
	var chosen []notch.Task
	for i := range views.Len() {
		if views.excluded[i] {
			continue
		}
		v := views.At(i)
		free := v.Free.Plus(s.stoppingOn(v.Worker.Name))
		var victims []notch.Task
		cost := 0.0
		for _, t := range s.evictable(v.Worker.Name) {
			if j.Size.Fits(free) {
				break
			}
			rec, _ := s.jobs.Get(t.Job)
			free = free.Plus(rec.Job.Size)
			cost += evictionCost[rec.Job.Class] + s.lost(rec.Job, t)
			victims = append(victims, t)
		}
		if j.Size.Fits(free) && (best < 0 || cost < cheapest) {
			best, cheapest, chosen = i, cost, victims
		}
	}
	return best, chosen
}

func (s *stepper) stoppingOn(worker string) notch.Resources {
	var sum notch.Resources
	ids, _ := s.onWorker.Get(worker)
	for _, id := range ids {
		if t, _ := s.tasks.Get(id); t.Phase == notch.Stopping {
			rec, _ := s.jobs.Get(t.Job)
			sum = sum.Plus(rec.Job.Size)
		}
	}
	return sum
}

// evictable lists a worker's tasks that urgent ones may displace: those of the
// least pressing class first, and of these the least work lost.
func (s *stepper) evictable(worker string) []notch.Task {
	var out []notch.Task
	ids, _ := s.onWorker.Get(worker)
	for _, id := range ids {
		t, _ := s.tasks.Get(id)
		rec, _ := s.jobs.Get(t.Job)
		if rec.Job.Class != notch.Urgent && (t.Phase == notch.Running || t.Phase == notch.Placed) {
			out = append(out, t)
		}
	}
	slices.SortStableFunc(out, func(a, b notch.Task) int {
		ja, _ := s.jobs.Get(a.Job)
		jb, _ := s.jobs.Get(b.Job)
		return cmp.Or(-cmp.Compare(ja.Job.Class, jb.Job.Class), cmp.Compare(s.lost(ja.Job, a), s.lost(jb.Job, b)))
	})
	return out
}
