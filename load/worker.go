package load

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"tamaracknotch/api"
	"tamaracknotch/client"
)

// heartbeatInterval is the time between two heartbeats of a worker.
const heartbeatInterval = 250 * time.Millisecond

// worker is a simulated worker. A task is a timer that runs for the duration in its
// command.
type worker struct {
	name    string
	doc     api.Worker
	client  *client.Client
	tracker *taskTracker

	mu          sync.Mutex
	tasks       map[api.TaskAttempt]*attempt
	reports     []api.TaskReport
	leaseUntil  time.Time
	reportReady chan struct{} // holds a value while there is a new report
}

// attempt is a running attempt of a task.
type attempt struct {
	size  api.Resources
	timer *time.Timer
}

// taskTracker records on which worker each task runs, and checks that no task runs on
// two workers at once.
type taskTracker struct {
	checker    *checker
	mu         sync.Mutex
	running    map[string]string    // task -> worker
	published  map[string]int       // task -> number of counted results
	finishedAt map[string]time.Time // task -> when its first result was counted
	evictions  int                  // attempts stopped before their end
}

func newTaskTracker(check *checker) *taskTracker {
	return &taskTracker{checker: check, running: map[string]string{}, published: map[string]int{}, finishedAt: map[string]time.Time{}}
}

func (t *taskTracker) taskStarted(task, worker string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	other, twice := t.running[task]
	t.checker.check(oneAttemptAtATime, !twice, "task %s starts on %s while it runs on %s", task, worker, other)
	t.running[task] = worker
}

func (t *taskTracker) taskEnded(task string, evicted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, task)
	if evicted {
		t.evictions++
	}
}

func (t *taskTracker) taskPublished(task string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.published[task]++
	if _, ok := t.finishedAt[task]; !ok {
		t.finishedAt[task] = time.Now()
	}
}

// newWorker returns the worker with index i of a profile.
func newWorker(p profile, i int, entries []string, tracker *taskTracker) *worker {
	return &worker{
		name: fmt.Sprintf("worker-%s-%d", p.name, i), tracker: tracker, tasks: map[api.TaskAttempt]*attempt{}, reportReady: make(chan struct{}, 1),
		client: client.New(entries, client.WithTimeout(2*time.Second)),
		doc: api.Worker{
			Incarnation: 1, Pool: p.name + "-workers", FailureDomain: p.domains[i%len(p.domains)],
			Rack: fmt.Sprintf("rack-%d", i/2), Guard: true,
			Size:     api.Resources{MilliCPU: p.milliCPU, MemoryMB: p.milliCPU},
			Services: api.Resources{MilliCPU: p.milliCPU / 4, MemoryMB: p.milliCPU / 4},
		},
	}
}

// run sends heartbeats until ctx ends. It sends one at once if there is a new report.
func (w *worker) run(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		w.sendHeartbeat(ctx)
		select {
		case <-ctx.Done():
			w.stopAll()
			return
		case <-w.reportReady:
		case <-tick.C:
		}
	}
}

// sendHeartbeat sends a heartbeat and applies the reply. If none arrives and the lease
// has expired, it stops all tasks.
func (w *worker) sendHeartbeat(ctx context.Context) {
	sent := time.Now()
	w.mu.Lock()
	h := api.Heartbeat{Worker: w.doc, Reports: slices.Clone(w.reports)}
	for a := range w.tasks {
		h.Running = append(h.Running, a)
	}
	w.mu.Unlock()
	reply, err := w.client.Heartbeat(ctx, w.name, h)
	if err != nil {
		if time.Now().After(w.leaseUntil) {
			w.stopAll()
		}
		return
	}
	w.applyReply(sent, reply)
}

