package batch

import (
	"fmt"

	notch "tamaracknotch"
)

// answerQuery answers a query about jobs or workers from a front end.
func (s *stepper) answerQuery(b notch.QueryReceived) {
	if !s.leadership.Leading {
		return
	}
	var result notch.QueryResult
	switch b.Question.Kind {
	case notch.QueryJobs:
		for it := s.jobs.Iterator(); !it.Done(); {
			_, rec, _ := it.Next()
			result.Jobs = append(result.Jobs, rec)
		}
	case notch.QueryJob:
		result = s.queryJob(b.Question.Name)
	case notch.QueryWorkers:
		for it := s.workers.Iterator(); !it.Done(); {
			_, w, _ := it.Next()
			result.Workers = append(result.Workers, w)
		}
	default:
		return
	}
	s.emit(notch.QueryAnswered{Origin: b.Origin, Ticket: b.Ticket, View: result})
}

// queryJob returns a job with its tasks, or an empty result for an unknown job.
func (s *stepper) queryJob(id string) notch.QueryResult {
	rec, ok := s.jobs.Get(id)
	if !ok {
		return notch.QueryResult{}
	}
	result := notch.QueryResult{Jobs: []notch.JobRecord{rec}}
	for i := range rec.Job.Tasks {
		if t, ok := s.tasks.Get(notch.NewTaskID(id, i)); ok {
			result.Tasks = append(result.Tasks, t)
		}
	}
	if rec.Counts[notch.Queued] > 0 {
		result.Waits = s.waitReason(rec.Job)
	}
	return result
}

// waitReason returns the reason why the queued tasks of a job aren't placed yet.
func (s *stepper) waitReason(j notch.Job) string {
	pool, ok := s.tables.Pool(j.Pool)
	if !ok {
		return fmt.Sprintf("pool %q no longer exists", j.Pool)
	}
	if s.wouldExceedQuota(j) {
		return fmt.Sprintf("the quota of team %q is in use", j.Team)
	}
	if reason := s.unschedulableReason(j); reason != "" {
		return reason
	}
	views := s.workerViews(pool)
	if views.Len() == 0 {
		return "no worker of the pool takes work: none has registered and sent a heartbeat lately, or all are leaving or quarantined"
	}
	for i := range views.Len() {
		if j.Size.Fits(views.At(i).Free) {
			return "a worker has room; other tasks of the team are placed first"
		}
	}
	return fmt.Sprintf("none of %d workers has room for %v now", views.Len(), j.Size)
}
