package fake

import (
	"slices"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/drive"
)

// heartbeatPeriod is the interval between heartbeats, without their jitter.
const heartbeatPeriod = 500 * time.Millisecond

// Worker simulates a host that runs tasks and reports by heartbeats.
type Worker struct {
	notch.Worker
	Up                bool
	CutOff            bool                              // its heartbeats and the replies are lost
	Drift             float64                           // relative error of its clock
	Broken            bool                              // every task fails
	RunTime           func(o notch.Order) time.Duration // run time of an attempt at full speed
	Usage             func(kinds []string) notch.Usage  // usage of the host with tasks of these commands
	tasks             map[notch.TaskEpoch]*attempt
	reports           []notch.TaskReport
	leaseEnd          notch.Time // by the worker's clock
	lastAppliedSentAt notch.Time // send time of the latest heartbeat whose reply was applied
	earlyHeartbeatDue bool       // an early heartbeat is scheduled
	generation        int        // grows at every start and kill; timers of an earlier one do nothing
}

// attempt is an attempt of a task on a worker.
type attempt struct {
	order        notch.Order
	throttled    bool
	workDone     time.Duration // work done until updatedAt, as time at full speed
	updatedAt    time.Duration
	totalWork    time.Duration // as time at full speed
	speedChanges int           // an end that was scheduled before the latest change is dropped
}

// throttledSpeedFactor is the speed of a throttled task relative to full speed.
const throttledSpeedFactor = 0.3

// AddWorker adds and starts a worker. RunTime returns the run time of an attempt.
func (s *Testbed) AddWorker(w notch.Worker, runTime func(notch.Order) time.Duration) *Worker {
	x := &Worker{Worker: w, RunTime: runTime, Usage: func([]string) notch.Usage { return notch.Usage{} }}
	s.Workers[w.Name] = x
	s.StartWorker(x)
	return x
}

// StartWorker starts a new incarnation of a worker, without tasks.
func (s *Testbed) StartWorker(w *Worker) {
	w.Up = true
	w.Incarnation++
	w.generation++
	w.tasks = map[notch.TaskEpoch]*attempt{}
	w.reports = nil
	w.leaseEnd, w.lastAppliedSentAt = 0, 0
	s.scheduleHeartbeats(w, w.generation)
}

// KillWorker crashes a worker. All its tasks end without a report.
func (s *Testbed) KillWorker(w *Worker) {
	s.killedWorkers[w.Name] = true
	w.Up = false
	w.generation++
	for te := range w.tasks {
		s.removeAttempt(w, te)
	}
}

// workerClock returns the reading of a worker's clock.
func (s *Testbed) workerClock(w *Worker) notch.Time {
	return notch.Time(float64(s.Now()) * (1 + w.Drift))
}

// scheduleHeartbeats sends a heartbeat through a random daemon, and repeats this in
// every period.
func (s *Testbed) scheduleHeartbeats(w *Worker, generation int) {
	if w.generation != generation {
		return
	}
	s.enforceLease(w)
	if up := s.Up(); len(up) > 0 && !w.CutOff {
		s.sendHeartbeat(w, up[s.Rand.IntN(len(up))])
	}
	jitter := time.Duration(s.Rand.Int64N(int64(heartbeatPeriod / 10)))
	s.After(heartbeatPeriod+jitter, func() { s.scheduleHeartbeats(w, generation) })
}

// earlyHeartbeatDelay is the delay of an early heartbeat, so that reports made at
// about the same time share one heartbeat.
const earlyHeartbeatDelay = 20 * time.Millisecond

// sendEarlyHeartbeat schedules a heartbeat ahead of the period, because there is a
// new report.
func (s *Testbed) sendEarlyHeartbeat(w *Worker) {
	if w.earlyHeartbeatDue {
		return
	}
	w.earlyHeartbeatDue = true
	generation := w.generation
	s.After(earlyHeartbeatDelay, func() {
		w.earlyHeartbeatDue = false
		if up := s.Up(); w.generation == generation && len(up) > 0 && !w.CutOff {
			s.sendHeartbeat(w, up[s.Rand.IntN(len(up))])
		}
	})
}

