package batch

import (
	"slices"

	notch "tamaracknotch"
)

// updateTask replaces a task and updates the state that is derived from it: queues,
// reservations and the job's counts.
func (s *stepper) updateTask(j notch.Job, from, to notch.Task) {
	s.tasks = s.tasks.Set(to.ID, to)
	if from.Phase == to.Phase {
		return
	}
	if from.Phase == notch.Queued {
		s.dequeue(j, from)
	}
	if from.Phase.Occupies() && !to.Phase.Occupies() {
		s.removeReservation(j, from)
	}
	if !from.Phase.Occupies() && to.Phase.Occupies() {
		s.addReservation(j, to)
	}
	if to.Phase == notch.Queued {
		s.enqueue(j, to)
	}
	s.updateCounts(j, from.Phase, to)
}

// updateCounts moves a task from one phase to another in the counts of its job, and
// records the end of the job with its last task.
func (s *stepper) updateCounts(j notch.Job, from notch.TaskPhase, to notch.Task) {
	rec, _ := s.jobs.Get(j.ID)
	rec.Counts[from]--
	rec.Counts[to.Phase]++
	ended := rec.Counts[notch.Finished] + rec.Counts[notch.Failed] + rec.Counts[notch.Cancelled]
	if ended == j.Tasks && rec.Ended == 0 {
		rec.Ended = to.Since
		s.endedJobs = s.endedJobs.Append(j.ID)
	}
	s.jobs = s.jobs.Set(j.ID, rec)
	s.count("tasks-"+to.Phase.String(), 1)
}

// addReservation reserves the resources of a task on its worker and in the team's quota.
func (s *stepper) addReservation(j notch.Job, t notch.Task) {
	w, _ := s.workers.Get(t.Worker)
	s.workers = s.workers.Set(w.Name, w.WithUsed(w.Used.Plus(j.Size)))
	ids, _ := s.onWorker.Get(t.Worker)
	s.onWorker = s.onWorker.Set(t.Worker, append(slices.Clip(ids), t.ID))
	s.addToUsed(j, j.Size)
}

// removeReservation undoes addReservation.
func (s *stepper) removeReservation(j notch.Job, t notch.Task) {
	w, _ := s.workers.Get(t.Worker)
	s.workers = s.workers.Set(w.Name, w.WithUsed(w.Used.Minus(j.Size)))
	ids, _ := s.onWorker.Get(t.Worker)
	s.onWorker = s.onWorker.Set(t.Worker, slices.DeleteFunc(slices.Clone(ids), func(id notch.TaskID) bool { return id == t.ID }))
	s.addToUsed(j, notch.Resources{}.Minus(j.Size))
}
