package batch

import (
	"fmt"

	notch "tamaracknotch"
)

// answer tells a front end about jobs or workers.
func (s *stepper) answer(b notch.QuestionArrived) {
	if !s.leading.Leading {
		return
	}
	var v notch.View
	switch b.Question.Kind {
	case notch.AskJobs:
		for it := s.jobs.Iterator(); !it.Done(); {
			_, rec, _ := it.Next()
			v.Jobs = append(v.Jobs, rec)
		}
	case notch.AskJob:
		v = s.jobView(b.Question.Name)
	case notch.AskWorkers:
		for it := s.workers.Iterator(); !it.Done(); {
			_, w, _ := it.Next()
			v.Workers = append(v.Workers, w)
		}
	default:
		return
	}
	s.emit(notch.QuestionAnswered{Origin: b.Origin, Ticket: b.Ticket, View: v})
}

func (s *stepper) jobView(id string) notch.View {
	rec, ok := s.jobs.Get(id)
	if !ok {
		return notch.View{}
	}
	v := notch.View{Jobs: []notch.JobRecord{rec}}
	for i := range rec.Job.Tasks {
		if t, ok := s.tasks.Get(notch.NewTaskID(id, i)); ok {
			v.Tasks = append(v.Tasks, t)
		}
	}
	if rec.Counts[notch.Queued] > 0 {
		v.Waits = s.waits(rec.Job)
	}
	return v
}

// waits says why the job's queued tasks aren't placed.
func (s *stepper) waits(j notch.Job) string {
	pool, ok := s.tables.Pool(j.Pool)
	if !ok {
		return fmt.Sprintf("there is no pool %q any more", j.Pool)
	}
	if s.overQuota(j) {
		return fmt.Sprintf("the quota of team %q is in use", j.Team)
	}
	if reason := s.fitsNowhere(j); reason != "" {
		return reason
	}
	views := s.views(pool)
	if views.Len() == 0 {
		return "no worker of the pool takes work: none is registered and heard, or all are leaving or quarantined"
	}
	for i := range views.Len() {
		if j.Size.Fits(views.At(i).Free) {
			return "about to be placed, behind other tasks of its team"
		}
	}
	return fmt.Sprintf("none of %d workers has room for %v now", views.Len(), j.Size)
}