// sendHeartbeat sends a heartbeat to a daemon and applies the reply.
func (s *Testbed) sendHeartbeat(w *Worker, n *drive.Node) {
	sent := s.workerClock(w)
	generation := w.generation
	h := notch.Heartbeat{Worker: w.Worker, Reports: slices.Clone(w.reports)}
	var kinds []string
	for te, r := range w.tasks {
		h.Running = append(h.Running, te)
		kinds = append(kinds, r.order.Command)
	}
	sortAttempts(h.Running)
	slices.Sort(kinds)
	h.Usage = w.Usage(kinds)
	s.After(2*time.Millisecond, func() {
		if !n.Up {
			return
		}
		s.lastTicket++
		s.pendingCalls[s.lastTicket] = func(f notch.Effect) {
			a := f.(notch.AnswerWorker)
			s.After(2*time.Millisecond, func() {
				if w.generation == generation && !w.CutOff && a.Reply.Known {
					s.applyReply(w, sent, a.Reply)
				}
			})
		}
		s.Post(n, notch.HeartbeatSubmitted{Ticket: s.lastTicket, Beat: h, Deadline: s.Time(n).Add(2 * time.Second)})
	})
}

func sortAttempts(tes []notch.TaskEpoch) {
	slices.SortFunc(tes, func(a, b notch.TaskEpoch) int {
		if a.Task != b.Task {
			if a.Task < b.Task {
				return -1
			}
			return 1
		}
		return int(a.Epoch) - int(b.Epoch)
	})
}

// applyReply carries out the reply to the heartbeat that was sent at an instant of
// the worker's clock.
func (s *Testbed) applyReply(w *Worker, sent notch.Time, r notch.HeartbeatReply) {
	if sent <= w.lastAppliedSentAt {
		// The reply to a later heartbeat has been applied: these orders are outdated.
		return
	}
	w.lastAppliedSentAt = sent
	if r.Lease > 0 {
		w.leaseEnd = max(w.leaseEnd, sent.Add(r.Lease))
	}
	s.enforceLease(w)
	s.applySettlements(w, r.Settled)
	for _, o := range r.Orders {
		te := notch.TaskEpoch{Task: o.Task, Epoch: o.Epoch}
		switch o.Kind {
		case notch.OrderStart:
			s.startAttempt(w, te, o)
		case notch.OrderThrottle:
			s.throttleAttempt(w, te)
		case notch.OrderCheckpoint:
			s.stopAttempt(w, te, true)
		case notch.OrderStop:
			s.stopAttempt(w, te, false)
		}
	}
}

// applySettlements removes the reports that the leader has settled, and counts the
// published results.
func (s *Testbed) applySettlements(w *Worker, settled []notch.Settlement) {
	for _, x := range settled {
		i := slices.IndexFunc(w.reports, func(r notch.TaskReport) bool { return r.Task == x.Task && r.Epoch == x.Epoch })
		if i < 0 {
			continue
		}
		published := x.Counted && w.reports[i].Kind == notch.ReportFinished
		w.reports = slices.Delete(slices.Clone(w.reports), i, i+1)
		if !published {
			continue
		}
		s.OnPublish(x.Task)
		if s.publications[x.Task]++; s.publications[x.Task] > 1 {
			s.reportViolation("task %s was published %d times", x.Task, s.publications[x.Task])
		}
	}
}

// startAttempt starts an attempt unless the lease has expired, or the attempt is in
// progress or has ended.
func (s *Testbed) startAttempt(w *Worker, te notch.TaskEpoch, o notch.Order) {
	known := slices.ContainsFunc(w.reports, func(r notch.TaskReport) bool {
		return r.Task == te.Task && r.Epoch == te.Epoch && r.Kind != notch.ReportRunning
	})
	if w.tasks[te] != nil || known || s.workerClock(w) >= w.leaseEnd {
		return
	}
	if on, ok := s.runningOn[te.Task]; ok {
		s.reportViolation("task %s starts on %s while it runs on %s", te.Task, w.Name, on)
	}
	s.runningOn[te.Task] = w.Name
	total := w.RunTime(o)
	if o.Checkpoint != "" {
		if at, err := time.ParseDuration(o.Checkpoint); err == nil {
			total = max(0, total-at)
		}
	}
	w.tasks[te] = &attempt{order: o, updatedAt: s.Now(), totalWork: total}
	s.checkCapacity(w)
	s.addReport(w, notch.TaskReport{Task: te.Task, Epoch: te.Epoch, Kind: notch.ReportRunning})
	s.scheduleEnd(w, te)
}

// checkCapacity checks that the host isn't overcommitted.
func (s *Testbed) checkCapacity(w *Worker) {
	sum := w.Services
	for _, r := range w.tasks {
		sum = sum.Plus(r.order.Size)
	}
	if !sum.Fits(w.Size) {
		s.reportViolation("worker %s of %v runs %v", w.Name, w.Size, sum)
	}
}

// addReport replaces the report on an attempt and schedules an early heartbeat.
func (s *Testbed) addReport(w *Worker, r notch.TaskReport) {
	s.sendEarlyHeartbeat(w)
	w.reports = slices.DeleteFunc(w.reports, func(o notch.TaskReport) bool { return o.Task == r.Task && o.Epoch == r.Epoch })
	w.reports = append(w.reports, r)
}

