package batch

import (
	"slices"

	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// Snapshot implements [notch.ReplicatedPart].
func (p Part) Snapshot() notch.PartSnapshot {
	snap := notch.BatchSnapshot{Seq: p.seq}
	for it := p.jobs.Iterator(); !it.Done(); {
		_, j, _ := it.Next()
		snap.Jobs = append(snap.Jobs, j)
	}
	for it := p.tasks.Iterator(); !it.Done(); {
		_, t, _ := it.Next()
		snap.Tasks = append(snap.Tasks, t)
	}
	for it := p.workers.Iterator(); !it.Done(); {
		_, w, _ := it.Next()
		snap.Workers = append(snap.Workers, w)
	}
	for it := p.runTimes.Iterator(); !it.Done(); {
		_, t, _ := it.Next()
		snap.Times = append(snap.Times, t)
	}
	return snap
}

// restore replaces the replicated state by that of a snapshot.
func (s *stepper) restore(snap notch.Snapshot) {
	for _, part := range snap.Images {
		if b, ok := part.(notch.BatchSnapshot); ok {
			s.restoreBatch(b)
		}
	}
	s.planNeeded = true
}

// restoreBatch restores the stored state and recomputes the state derived from it:
// reservations, queues and the list of ended jobs.
func (s *stepper) restoreBatch(snap notch.BatchSnapshot) {
	s.Part = s.withoutReplicatedState()
	s.seq = snap.Seq
	for _, w := range snap.Workers {
		s.workers = s.workers.Set(w.Name, w.WithUsed(notch.Resources{}))
	}
	for _, t := range snap.Times {
		s.runTimes = s.runTimes.Set(t.Kind, t)
	}
	for _, j := range snap.Jobs {
		s.jobs = s.jobs.Set(j.Job.ID, j)
	}
	tasks := immutable.NewMapBuilder[notch.TaskID, notch.Task](nil)
	for _, t := range snap.Tasks {
		tasks.Set(t.ID, t)
		rec, _ := s.jobs.Get(t.Job)
		switch {
		case t.Phase == notch.Queued:
			s.enqueue(rec.Job, t)
		case t.Phase.Occupies():
			s.addReservation(rec.Job, t)
		}
	}
	s.tasks = tasks.Map()
	s.endedJobs = sortedEndedJobs(snap.Jobs)
}

// sortedEndedJobs lists the ids of the ended jobs, the earliest end first.
func sortedEndedJobs(jobs []notch.JobRecord) *immutable.List[string] {
	ended := slices.DeleteFunc(slices.Clone(jobs), func(j notch.JobRecord) bool { return j.Ended == 0 })
	slices.SortStableFunc(ended, func(a, b notch.JobRecord) int { return int(a.Ended.Sub(b.Ended)) })
	list := immutable.NewList[string]()
	for _, j := range ended {
		list = list.Append(j.Job.ID)
	}
	return list
}
