package batch

import (
	"fmt"

	notch "tamaracknotch"
)

// Limits of a job specification.
const (
	MaxTasks   = 100_000
	MaxCommand = 64 << 10 // bytes
	MaxID      = 128      // bytes
)

// maxFailedWorkers is the number of distinct workers on which a task has to fail
// before it is marked as failed and not queued again.
const maxFailedWorkers = 3

// apply applies a committed log entry and emits its result. It ignores the commands of
// other parts and returns false for them.
func (s *stepper) apply(e notch.LogEntry) bool {
	var r notch.Result = notch.Done{}
	switch c := e.Command.(type) {
	case notch.SubmitJob:
		r = notch.JobResult{Job: c.Job.ID, Reason: s.submitJob(c.Job, e.At)}
	case notch.CancelJobs:
		s.cancelJobs(c.Jobs, e.At)
	case notch.RegisterWorker:
		s.registerWorker(c.Worker)
	case notch.PlaceTasks:
		s.placeTasks(c.Placements, e.At)
	case notch.ReportTasks:
		s.applyReports(c, e.At)
	case notch.ReleaseWorker:
		s.releaseWorker(c, e.At)
	case notch.StopTasks:
		s.stopTasks(c.Tasks, e.At)
	case notch.QuarantineWorker:
		s.setQuarantine(c)
	default:
		return false
	}
	s.planNeeded = true
	s.emit(notch.Applied{Origin: e.Origin, Ticket: e.Ticket, Result: r})
	return true
}

// submitJob adds a job and queues its tasks, or returns the reason for its rejection.
// A job that is submitted again unchanged is accepted and has no further effect, so
// that a submission can be repeated if its answer was lost.
func (s *stepper) submitJob(j notch.Job, at notch.Time) (reason string) {
	if old, ok := s.jobs.Get(j.ID); ok {
		if old.Job != j {
			return fmt.Sprintf("the id %q belongs to another job", j.ID)
		}
		return ""
	}
	if reason := s.validateJob(j); reason != "" {
		return reason
	}
	s.pruneEndedJobs(at)
	rec := notch.JobRecord{Job: j, At: at}
	rec.Counts[notch.Queued] = j.Tasks
	s.jobs = s.jobs.Set(j.ID, rec)
	for i := range j.Tasks {
		s.seq++
		t := notch.Task{ID: notch.NewTaskID(j.ID, i), Job: j.ID, Phase: notch.Queued, Since: at, Seq: s.seq}
		s.tasks = s.tasks.Set(t.ID, t)
		s.enqueue(j, t)
	}
	return ""
}

// validateJob returns the reason for which a job is rejected: its specification is
// invalid, or none of its tasks could ever be placed. It returns "" for a valid job.
func (s *stepper) validateJob(j notch.Job) string {
	pool, ok := s.tables.Pool(j.Pool)
	if !ok || pool.Kind != notch.WorkerPool {
		return fmt.Sprintf("there is no worker pool %q", j.Pool)
	}
	switch {
	case j.ID == "" || len(j.ID) > MaxID:
		return fmt.Sprintf("the id has %d bytes, must have 1 to %d", len(j.ID), MaxID)
	case j.Tasks < 1 || j.Tasks > MaxTasks:
		return fmt.Sprintf("tasks is %d, must be 1 to %d", j.Tasks, MaxTasks)
	case !j.Size.Valid() || j.Size.IsZero():
		return fmt.Sprintf("the size is %v, must be positive without a negative component", j.Size)
	case len(j.Command) > MaxCommand:
		return fmt.Sprintf("the command has %d bytes, must have at most %d", len(j.Command), MaxCommand)
	}
	if len(pool.Teams) > 0 {
		team, ok := pool.Team(j.Team)
		if !ok {
			return fmt.Sprintf("pool %q has no team %q", j.Pool, j.Team)
		}
		if exceedsQuota(j.Size, team.Quota) {
			return fmt.Sprintf("a task of %v is beyond the quota of team %q", j.Size, j.Team)
		}
	}
	return s.unschedulableReason(j)
}

// unschedulableReason returns a reason if the pool has registered workers and all of
// them are too small for a task of the job. It returns "" for a pool without workers,
// because workers may register later.
func (s *stepper) unschedulableReason(j notch.Job) string {
	n := 0
	for it := s.workers.Iterator(); !it.Done(); {
		_, w, _ := it.Next()
		if w.Pool != j.Pool {
			continue
		}
		n++
		if j.Size.Fits(w.Size.Minus(w.Services)) {
			return ""
		}
	}
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("a task of %v fits none of the %d workers of pool %q", j.Size, n, j.Pool)
}

