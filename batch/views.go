package batch

import (
	"slices"

	notch "tamaracknotch"
)

// views shows the workers of a pool that take work to a placer, with what the
// present plan has already assigned. It lives during one plan only.
type views struct {
	s        *stepper
	workers  []notch.Worker
	excluded []bool
	kinds    map[int][]string // added by this plan
	avoid    []string         // workers that the task in question failed on
	total    notch.Resources  // of all workers of the pool
}

func (s *stepper) views(pool notch.Pool) *views {
	v := &views{s: s, kinds: map[int][]string{}}
	for it := s.workers.Iterator(); !it.Done(); {
		_, w, _ := it.Next()
		if w.Pool != pool.Name {
			continue
		}
		v.total = v.total.Plus(w.Size)
		if s.takesWork(pool, w) {
			v.workers = append(v.workers, w)
		}
	}
	v.excluded = make([]bool, len(v.workers))
	return v
}

// takesWork reports whether new tasks may be placed on w.
func (s *stepper) takesWork(pool notch.Pool, w notch.Worker) bool {
	if pool.IsLeaving(w.Name, w.Name) || !pool.Admits(w.Name) {
		return false
	}
	b, ok := s.beats.Get(attempt{w.Name, w.Incarnation})
	if !ok || b.heard == 0 || b.released != 0 || s.now.Sub(b.heard) > s.timing.Lease/2 {
		return false
	}
	return !w.Quarantined || s.mayProbe(w)
}

// mayProbe reports whether a quarantined worker may get one task to prove itself.
func (s *stepper) mayProbe(w notch.Worker) bool {
	at, ok := s.probed.Get(w.Name)
	ids, _ := s.onWorker.Get(w.Name)
	if len(ids) > 0 || (ok && s.now.Sub(at) < s.timing.Probe) {
		return false
	}
	return true
}

// Len implements [notch.WorkerViews].
func (v *views) Len() int { return len(v.workers) }

// At implements [notch.WorkerViews]. An excluded worker has no room.
func (v *views) At(i int) notch.WorkerView {
	w := v.workers[i]
	view := notch.WorkerView{Worker: w, Free: w.Free()}
	if v.excluded[i] || slices.Contains(v.avoid, w.Name) {
		view.Free = notch.Resources{MilliCPU: -1, MemoryMB: -1, Accelerators: -1}
		return view
	}
	if b, ok := v.s.beats.Get(attempt{w.Name, w.Incarnation}); ok {
		view.Pressure = b.usage.Pressure
	}
	ids, _ := v.s.onWorker.Get(w.Name)
	for _, id := range ids {
		t, _ := v.s.tasks.Get(id)
		rec, _ := v.s.jobs.Get(t.Job)
		view.Kinds = append(view.Kinds, rec.Job.Kind)
	}
	view.Kinds = append(view.Kinds, v.kinds[i]...)
	return view
}

// take assigns a task of the job to worker i.
func (v *views) take(i int, j notch.Job) notch.Worker {
	w := v.workers[i]
	v.workers[i] = w.WithUsed(w.Used.Plus(j.Size))
	v.kinds[i] = append(v.kinds[i], j.Kind)
	if w.Quarantined {
		v.s.probed = v.s.probed.Set(w.Name, v.s.now)
		v.exclude(i)
	}
	return w
}

func (v *views) exclude(i int) { v.excluded[i] = true }

// roomiest returns the worker that could hold size and has the most room.
func (v *views) roomiest(size notch.Resources) int {
	best, most := -1, 0.0
	for i, w := range v.workers {
		if v.excluded[i] || !size.Fits(w.Size.Minus(w.Services)) || slices.Contains(v.avoid, w.Name) {
			continue
		}
		if room := 2 + w.Free().Share(w.Size); best < 0 || room > most {
			best, most = i, room
		}
	}
	return best
}
