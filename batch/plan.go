package batch

import (
	"cmp"
	"slices"

	notch "tamaracknotch"
)

// Limits of one plan.
const (
	maxPlacementsPerPlan = 1000 // in one proposal, over all pools
	maxSkippedTasks      = 16   // of one team, before the plan leaves the team out
	oldestPickInterval   = 8    // one in this many picks takes the oldest task of a team
)

// planDue reports whether a plan may run now. At most one proposal is in progress at a
// time, so that each plan is based on the outcome of the previous one.
func (s *stepper) planDue() bool {
	if !s.hasLeaderLease() || s.now.Sub(s.plannedAt) < s.timing.PlanPeriod {
		return false
	}
	return s.placementProposedAt == 0 || s.now.Sub(s.placementProposedAt) >= s.timing.Repropose
}

// plan proposes placements for queued tasks. It runs on every tick, and between ticks
// if the state has changed.
func (s *stepper) plan() {
	s.plannedAt, s.planNeeded = s.now, false
	var placements []notch.Placement
	for _, pool := range s.tables.Pools {
		if pool.Kind == notch.WorkerPool {
			placements = append(placements, s.planPool(pool, maxPlacementsPerPlan-len(placements))...)
		}
	}
	if len(placements) == 0 {
		return
	}
	s.placementProposedAt = s.now
	s.planNeeded = len(placements) == maxPlacementsPerPlan
	s.propose(notch.PlaceTasks{Placements: placements})
}

// teamPlan is the queue of one team during a plan.
type teamPlan struct {
	team    notch.Team
	queue   teamQueue
	skipped int     // tasks that could not be placed
	next    taskKey // the search for the next task starts here
}

// planPool returns up to limit placements for one pool. The next task is always one of
// the team that nextTeam chooses.
func (s *stepper) planPool(pool notch.Pool, limit int) []notch.Placement {
	teams := s.teamPlans(pool)
	if len(teams) == 0 {
		return nil
	}
	views := s.workerViews(pool)
	placer := s.policy.Placer(s.interference)
	var out []notch.Placement
	for len(out) < limit && len(teams) > 0 {
		i := nextTeam(teams, views.totalSize)
		t, j, ok := s.nextTask(&teams[i])
		if !ok {
			teams = slices.Delete(teams, i, i+1)
			continue
		}
		if pl, ok := s.tryPlace(&teams[i], t, j, views, placer); ok {
			out = append(out, pl)
			continue
		}
		if teams[i].skipped++; teams[i].skipped >= maxSkippedTasks {
			teams = slices.Delete(teams, i, i+1)
		}
	}
	return out
}

