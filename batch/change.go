package batch

import (
	"slices"

	notch "tamaracknotch"
)

// change replaces a task and keeps everything that is derived from it.
func (s *stepper) change(j notch.Job, from, to notch.Task) {
	s.tasks = s.tasks.Set(to.ID, to)
	if from.Phase == to.Phase {
		return
	}
	if from.Phase == notch.Queued {
		s.dequeue(j, from)
	}
	if from.Phase.Occupies() && !to.Phase.Occupies() {
		s.vacate(j, from)
	}
	if !from.Phase.Occupies() && to.Phase.Occupies() {
		s.occupy(j, to)
	}
	if to.Phase == notch.Queued {
		s.enqueue(j, to)
	}
	s.recount(j, from.Phase, to)
}

func (s *stepper) recount(j notch.Job, from notch.TaskPhase, to notch.Task) {
	rec, _ := s.jobs.Get(j.ID)
	rec.Counts[from]--
	rec.Counts[to.Phase]++
	over := rec.Counts[notch.Finished] + rec.Counts[notch.Failed] + rec.Counts[notch.Cancelled]
	if over == j.Tasks && rec.Ended == 0 {
		rec.Ended = to.Since
		s.ended = s.ended.Append(j.ID)
	}
	s.jobs = s.jobs.Set(j.ID, rec)
	s.count("tasks-"+to.Phase.String(), 1)
}

func (s *stepper) occupy(j notch.Job, t notch.Task) {
	w, _ := s.workers.Get(t.Worker)
	s.workers = s.workers.Set(w.Name, w.WithUsed(w.Used.Plus(j.Size)))
	ids, _ := s.onWorker.Get(t.Worker)
	s.onWorker = s.onWorker.Set(t.Worker, append(slices.Clip(ids), t.ID))
	s.useQuota(j, j.Size)
}

func (s *stepper) vacate(j notch.Job, t notch.Task) {
	w, _ := s.workers.Get(t.Worker)
	s.workers = s.workers.Set(w.Name, w.WithUsed(w.Used.Minus(j.Size)))
	ids, _ := s.onWorker.Get(t.Worker)
	s.onWorker = s.onWorker.Set(t.Worker, slices.DeleteFunc(slices.Clone(ids), func(id notch.TaskID) bool { return id == t.ID }))
	s.useQuota(j, notch.Resources{}.Minus(j.Size))
}
