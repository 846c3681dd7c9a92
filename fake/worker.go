package fake

import (
	"slices"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/drive"
)

// beatEvery is the period of heartbeats.
const beatEvery = 500 * time.Millisecond

// Worker is a stand-in for a task host with the platform's agent.
type Worker struct {
	notch.Worker
	Up      bool
	CutOff  bool // its heartbeats and their answers are lost
	Drift   float64
	Broken  bool // fails everything that it starts
	Work    func(o notch.Order) time.Duration
	Usage   func(kinds []string) notch.Usage
	tasks   map[notch.TaskEpoch]*run
	reports []notch.TaskReport
	until   notch.Time // of the lease, by the worker's clock
	obeyed  notch.Time // when the heartbeat was sent whose answer was obeyed last
	hurried bool       // a heartbeat ahead of time is due
	life    int
}

// run is an attempt on a worker.
type run struct {
	order     notch.Order
	throttled bool
	done      time.Duration // work done before the last change of speed
	since     time.Duration
	total     time.Duration
	speed     int // counts changes, so that outdated ends are dropped
}

// throttledSpeed is how fast a throttled task runs.
const throttledSpeed = 0.3

// AddWorker starts a worker. Work tells how long an attempt takes.
func (s *Site) AddWorker(w notch.Worker, work func(notch.Order) time.Duration) *Worker {
	x := &Worker{Worker: w, Work: work, Usage: func([]string) notch.Usage { return notch.Usage{} }}
	s.Workers[w.Name] = x
	s.StartWorker(x)
	return x
}

// StartWorker starts a worker's agent anew: as another incarnation, with no task.
func (s *Site) StartWorker(w *Worker) {
	w.Up = true
	w.Incarnation++
	w.life++
	w.tasks = map[notch.TaskEpoch]*run{}
	w.reports = nil
	w.until, w.obeyed = 0, 0
	s.beating(w, w.life)
}

// KillWorker ends a host and every task on it.
func (s *Site) KillWorker(w *Worker) {
	s.died[w.Name] = true
	w.Up = false
	w.life++
	for te := range w.tasks {
		s.leave(w, te)
	}
}

func (s *Site) clock(w *Worker) notch.Time {
	return notch.Time(float64(s.Now()) * (1 + w.Drift))
}

func (s *Site) beating(w *Worker, life int) {
	if w.life != life {
		return
	}
	s.enforceLease(w)
	if up := s.Up(); len(up) > 0 && !w.CutOff {
		s.beat(w, up[s.Rand.IntN(len(up))])
	}
	jitter := time.Duration(s.Rand.Int64N(int64(beatEvery / 10)))
	s.After(beatEvery+jitter, func() { s.beating(w, life) })
}

// soon gathers what a worker has to report at about the same time.
const soon = 20 * time.Millisecond

// beatSoon sends a heartbeat ahead of time, as there is something to report.
func (s *Site) beatSoon(w *Worker) {
	if w.hurried {
		return
	}
	w.hurried = true
	life := w.life
	s.After(soon, func() {
		w.hurried = false
		if up := s.Up(); w.life == life && len(up) > 0 && !w.CutOff {
			s.beat(w, up[s.Rand.IntN(len(up))])
		}
	})
}

func (s *Site) beat(w *Worker, n *drive.Node) {
	sent := s.clock(w)
	life := w.life
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
		s.tickets++
		s.calls[s.tickets] = func(f notch.Effect) {
			a := f.(notch.AnswerWorker)
			s.After(2*time.Millisecond, func() {
				if w.life == life && !w.CutOff && a.Reply.Known {
					s.obey(w, sent, a.Reply)
				}
			})
		}
		s.Post(n, notch.WorkerCalled{Ticket: s.tickets, Beat: h, Deadline: s.Time(n).Add(2 * time.Second)})
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

// obey carries out the answer to a heartbeat that was sent at an instant of the
// worker's clock.
func (s *Site) obey(w *Worker, sent notch.Time, r notch.HeartbeatReply) {
	if sent <= w.obeyed {
		// An answer to an earlier heartbeat came late: its orders are outdated.
		return
	}
	w.obeyed = sent
	if r.Lease > 0 {
		w.until = max(w.until, sent.Add(r.Lease))
	}
	s.enforceLease(w)
	s.settle(w, r.Settled)
	for _, o := range r.Orders {
		te := notch.TaskEpoch{Task: o.Task, Epoch: o.Epoch}
		switch o.Kind {
		case notch.OrderStart:
			s.start(w, te, o)
		case notch.OrderThrottle:
			s.throttle(w, te)
		case notch.OrderCheckpoint:
			s.stop(w, te, true)
		case notch.OrderStop:
			s.stop(w, te, false)
		}
	}
}

// settle drops reports that are decided, and counts published results.
func (s *Site) settle(w *Worker, settled []notch.Settlement) {
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
		if s.finished[x.Task]++; s.finished[x.Task] > 1 {
			s.violate("task %s was published %d times", x.Task, s.finished[x.Task])
		}
	}
}