// teamPlans returns the teams of a pool that have queued tasks. In a pool without
// configured teams, every team has weight 1 and no quota.
func (s *stepper) teamPlans(pool notch.Pool) []teamPlan {
	var out []teamPlan
	add := func(team notch.Team) {
		if q, ok := s.queues.Get(pool.Name + "/" + team.Name); ok && q.byKey.Len() > 0 {
			out = append(out, teamPlan{team: team, queue: q, next: taskKey{}})
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

// nextTeam returns the index of the team whose next task has the most urgent class.
// Among teams of the same class it takes the one with the smallest weighted share.
func nextTeam(teams []teamPlan, total notch.Resources) int {
	best := 0
	for i := range teams {
		a, b := teams[i].nextClass(), teams[best].nextClass()
		if a < b || (a == b && teams[i].weightedShare(total) < teams[best].weightedShare(total)) {
			best = i
		}
	}
	return best
}

// weightedShare returns the team's dominant share of the pool, divided by its weight.
func (t *teamPlan) weightedShare(total notch.Resources) float64 {
	return t.queue.used.Share(total) / float64(max(t.team.Weight, 1))
}

// nextClass returns the class of the team's next task, or a class after all others if
// the team has none.
func (t *teamPlan) nextClass() notch.Class {
	it := t.queue.byKey.Iterator()
	it.Seek(t.next)
	key, _, ok := it.Next()
	if !ok {
		return notch.BestEffort + 1
	}
	return key.class
}

// nextTask returns the team's next task after the skipped ones. Every
// oldestPickInterval picks it returns the oldest task instead, if none was skipped yet,
// so that short tasks don't starve long ones.
func (s *stepper) nextTask(tp *teamPlan) (notch.Task, notch.Job, bool) {
	s.pickCount++
	var id notch.TaskID
	if tp.skipped == 0 && s.pickCount%oldestPickInterval == 0 {
		it := tp.queue.bySeq.Iterator()
		_, queued, ok := it.Next()
		if !ok {
			return notch.Task{}, notch.Job{}, false
		}
		id = queued.id
	} else {
		it := tp.queue.byKey.Iterator()
		it.Seek(tp.next)
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

// tryPlace places a task, or skips it if the quota is used up or no worker has enough
// free capacity.
func (s *stepper) tryPlace(tp *teamPlan, t notch.Task, j notch.Job, views *workerViews, placer notch.Placer) (notch.Placement, bool) {
	queued, _ := tp.queue.bySeq.Get(t.Seq)
	next := queued.key
	next.seq++
	if exceedsQuota(tp.queue.used.Plus(j.Size), tp.team.Quota) {
		tp.next = next
		return notch.Placement{}, false
	}
	views.failedOn = t.FailedOn
	i := placer.Place(notch.PlaceRequest{Task: t, Job: j, Size: j.Size}, views, s.seed+s.pickCount)
	if i < 0 {
		tp.next = next
		s.preemptOrReserve(t, j, views)
		return notch.Placement{}, false
	}
	w := views.assign(i, j)
	if w.Quarantined {
		s.probedAt = s.probedAt.Set(w.Name, s.now)
	}
	tp.queue = tp.queue.withoutTask(t)
	tp.queue.used = tp.queue.used.Plus(j.Size)
	return notch.Placement{Task: t.ID, Epoch: t.Epoch, Worker: w.Name, Incarnation: w.Incarnation}, true
}

// preemptOrReserve helps a task that currently fits on no worker. For an urgent task it
// evicts others, if that suffices, and reserves their worker. For a task that has waited
// for timing.ReserveAfter it reserves the worker with the largest free share. A reserved
// worker is excluded from the rest of the plan.
func (s *stepper) preemptOrReserve(t notch.Task, j notch.Job, views *workerViews) {
	if j.Class == notch.Urgent && s.policy.Preempt {
		if i, victims := s.victims(j, views); i >= 0 {
			views.exclude(i)
			if len(victims) > 0 {
				s.evict(victims)
			}
			return
		}
	}
	if s.now.Sub(t.Since) >= s.timing.ReserveAfter {
		if i := views.mostFree(j.Size); i >= 0 {
			views.exclude(i)
		}
	}
}

// classEvictionCost is the fixed cost of an eviction by the class of the evicted task,
// in seconds. The work that is lost is added to it.
var classEvictionCost = [...]float64{notch.Urgent: 0, notch.Normal: 60, notch.BestEffort: 1}

// victims returns the index of the worker on which a task of the job can be placed at
// the lowest eviction cost, and the tasks to evict there. Resources of tasks that are
// already stopping count as free. The index is -1 if no evictions suffice.
func (s *stepper) victims(j notch.Job, views *workerViews) (int, []notch.Task) {
	best, lowestCost := -1, 0.0
	var bestVictims []notch.Task
	for i := range views.Len() {
		if views.excluded[i] {
			continue
		}
		v := views.At(i)
		free := v.Free.Plus(s.stoppingResources(v.Worker.Name))
		var victims []notch.Task
		cost := 0.0
		for _, t := range s.evictable(v.Worker.Name) {
			if j.Size.Fits(free) {
				break
			}
			rec, _ := s.jobs.Get(t.Job)
			free = free.Plus(rec.Job.Size)
			cost += classEvictionCost[rec.Job.Class] + s.lostWork(rec.Job, t)
			victims = append(victims, t)
		}
		if j.Size.Fits(free) && (best < 0 || cost < lowestCost) {
			best, lowestCost, bestVictims = i, cost, victims
		}
	}
	return best, bestVictims
}

// stoppingResources returns the reservations of the stopping tasks on a worker.
func (s *stepper) stoppingResources(worker string) notch.Resources {
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

// evictable lists the tasks on a worker that may be evicted for an urgent task: the
// least urgent class first, and within a class the task that loses the least work.
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
		return cmp.Or(-cmp.Compare(ja.Job.Class, jb.Job.Class), cmp.Compare(s.lostWork(ja.Job, a), s.lostWork(jb.Job, b)))
	})
	return out
}