// applyReply extends the lease, which counts from the sending of the heartbeat, and
// carries out the orders.
func (w *worker) applyReply(sent time.Time, r api.HeartbeatReply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if until := sent.Add(time.Duration(r.LeaseSeconds * float64(time.Second))); until.After(w.leaseUntil) {
		w.leaseUntil = until
	}
	w.removeSettled(r.Settled)
	for _, o := range r.Orders {
		a := api.TaskAttempt{Task: o.Task, Epoch: o.Epoch}
		switch o.Kind {
		case "start":
			w.start(a, o)
		case "checkpoint":
			w.stop(a, "from-"+a.Task)
		case "stop":
			w.stop(a, "")
		}
	}
}

// removeSettled removes the acknowledged reports, and publishes the results of the
// attempts that are counted.
func (w *worker) removeSettled(settled []api.Settlement) {
	for _, s := range settled {
		i := slices.IndexFunc(w.reports, func(r api.TaskReport) bool { return r.Task == s.Task && r.Epoch == s.Epoch })
		if i < 0 {
			continue
		}
		if s.Counted && w.reports[i].Kind == "finished" {
			w.tracker.taskPublished(s.Task)
		}
		w.reports = slices.Delete(w.reports, i, i+1)
	}
}

// start starts an attempt, unless it is known already or the lease has expired.
func (w *worker) start(a api.TaskAttempt, o api.Order) {
	if w.tasks[a] != nil || w.ended(a) || time.Now().After(w.leaseUntil) {
		return
	}
	w.tracker.taskStarted(a.Task, w.name)
	d, err := time.ParseDuration(o.Command)
	if err != nil {
		d = time.Second
	}
	x := &attempt{size: o.Size}
	w.tasks[a] = x
	w.checkCapacity()
	w.report(api.TaskReport{Task: a.Task, Epoch: a.Epoch, Kind: "running"})
	x.timer = time.AfterFunc(d, func() { w.finish(a, x) })
}

// ended reports whether there is an unacknowledged final report of an attempt.
func (w *worker) ended(a api.TaskAttempt) bool {
	return slices.ContainsFunc(w.reports, func(r api.TaskReport) bool {
		return r.Task == a.Task && r.Epoch == a.Epoch && r.Kind != "running"
	})
}

// checkCapacity checks that the running attempts and the services fit on the worker.
func (w *worker) checkCapacity() {
	sum := w.doc.Services.Value()
	for _, t := range w.tasks {
		sum = sum.Plus(t.size.Value())
	}
	w.tracker.checker.check(hostLimits, sum.Fits(w.doc.Size.Value()), "%s with %v runs %v", w.name, w.doc.Size.Value(), sum)
}

// report replaces the report of an attempt and triggers a heartbeat.
func (w *worker) report(r api.TaskReport) {
	w.reports = slices.DeleteFunc(w.reports, func(o api.TaskReport) bool { return o.Task == r.Task && o.Epoch == r.Epoch })
	w.reports = append(w.reports, r)
	select {
	case w.reportReady <- struct{}{}:
	default:
	}
}

// finish ends an attempt that has run to its end, unless it was stopped before.
func (w *worker) finish(a api.TaskAttempt, x *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tasks[a] != x {
		return
	}
	delete(w.tasks, a)
	w.tracker.taskEnded(a.Task, false)
	w.report(api.TaskReport{Task: a.Task, Epoch: a.Epoch, Kind: "finished"})
}

// stop ends an attempt and reports it as stopped, also if it never ran here. It does
// nothing if the attempt has ended already.
func (w *worker) stop(a api.TaskAttempt, checkpoint string) {
	if w.ended(a) {
		return
	}
	if x := w.tasks[a]; x != nil {
		x.timer.Stop()
		delete(w.tasks, a)
		w.tracker.taskEnded(a.Task, true)
	}
	w.report(api.TaskReport{Task: a.Task, Epoch: a.Epoch, Kind: "stopped", Checkpoint: checkpoint})
}

func (w *worker) stopAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for a := range w.tasks {
		w.stop(a, "")
	}
}
