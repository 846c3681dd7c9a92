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

// beatEvery is the period of heartbeats.
const beatEvery = 250 * time.Millisecond

// worker is a stand-in for a task host with the platform's agent.
type worker struct {
	name   string
	doc    api.Worker
	client *client.Client
	place  *placeBook

	mu      sync.Mutex
	tasks   map[api.Attempt]*attempt
	reports []api.Report
	until   time.Time
	news    chan struct{} // holds a token while there is something to report
}

// attempt is a task that runs on a worker.
type attempt struct {
	size  api.Resources
	timer *time.Timer
}

// placeBook knows where every task runs, and checks it.
type placeBook struct {
	check     *checker
	mu        sync.Mutex
	running   map[string]string
	published map[string]int
	done      map[string]time.Time
	stops     int
}

func newPlaceBook(check *checker) *placeBook {
	return &placeBook{check: check, running: map[string]string{}, published: map[string]int{}, done: map[string]time.Time{}}
}

func (b *placeBook) start(task, worker string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	other, twice := b.running[task]
	b.check.check(onePlace, !twice, "task %s starts on %s and runs on %s", task, worker, other)
	b.running[task] = worker
}

func (b *placeBook) end(task string, evicted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.running, task)
	if evicted {
		b.stops++
	}
}

func (b *placeBook) publish(task string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.published[task]++
	if _, ok := b.done[task]; !ok {
		b.done[task] = time.Now()
	}
}

func newWorker(p profile, i int, entries []string, place *placeBook) *worker {
	return &worker{
		name: fmt.Sprintf("worker-%s-%d", p.name, i), place: place, tasks: map[api.Attempt]*attempt{}, news: make(chan struct{}, 1),
		client: client.New(entries, client.WithTimeout(2*time.Second)),
		doc: api.Worker{
			Incarnation: 1, Pool: p.name + "-workers", FailureDomain: p.domains[i%len(p.domains)],
			Rack: fmt.Sprintf("rack-%d", i/2), Guard: true,
			Size:     api.Resources{MilliCPU: p.milliCPU, MemoryMB: p.milliCPU},
			Services: api.Resources{MilliCPU: p.milliCPU / 4, MemoryMB: p.milliCPU / 4},
		},
	}
}

// run sends heartbeats until ctx ends.
func (w *worker) run(ctx context.Context) {
	tick := time.NewTicker(beatEvery)
	defer tick.Stop()
	for {
		w.beat(ctx)
		select {
		case <-ctx.Done():
			w.stopAll()
			return
		case <-w.news:
		case <-tick.C:
		}
	}
}

func (w *worker) beat(ctx context.Context) {
	sent := time.Now()
	w.mu.Lock()
	h := api.Heartbeat{Worker: w.doc, Reports: slices.Clone(w.reports)}
	for a := range w.tasks {
		h.Running = append(h.Running, a)
	}
	w.mu.Unlock()
	reply, err := w.client.Heartbeat(ctx, w.name, h)
	if err != nil {
		if time.Now().After(w.until) {
			w.stopAll()
		}
		return
	}
	w.obey(sent, reply)
}

func (w *worker) obey(sent time.Time, r api.HeartbeatReply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if until := sent.Add(time.Duration(r.LeaseSeconds * float64(time.Second))); until.After(w.until) {
		w.until = until
	}
	w.settle(r.Settled)
	for _, o := range r.Orders {
		a := api.Attempt{Task: o.Task, Epoch: o.Epoch}
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

func (w *worker) settle(settled []api.Settled) {
	for _, s := range settled {
		i := slices.IndexFunc(w.reports, func(r api.Report) bool { return r.Task == s.Task && r.Epoch == s.Epoch })
		if i < 0 {
			continue
		}
		if s.Counted && w.reports[i].Kind == "finished" {
			w.place.publish(s.Task)
		}
		w.reports = slices.Delete(w.reports, i, i+1)
	}
}

func (w *worker) start(a api.Attempt, o api.Order) {
	if w.tasks[a] != nil || w.ended(a) || time.Now().After(w.until) {
		return
	}
	w.place.start(a.Task, w.name)
	d, err := time.ParseDuration(o.Command)
	if err != nil {
		d = time.Second
	}
	x := &attempt{size: o.Size}
	w.tasks[a] = x
	w.checkRoom()
	w.report(api.Report{Task: a.Task, Epoch: a.Epoch, Kind: "running"})
	x.timer = time.AfterFunc(d, func() { w.finish(a, x) })
}

// ended reports whether an attempt has a final report.
func (w *worker) ended(a api.Attempt) bool {
	return slices.ContainsFunc(w.reports, func(r api.Report) bool {
		return r.Task == a.Task && r.Epoch == a.Epoch && r.Kind != "running"
	})
}

func (w *worker) checkRoom() {
	sum := w.doc.Services.Value()
	for _, t := range w.tasks {
		sum = sum.Plus(t.size.Value())
	}
	w.place.check.check(hostLimits, sum.Fits(w.doc.Size.Value()), "%s of %v runs %v", w.name, w.doc.Size.Value(), sum)
}

func (w *worker) report(r api.Report) {
	w.reports = slices.DeleteFunc(w.reports, func(o api.Report) bool { return o.Task == r.Task && o.Epoch == r.Epoch })
	w.reports = append(w.reports, r)
	select {
	case w.news <- struct{}{}:
	default:
	}
}

func (w *worker) finish(a api.Attempt, x *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tasks[a] != x {
		return
	}
	delete(w.tasks, a)
	w.place.end(a.Task, false)
	w.report(api.Report{Task: a.Task, Epoch: a.Epoch, Kind: "finished"})
}

func (w *worker) stop(a api.Attempt, checkpoint string) {
	if w.ended(a) {
		return
	}
	if x := w.tasks[a]; x != nil {
		x.timer.Stop()
		delete(w.tasks, a)
		w.place.end(a.Task, true)
	}
	w.report(api.Report{Task: a.Task, Epoch: a.Epoch, Kind: "stopped", Checkpoint: checkpoint})
}

func (w *worker) stopAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for a := range w.tasks {
		w.stop(a, "")
	}
}