// start begins an attempt, unless the lease that allows it has ended.
func (s *Site) start(w *Worker, te notch.TaskEpoch, o notch.Order) {
	known := slices.ContainsFunc(w.reports, func(r notch.TaskReport) bool {
		return r.Task == te.Task && r.Epoch == te.Epoch && r.Kind != notch.ReportRunning
	})
	if w.tasks[te] != nil || known || s.clock(w) >= w.until {
		return
	}
	if on, ok := s.running[te.Task]; ok {
		s.violate("task %s starts on %s while it runs on %s", te.Task, w.Name, on)
	}
	s.running[te.Task] = w.Name
	total := w.Work(o)
	if o.Checkpoint != "" {
		if at, err := time.ParseDuration(o.Checkpoint); err == nil {
			total = max(0, total-at)
		}
	}
	w.tasks[te] = &run{order: o, since: s.Now(), total: total}
	s.checkRoom(w)
	s.report(w, notch.TaskReport{Task: te.Task, Epoch: te.Epoch, Kind: notch.ReportRunning})
	s.schedule(w, te)
}

// checkRoom checks that the host isn't committed beyond its size.
func (s *Site) checkRoom(w *Worker) {
	sum := w.Services
	for _, r := range w.tasks {
		sum = sum.Plus(r.order.Size)
	}
	if !sum.Fits(w.Size) {
		s.violate("worker %s of %v runs %v", w.Name, w.Size, sum)
	}
}

func (s *Site) report(w *Worker, r notch.TaskReport) {
	s.beatSoon(w)
	w.reports = slices.DeleteFunc(w.reports, func(o notch.TaskReport) bool { return o.Task == r.Task && o.Epoch == r.Epoch })
	w.reports = append(w.reports, r)
}

// schedule plans the end of an attempt at its present speed.
func (s *Site) schedule(w *Worker, te notch.TaskEpoch) {
	r := w.tasks[te]
	r.speed++
	speed, life := r.speed, w.life
	left := r.total - r.done
	if r.throttled {
		left = time.Duration(float64(left) / throttledSpeed)
	}
	s.After(left, func() {
		if w.life == life && w.tasks[te] == r && r.speed == speed {
			s.end(w, te)
		}
	})
}

func (s *Site) end(w *Worker, te notch.TaskEpoch) {
	s.leave(w, te)
	if w.Broken {
		s.report(w, notch.TaskReport{Task: te.Task, Epoch: te.Epoch, Kind: notch.ReportFailed, Reason: "broken host"})
		return
	}
	s.report(w, notch.TaskReport{Task: te.Task, Epoch: te.Epoch, Kind: notch.ReportFinished})
}

// leave removes an attempt from a worker.
func (s *Site) leave(w *Worker, te notch.TaskEpoch) {
	delete(w.tasks, te)
	if s.running[te.Task] == w.Name {
		delete(s.running, te.Task)
	}
}

// progress brings done up to date.
func (s *Site) progress(r *run) {
	passed := s.Now() - r.since
	if r.throttled {
		passed = time.Duration(float64(passed) * throttledSpeed)
	}
	r.done += passed
	r.since = s.Now()
}

func (s *Site) throttle(w *Worker, te notch.TaskEpoch) {
	r := w.tasks[te]
	if r == nil || r.throttled {
		return
	}
	s.progress(r)
	r.throttled = true
	s.schedule(w, te)
}

// stop ends an attempt, with a checkpoint if asked for. A stop of an attempt
// that isn't here is confirmed too: it will never start.
func (s *Site) stop(w *Worker, te notch.TaskEpoch, checkpoint bool) {
	ended := slices.ContainsFunc(w.reports, func(r notch.TaskReport) bool {
		return r.Task == te.Task && r.Epoch == te.Epoch && r.Kind != notch.ReportRunning
	})
	if ended {
		return
	}
	rep := notch.TaskReport{Task: te.Task, Epoch: te.Epoch, Kind: notch.ReportStopped}
	if r := w.tasks[te]; r != nil {
		s.progress(r)
		if checkpoint {
			before, _ := time.ParseDuration(r.order.Checkpoint)
			rep.Checkpoint = (before + r.done).String()
		} else {
			s.Lost += r.done
		}
		s.leave(w, te)
	}
	s.report(w, rep)
}

// enforceLease stops every task once the lease has ended.
func (s *Site) enforceLease(w *Worker) {
	if s.clock(w) < w.until {
		life, until := w.life, w.until
		left := time.Duration(float64(w.until.Sub(s.clock(w))) / (1 + w.Drift))
		s.After(left+time.Microsecond, func() {
			if w.life == life && w.until == until {
				s.enforceLease(w)
			}
		})
		return
	}
	for te := range w.tasks {
		s.leave(w, te)
		s.report(w, notch.TaskReport{Task: te.Task, Epoch: te.Epoch, Kind: notch.ReportStopped})
	}
}

// Kinds counts the attempts that run at full speed and those that are throttled,
// by their command.
func (w *Worker) Kinds() (full, slow map[string]int) {
	full, slow = map[string]int{}, map[string]int{}
	for _, r := range w.tasks {
		if r.throttled {
			slow[r.order.Command]++
		} else {
			full[r.order.Command]++
		}
	}
	return full, slow
}

// Running returns the number of attempts on a worker.
func (w *Worker) Running() int { return len(w.tasks) }

// Finished returns how often the results of a task were published.
func (s *Site) Finished(id notch.TaskID) int { return s.finished[id] }
