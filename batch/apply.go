package batch

import (
	"fmt"

	notch "tamaracknotch"
)

// The limits of a job.
const (
	MaxTasks   = 100_000
	MaxCommand = 64 << 10 // bytes
	MaxID      = 128      // bytes
)

// maxFailedWorkers is the number of distinct workers on which a task may fail
// before it fails for good.
const maxFailedWorkers = 3

func (s *stepper) apply(e notch.Entry) {
	var r notch.Result = notch.Done{}
	switch c := e.Command.(type) {
	case notch.SubmitJob:
		r = notch.JobResult{Job: c.Job.ID, Reason: s.submit(c.Job, e.At)}
	case notch.CancelJobs:
		s.cancel(c.Jobs, e.At)
	case notch.RegisterWorker:
		s.register(c.Worker)
	case notch.PlaceTasks:
		s.placeAll(c.Placements, e.At)
	case notch.ReportTasks:
		s.reportAll(c, e.At)
	case notch.ReleaseWorker:
		s.releaseWorker(c, e.At)
	case notch.StopTasks:
		s.stopAll(c.Tasks, e.At)
	case notch.QuarantineWorker:
		s.quarantine(c)
	default:
		return
	}
	s.dirty = true
	s.emit(notch.Applied{Origin: e.Origin, Ticket: e.Ticket, Result: r})
}

// submit adds a job, or returns why it can never run. A resent job is accepted
// without effect.
func (s *stepper) submit(j notch.Job, at notch.Time) (reason string) {
	if old, ok := s.jobs.Get(j.ID); ok {
		if old.Job != j {
			return fmt.Sprintf("the id %q belongs to another job", j.ID)
		}
		return ""
	}
	if reason := s.unfit(j); reason != "" {
		return reason
	}
	s.forgetEnded(at)
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

// unfit returns why a job breaks a rule or can never run.
func (s *stepper) unfit(j notch.Job) string {
	pool, ok := s.tables.Pool(j.Pool)
	if !ok || pool.Kind != notch.WorkerPool {
		return fmt.Sprintf("there is no worker pool %q", j.Pool)
	}
	switch {
	case j.ID == "" || len(j.ID) > MaxID:
		return fmt.Sprintf("the id must have 1 to %d bytes", MaxID)
	case j.Tasks < 1 || j.Tasks > MaxTasks:
		return fmt.Sprintf("tasks is %d, must be 1 to %d", j.Tasks, MaxTasks)
	case !j.Size.Valid() || j.Size.IsZero():
		return "the size must be positive"
	case len(j.Command) > MaxCommand:
		return fmt.Sprintf("the command must have at most %d bytes", MaxCommand)
	}
	if len(pool.Teams) > 0 {
		team, ok := pool.Team(j.Team)
		if !ok {
			return fmt.Sprintf("pool %q has no team %q", j.Pool, j.Team)
		}
		if exceeds(j.Size, team.Quota) {
			return fmt.Sprintf("a task of %v is beyond the quota of team %q", j.Size, j.Team)
		}
	}
	return s.fitsNowhere(j)
}

// fitsNowhere returns a reason if workers are registered and none could ever
// hold a task of the job.
func (s *stepper) fitsNowhere(j notch.Job) string {
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

// exceeds reports whether size is beyond a quota whose zero components are
// unlimited.
func exceeds(size, quota notch.Resources) bool {
	over := func(n, limit int64) bool { return limit > 0 && n > limit }
	return over(size.MilliCPU, quota.MilliCPU) || over(size.MemoryMB, quota.MemoryMB) ||
		over(size.Accelerators, quota.Accelerators)
}

func (s *stepper) cancel(ids []string, at notch.Time) {
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
				s.change(rec.Job, t, t.WithPhase(notch.Cancelled, at))
				continue
			}
			t2 := t.WithPhase(notch.Stopping, at)
			t2.Cancel = true
			s.change(rec.Job, t, t2)
		}
	}
}

// register replaces a worker's registration. What occupies it stays.
func (s *stepper) register(w notch.Worker) {
	old, ok := s.workers.Get(w.Name)
	if ok && old.Incarnation > w.Incarnation {
		return
	}
	w = w.WithUsed(old.Used).WithQuarantine(old.Quarantined && old.Incarnation == w.Incarnation)
	s.workers = s.workers.Set(w.Name, w)
}

func (s *stepper) placeAll(ps []notch.Placement, at notch.Time) {
	s.placing = 0
	for _, pl := range ps {
		t, ok := s.tasks.Get(pl.Task)
		w, known := s.workers.Get(pl.Worker)
		if !ok || !known || t.Phase != notch.Queued || t.Epoch != pl.Epoch || w.Incarnation != pl.Incarnation {
			continue
		}
		rec, _ := s.jobs.Get(t.Job)
		if !rec.Job.Size.Fits(w.Free()) || s.overQuota(rec.Job) {
			continue
		}
		s.change(rec.Job, t, t.WithPlacement(w, at))
		s.watchLease(attempt{w.Name, w.Incarnation})
	}
}

// overQuota reports whether one more task of the job would exceed its team's quota.
func (s *stepper) overQuota(j notch.Job) bool {
	pool, _ := s.tables.Pool(j.Pool)
	team, ok := pool.Team(j.Team)
	if !ok {
		return false
	}
	q, _ := s.queues.Get(queueName(j))
	return exceeds(q.used.Plus(j.Size), team.Quota)
}