// exceedsQuota reports whether size exceeds a quota in any component. A zero component
// of the quota means no limit.
func exceedsQuota(size, quota notch.Resources) bool {
	exceeds := func(n, limit int64) bool { return limit > 0 && n > limit }
	return exceeds(size.MilliCPU, quota.MilliCPU) || exceeds(size.MemoryMB, quota.MemoryMB) ||
		exceeds(size.Accelerators, quota.Accelerators)
}

// cancelJobs cancels the queued tasks of the jobs at once and stops the others. A task
// that occupies a worker is cancelled when the worker confirms the stop.
func (s *stepper) cancelJobs(ids []string, at notch.Time) {
	for _, id := range ids {
		rec, ok := s.jobs.Get(id)
		if !ok {
			continue
		}
		for i := range rec.Job.Tasks {
			t, ok := s.tasks.Get(notch.NewTaskID(id, i))
			if !ok || t.Phase.Ended() {
				continue
			}
			if t.Phase == notch.Queued {
				s.updateTask(rec.Job, t, t.WithPhase(notch.Cancelled, at))
				continue
			}
			stopping := t.WithPhase(notch.Stopping, at)
			stopping.Cancel = true
			s.updateTask(rec.Job, t, stopping)
		}
	}
}

// registerWorker adds a worker or replaces its registration. The tasks that occupy the
// worker keep their reservations; a new incarnation leaves quarantine. A registration
// by an older incarnation is ignored.
func (s *stepper) registerWorker(w notch.Worker) {
	old, ok := s.workers.Get(w.Name)
	if ok && old.Incarnation > w.Incarnation {
		return
	}
	w = w.WithUsed(old.Used).WithQuarantine(old.Quarantined && old.Incarnation == w.Incarnation)
	s.workers = s.workers.Set(w.Name, w)
}

// placeTasks applies placements. It skips those that the state has overtaken since they
// were planned: the task is no longer queued in this epoch, the worker has another
// incarnation or too little free capacity, or the team's quota is used up.
func (s *stepper) placeTasks(ps []notch.Placement, at notch.Time) {
	s.placementProposedAt = 0
	for _, pl := range ps {
		t, ok := s.tasks.Get(pl.Task)
		w, registered := s.workers.Get(pl.Worker)
		if !ok || !registered || t.Phase != notch.Queued || t.Epoch != pl.Epoch || w.Incarnation != pl.Incarnation {
			continue
		}
		rec, _ := s.jobs.Get(t.Job)
		if !rec.Job.Size.Fits(w.Free()) || s.wouldExceedQuota(rec.Job) {
			continue
		}
		s.updateTask(rec.Job, t, t.WithPlacement(w, at))
		s.ensureSession(workerIncarnation{w.Name, w.Incarnation})
	}
}

// wouldExceedQuota reports whether one more task of the job would exceed the quota of
// its team.
func (s *stepper) wouldExceedQuota(j notch.Job) bool {
	pool, _ := s.tables.Pool(j.Pool)
	team, ok := pool.Team(j.Team)
	if !ok {
		return false
	}
	q, _ := s.queues.Get(queueName(j))
	return exceedsQuota(q.used.Plus(j.Size), team.Quota)
}

// currentAttempt returns the task of a report if the report is about the task's current
// attempt on this incarnation of the worker.
func (s *stepper) currentAttempt(worker string, incarnation uint64, r notch.TaskReport) (notch.Task, bool) {
	t, ok := s.tasks.Get(r.Task)
	if !ok || !t.Phase.Occupies() || t.Epoch != r.Epoch || t.Worker != worker || t.Incarnation != incarnation {
		return notch.Task{}, false
	}
	return t, true
}

// applyReports applies a worker's reports and ignores those about earlier attempts.
func (s *stepper) applyReports(c notch.ReportTasks, at notch.Time) {
	for _, r := range c.Reports {
		t, ok := s.currentAttempt(c.Worker, c.Incarnation, r)
		if !ok {
			continue
		}
		rec, _ := s.jobs.Get(t.Job)
		s.updateTask(rec.Job, t, s.afterReport(rec.Job, t, r, at))
	}
}

// afterReport returns the task as it is after a report about its current attempt.
func (s *stepper) afterReport(j notch.Job, t notch.Task, r notch.TaskReport, at notch.Time) notch.Task {
	switch r.Kind {
	case notch.ReportRunning:
		if t.Phase == notch.Placed {
			t = t.WithPhase(notch.Running, at)
		}
	case notch.ReportCheckpoint:
		t.Checkpoint = r.Checkpoint
	case notch.ReportFinished:
		if t.Phase == notch.Running {
			s.recordRunTime(j.Kind, at.Sub(t.Since).Seconds())
		}
		s.recordSuccess(t.Worker)
		t = t.WithPhase(notch.Finished, at)
	case notch.ReportFailed:
		s.recordFailure(t)
		t = s.afterFailure(t, r.Reason, at)
	case notch.ReportStopped:
		if r.Checkpoint != "" {
			t.Checkpoint = r.Checkpoint
		}
		t.Evictions++
		t = withoutAttempt(t, at)
	}
	return t
}