// scheduleEnd schedules the end of an attempt at its current speed.
func (s *Testbed) scheduleEnd(w *Worker, te notch.TaskEpoch) {
	r := w.tasks[te]
	r.speedChanges++
	speedChanges, generation := r.speedChanges, w.generation
	left := r.totalWork - r.workDone
	if r.throttled {
		left = time.Duration(float64(left) / throttledSpeedFactor)
	}
	s.After(left, func() {
		if w.generation == generation && w.tasks[te] == r && r.speedChanges == speedChanges {
			s.endAttempt(w, te)
		}
	})
}

// endAttempt ends an attempt that has done its work, and reports it.
func (s *Testbed) endAttempt(w *Worker, te notch.TaskEpoch) {
	s.removeAttempt(w, te)
	if w.Broken {
		s.addReport(w, notch.TaskReport{Task: te.Task, Epoch: te.Epoch, Kind: notch.ReportFailed, Reason: "broken host"})
		return
	}
	s.addReport(w, notch.TaskReport{Task: te.Task, Epoch: te.Epoch, Kind: notch.ReportFinished})
}

// removeAttempt removes an attempt from a worker.
func (s *Testbed) removeAttempt(w *Worker, te notch.TaskEpoch) {
	delete(w.tasks, te)
	if s.runningOn[te.Task] == w.Name {
		delete(s.runningOn, te.Task)
	}
}

// updateProgress adds the work done since updatedAt to workDone.
func (s *Testbed) updateProgress(r *attempt) {
	passed := s.Now() - r.updatedAt
	if r.throttled {
		passed = time.Duration(float64(passed) * throttledSpeedFactor)
	}
	r.workDone += passed
	r.updatedAt = s.Now()
}

// throttleAttempt slows an attempt down for the rest of its run.
func (s *Testbed) throttleAttempt(w *Worker, te notch.TaskEpoch) {
	r := w.tasks[te]
	if r == nil || r.throttled {
		return
	}
	s.updateProgress(r)
	r.throttled = true
	s.scheduleEnd(w, te)
}

// stopAttempt stops an attempt, with a checkpoint if requested. It also confirms the
// stop of an unknown attempt: that attempt will never start.
func (s *Testbed) stopAttempt(w *Worker, te notch.TaskEpoch, checkpoint bool) {
	ended := slices.ContainsFunc(w.reports, func(r notch.TaskReport) bool {
		return r.Task == te.Task && r.Epoch == te.Epoch && r.Kind != notch.ReportRunning
	})
	if ended {
		return
	}
	rep := notch.TaskReport{Task: te.Task, Epoch: te.Epoch, Kind: notch.ReportStopped}
	if r := w.tasks[te]; r != nil {
		s.updateProgress(r)
		if checkpoint {
			before, _ := time.ParseDuration(r.order.Checkpoint)
			rep.Checkpoint = (before + r.workDone).String()
		} else {
			s.LostWork += r.workDone
		}
		s.removeAttempt(w, te)
	}
	s.addReport(w, rep)
}

// enforceLease stops all tasks if the lease has expired, else it checks again at the
// end of the lease.
func (s *Testbed) enforceLease(w *Worker) {
	if s.workerClock(w) < w.leaseEnd {
		generation, leaseEnd := w.generation, w.leaseEnd
		left := time.Duration(float64(w.leaseEnd.Sub(s.workerClock(w))) / (1 + w.Drift))
		s.After(left+time.Microsecond, func() {
			if w.generation == generation && w.leaseEnd == leaseEnd {
				s.enforceLease(w)
			}
		})
		return
	}
	for te := range w.tasks {
		s.removeAttempt(w, te)
		s.addReport(w, notch.TaskReport{Task: te.Task, Epoch: te.Epoch, Kind: notch.ReportStopped})
	}
}

// CountByCommand returns the numbers of attempts at full speed and of throttled
// attempts, by command.
func (w *Worker) CountByCommand() (full, throttled map[string]int) {
	full, throttled = map[string]int{}, map[string]int{}
	for _, r := range w.tasks {
		if r.throttled {
			throttled[r.order.Command]++
		} else {
			full[r.order.Command]++
		}
	}
	return full, throttled
}

// RunningCount returns the number of attempts on a worker.
func (w *Worker) RunningCount() int { return len(w.tasks) }

// PublicationCount returns how often the results of a task were published.
func (s *Testbed) PublicationCount(id notch.TaskID) int { return s.publications[id] }