// current returns the task if the report is about its present attempt.
func (s *stepper) current(worker string, incarnation uint64, r notch.TaskReport) (notch.Task, bool) {
	t, ok := s.tasks.Get(r.Task)
	if !ok || !t.Phase.Occupies() || t.Epoch != r.Epoch || t.Worker != worker || t.Incarnation != incarnation {
		return notch.Task{}, false
	}
	return t, true
}

func (s *stepper) reportAll(c notch.ReportTasks, at notch.Time) {
	for _, r := range c.Reports {
		t, ok := s.current(c.Worker, c.Incarnation, r)
		if !ok {
			continue
		}
		rec, _ := s.jobs.Get(t.Job)
		s.change(rec.Job, t, s.reported(rec.Job, t, r, at))
	}
}

// reported returns the task after one report about its present attempt.
func (s *stepper) reported(j notch.Job, t notch.Task, r notch.TaskReport, at notch.Time) notch.Task {
	switch r.Kind {
	case notch.ReportRunning:
		if t.Phase == notch.Placed {
			t = t.WithPhase(notch.Running, at)
		}
	case notch.ReportCheckpoint:
		t.Checkpoint = r.Checkpoint
	case notch.ReportFinished:
		if t.Phase == notch.Running {
			s.learnTime(j.Kind, at.Sub(t.Since).Seconds())
		}
		s.succeeded(t.Worker)
		t = t.WithPhase(notch.Finished, at)
	case notch.ReportFailed:
		s.failed(t)
		t = s.afterFailure(t, r.Reason, at)
	case notch.ReportStopped:
		if r.Checkpoint != "" {
			t.Checkpoint = r.Checkpoint
		}
		t.Evictions++
		t = requeued(t, at)
	}
	return t
}

// requeued returns a task whose attempt ended without a result.
func requeued(t notch.Task, at notch.Time) notch.Task {
	if t.Cancel {
		return t.WithPhase(notch.Cancelled, at)
	}
	return t.WithPhase(notch.Queued, at)
}

func (s *stepper) afterFailure(t notch.Task, reason string, at notch.Time) notch.Task {
	t = t.WithFailure(t.Worker)
	t.Reason = reason
	counted := 0
	for _, name := range t.FailedOn {
		if w, ok := s.workers.Get(name); !ok || !w.Quarantined {
			counted++
		}
	}
	if counted >= maxFailedWorkers && !t.Cancel {
		t.Reason = fmt.Sprintf("failed on %d workers, at last with: %s", counted, reason)
		return t.WithPhase(notch.Failed, at)
	}
	return requeued(t, at)
}

// timeWeight bounds the samples that the mean of a kind's run time rests on.
const timeWeight = 20

func (s *stepper) learnTime(kind string, seconds float64) {
	rt, _ := s.times.Get(kind)
	rt.Kind = kind
	rt.Count = min(rt.Count+1, timeWeight)
	rt.Mean += (seconds - rt.Mean) / float64(rt.Count)
	s.times = s.times.Set(kind, rt)
}

func (s *stepper) releaseWorker(c notch.ReleaseWorker, at notch.Time) {
	ids, _ := s.onWorker.Get(c.Worker)
	for _, id := range ids {
		t, _ := s.tasks.Get(id)
		if t.Incarnation != c.Incarnation {
			continue
		}
		rec, _ := s.jobs.Get(t.Job)
		t2 := requeued(t, at)
		t2.Evictions++
		s.change(rec.Job, t, t2)
	}
}

func (s *stepper) stopAll(tasks []notch.TaskEpoch, at notch.Time) {
	for _, te := range tasks {
		t, ok := s.tasks.Get(te.Task)
		if !ok || t.Epoch != te.Epoch || (t.Phase != notch.Placed && t.Phase != notch.Running) {
			continue
		}
		rec, _ := s.jobs.Get(t.Job)
		s.change(rec.Job, t, t.WithPhase(notch.Stopping, at))
	}
}

func (s *stepper) quarantine(c notch.QuarantineWorker) {
	w, ok := s.workers.Get(c.Worker)
	if !ok || w.Quarantined == c.On {
		return
	}
	s.workers = s.workers.Set(w.Name, w.WithQuarantine(c.On))
	s.failures = s.failures.Delete(w.Name)
	s.probed = s.probed.Set(w.Name, s.now)
	text := "worker quarantined"
	if !c.On {
		text = "worker back from quarantine"
	}
	s.out = append(s.out, notch.Notice{Text: text, Fields: []notch.Field{{Name: "worker", Value: w.Name}}})
}

// forgetEnded drops the tasks of jobs that ended long ago, and older jobs whole.
// It depends on the entry's time alone, so that all replicas agree.
func (s *stepper) forgetEnded(at notch.Time) {
	for s.ended.Len() > 0 {
		id := s.ended.Get(0)
		rec, ok := s.jobs.Get(id)
		if ok && at.Sub(rec.Ended) < s.timing.KeepJobs {
			return
		}
		s.dropTasks(rec)
		s.jobs = s.jobs.Delete(id)
		s.ended = s.ended.Slice(1, s.ended.Len())
	}
}

func (s *stepper) dropTasks(rec notch.JobRecord) {
	for i := range rec.Job.Tasks {
		s.tasks = s.tasks.Delete(notch.NewTaskID(rec.Job.ID, i))
	}
}