// withoutAttempt returns a task whose attempt ended without a result: cancelled if a
// cancellation was pending, otherwise queued again.
func withoutAttempt(t notch.Task, at notch.Time) notch.Task {
	if t.Cancel {
		return t.WithPhase(notch.Cancelled, at)
	}
	return t.WithPhase(notch.Queued, at)
}

// afterFailure returns a task whose attempt failed. The task fails permanently after failures
// on maxFailedWorkers distinct workers. Quarantined workers don't count, because there
// the worker is the likely cause.
func (s *stepper) afterFailure(t notch.Task, reason string, at notch.Time) notch.Task {
	t = t.WithFailure(t.Worker)
	t.Reason = reason
	failedOn := 0
	for _, name := range t.FailedOn {
		if w, ok := s.workers.Get(name); !ok || !w.Quarantined {
			failedOn++
		}
	}
	if failedOn >= maxFailedWorkers && !t.Cancel {
		t.Reason = fmt.Sprintf("failed on %d workers, at last with: %s", failedOn, reason)
		return t.WithPhase(notch.Failed, at)
	}
	return withoutAttempt(t, at)
}

// maxRunTimeSamples bounds the weight of a kind's history in its mean run time: from this
// many samples on, the mean is a moving average and follows changes.
const maxRunTimeSamples = 20

// recordRunTime updates the mean run time of the tasks of a kind.
func (s *stepper) recordRunTime(kind string, seconds float64) {
	rt, _ := s.runTimes.Get(kind)
	rt.Kind = kind
	rt.Count = min(rt.Count+1, maxRunTimeSamples)
	rt.Mean += (seconds - rt.Mean) / float64(rt.Count)
	s.runTimes = s.runTimes.Set(kind, rt)
}

// releaseWorker queues the tasks of a worker incarnation again after its lease has
// expired.
func (s *stepper) releaseWorker(c notch.ReleaseWorker, at notch.Time) {
	ids, _ := s.onWorker.Get(c.Worker)
	for _, id := range ids {
		t, _ := s.tasks.Get(id)
		if t.Incarnation != c.Incarnation {
			continue
		}
		rec, _ := s.jobs.Get(t.Job)
		requeued := withoutAttempt(t, at)
		requeued.Evictions++
		s.updateTask(rec.Job, t, requeued)
	}
}

// stopTasks marks tasks as stopping, unless they have begun another attempt or ended.
func (s *stepper) stopTasks(tasks []notch.TaskEpoch, at notch.Time) {
	for _, te := range tasks {
		t, ok := s.tasks.Get(te.Task)
		if !ok || t.Epoch != te.Epoch || (t.Phase != notch.Placed && t.Phase != notch.Running) {
			continue
		}
		rec, _ := s.jobs.Get(t.Job)
		s.updateTask(rec.Job, t, t.WithPhase(notch.Stopping, at))
	}
}

// setQuarantine puts a worker into quarantine or takes it out.
func (s *stepper) setQuarantine(c notch.QuarantineWorker) {
	w, ok := s.workers.Get(c.Worker)
	if !ok || w.Quarantined == c.On {
		return
	}
	s.workers = s.workers.Set(w.Name, w.WithQuarantine(c.On))
	s.failedJobs = s.failedJobs.Delete(w.Name)
	s.probedAt = s.probedAt.Set(w.Name, s.now)
	text := "worker quarantined"
	if !c.On {
		text = "worker back from quarantine"
	}
	s.out = append(s.out, notch.LogMessage{Text: text, Fields: []notch.LogField{{Name: "worker", Value: w.Name}}})
}

// pruneEndedJobs removes the jobs that ended at least timing.EndedJobRetention before at,
// together with their tasks. It uses the time of the log entry rather than the local
// clock, so that all replicas remove the same jobs.
func (s *stepper) pruneEndedJobs(at notch.Time) {
	for s.endedJobs.Len() > 0 {
		id := s.endedJobs.Get(0)
		rec, ok := s.jobs.Get(id)
		if ok && at.Sub(rec.Ended) < s.timing.EndedJobRetention {
			return
		}
		s.dropTasks(rec)
		s.jobs = s.jobs.Delete(id)
		s.endedJobs = s.endedJobs.Slice(1, s.endedJobs.Len())
	}
}

// dropTasks removes the tasks of a job.
func (s *stepper) dropTasks(rec notch.JobRecord) {
	for i := range rec.Job.Tasks {
		s.tasks = s.tasks.Delete(notch.NewTaskID(rec.Job.ID, i))
	}
}
