package batch

import (
	"slices"

	notch "tamaracknotch"
)

// workerViews lists the workers of a pool that accept tasks, as a placer sees them.
// The tasks that the current plan has assigned count as placed. It is used for one plan
// or query and is mutable, unlike the state.
type workerViews struct {
	part       Part
	workers    []notch.Worker
	excluded   []bool
	addedKinds map[int][]string // by index of the worker: kinds of the tasks that this plan has assigned
	failedOn   []string         // workers on which the task that is being placed has failed
	totalSize  notch.Resources  // of all registered workers of the pool
}

func (s *stepper) workerViews(pool notch.Pool) *workerViews {
	v := &workerViews{part: s.Part, addedKinds: map[int][]string{}}
	for it := s.workers.Iterator(); !it.Done(); {
		_, w, _ := it.Next()
		if w.Pool != pool.Name {
			continue
		}
		v.totalSize = v.totalSize.Plus(w.Size)
		if s.acceptsTasks(pool, w) {
			v.workers = append(v.workers, w)
		}
	}
	v.excluded = make([]bool, len(v.workers))
	return v
}

// acceptsTasks reports whether new tasks may be placed on w. The pool has to admit
// the worker. The worker must not be leaving, must have sent a heartbeat within the last
// half of a lease, and the release of its tasks must not have been proposed. A worker in
// quarantine is accepted only if a probe is due.
func (s *stepper) acceptsTasks(pool notch.Pool, w notch.Worker) bool {
	if pool.IsLeaving(w.Name, w.Name) || !pool.Admits(w.Name) {
		return false
	}
	session, ok := s.sessions.Get(workerIncarnation{w.Name, w.Incarnation})
	if !ok || session.lastHeardAt == 0 || session.releaseProposedAt != 0 || s.now.Sub(session.lastHeardAt) > s.timing.Lease/2 {
		return false
	}
	return !w.Quarantined || s.mayProbe(w)
}

// mayProbe reports whether a quarantined worker may get one task as a probe. A success
// ends the quarantine.
func (s *stepper) mayProbe(w notch.Worker) bool {
	at, ok := s.probedAt.Get(w.Name)
	ids, _ := s.onWorker.Get(w.Name)
	if len(ids) > 0 || (ok && s.now.Sub(at) < s.timing.ProbeInterval) {
		return false
	}
	return true
}

// Len implements [notch.WorkerViews].
func (v *workerViews) Len() int { return len(v.workers) }

// At implements [notch.WorkerViews]. An excluded worker has negative free resources,
// so that no task fits.
func (v *workerViews) At(i int) notch.WorkerView {
	w := v.workers[i]
	view := notch.WorkerView{Worker: w, Free: w.Free()}
	if v.excluded[i] || slices.Contains(v.failedOn, w.Name) {
		view.Free = notch.Resources{MilliCPU: -1, MemoryMB: -1, Accelerators: -1}
		return view
	}
	if session, ok := v.part.sessions.Get(workerIncarnation{w.Name, w.Incarnation}); ok {
		view.Pressure = session.usage.Pressure
	}
	ids, _ := v.part.onWorker.Get(w.Name)
	for _, id := range ids {
		t, _ := v.part.tasks.Get(id)
		rec, _ := v.part.jobs.Get(t.Job)
		view.Kinds = append(view.Kinds, rec.Job.Kind)
	}
	view.Kinds = append(view.Kinds, v.addedKinds[i]...)
	return view
}

// assign assigns a task of the job to worker i for the rest of the plan. A quarantined
// worker gets no more than this task.
func (v *workerViews) assign(i int, j notch.Job) notch.Worker {
	w := v.workers[i]
	v.workers[i] = w.WithUsed(w.Used.Plus(j.Size))
	v.addedKinds[i] = append(v.addedKinds[i], j.Kind)
	if w.Quarantined {
		v.exclude(i)
	}
	return w
}

// exclude keeps worker i from getting tasks for the rest of the plan.
func (v *workerViews) exclude(i int) { v.excluded[i] = true }

// mostFree returns the index of the worker with the largest free share among those that
// are large enough for size when empty, or -1.
func (v *workerViews) mostFree(size notch.Resources) int {
	best, highestShare := -1, 0.0
	for i, w := range v.workers {
		if v.excluded[i] || !size.Fits(w.Size.Minus(w.Services)) || slices.Contains(v.failedOn, w.Name) {
			continue
		}
		if freeShare := 2 + w.Free().Share(w.Size); best < 0 || freeShare > highestShare {
			best, highestShare = i, freeShare
		}
	}
	return best
}
