package load

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"tamaracknotch/api"
	"tamaracknotch/daemon"
)

// runLoad is the default run. It puts load on a testbed, retires a backend server,
// stops a daemon gracefully and returns the report.
func runLoad(s settings, progress io.Writer) (Report, error) {
	s = s.withBaselines()
	x, err := startTestbed(s, progress)
	if err != nil {
		return Report{}, err
	}
	defer x.close()
	if err := x.startBackends(); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	x.cancel = cancel
	balancer := newBalancer(ctx, x.daemons, x.checker, &x.stop)
	x.startWorkers(ctx)
	time.Sleep(warmUpTime)
	x.progressf("%d daemons, %d backend servers; load for %v", len(x.daemons), len(x.backends), s.Duration)

	loadCtx, stop := context.WithTimeout(ctx, s.Duration)
	defer stop()
	var wg sync.WaitGroup
	var all []*callers
	batch := &batchLoad{testbed: x, rand: rand.New(rand.NewPCG(s.Seed, 2))}
	for _, p := range profiles {
		c := newCallers(p, balancer, x.checker, x.runs, &x.stop, s.Seed)
		all = append(all, c)
		wg.Go(func() { c.run(loadCtx) })
		wg.Go(func() { batch.run(loadCtx, p) })
	}
	wg.Go(func() { x.watchRevisions(loadCtx) })
	wg.Go(func() { x.reportProgress(loadCtx, balancer) })
	x.runOperations(loadCtx)
	wg.Wait()
	x.progressf("waiting for the last tasks")
	batch.awaitTasks()
	return x.report(all, batch), nil
}

// warmUpTime is the wait before the load, so that all entries have received the
// announcements and their first grants.
const warmUpTime = 2 * time.Second

// startWorkers starts the simulated workers of all profiles.
func (x *testbed) startWorkers(ctx context.Context) {
	for _, p := range profiles {
		for i := range p.workers {
			w := newWorker(p, i, x.callerAddrs(), x.tasks)
			go w.run(ctx)
		}
	}
}

// runOperations does what operators do during normal operation: it retires a backend
// server after a third of the load, and stops a daemon gracefully after two thirds,
// however long the edit takes.
func (x *testbed) runOperations(ctx context.Context) {
	third := x.settings.Duration / 3
	var wg sync.WaitGroup
	wg.Go(func() {
		sleep(ctx, third)
		x.retireBackend(ctx, x.backends[0])
	})
	wg.Go(func() {
		sleep(ctx, 2*third)
		x.stopEntry(ctx, x.daemons[len(x.daemons)-1])
	})
	wg.Wait()
}

// stopEntry stops a daemon gracefully. The stop takes as long as it needs, also beyond the end of the load.
func (x *testbed) stopEntry(ctx context.Context, d *daemon.Daemon) {
	x.progressf("stopping the entry at %s gracefully", d.CallerAddr())
	x.stop.Store(&gracefulStop{entry: d.CallerAddr(), begunAt: time.Now(), drainDelay: drainDelay})
	err := d.Stop(context.WithoutCancel(ctx))
	x.checker.check(noRequestCut, err == nil, "stop: %v", err)
}

// drainTime is the time after which a leaving backend server must receive no new
// requests.
const drainTime = 2 * time.Second

// retireBackend marks a backend server as leaving by an edit of the pools, as an
// operator does, and reports the requests in flight after drainTime. Requests that
// arrive later are counted as violations.
func (x *testbed) retireBackend(ctx context.Context, b *backend) {
	x.progressf("retiring %s by an edit of the pools", b.Name)
	err := x.put(ctx, "pools", api.Edit{ID: "retire-" + b.Name, By: "notchload", Pools: x.pools(b.Name)})
	x.checker.check(editInForce, err == nil, "retire %s: %v", b.Name, err)
	b.drainDeadline.Store(time.Now().Add(drainTime).UnixNano())
	sleep(ctx, drainTime)
	x.progressf("%s has %d requests in flight 2 s later", b.Name, b.inFlight.Load())
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// watchRevisions checks until ctx ends that the tables of no daemon go back to an
// earlier revision.
func (x *testbed) watchRevisions(ctx context.Context) {
	highest := make([]uint64, len(x.daemons))
	for ctx.Err() == nil {
		for i, d := range x.daemons {
			r := d.Engine().Tables().Revision
			x.checker.check(editInForce, r >= highest[i], "daemon %d went from revision %d to %d", i, highest[i], r)
			highest[i] = max(highest[i], r)
		}
		sleep(ctx, 20*time.Millisecond)
	}
}

// reportProgress prints the state of the run every 4 s until ctx ends.
func (x *testbed) reportProgress(ctx context.Context, b *balancer) {
	startedAt := time.Now()
	for ctx.Err() == nil {
		sleep(ctx, 4*time.Second)
		x.progressf("%3.0f s: %d entries ready, %d violations so far", time.Since(startedAt).Seconds(), b.readyCount(), x.checker.violationCount())
	}
}

// report makes the checks that are possible only after the load, and returns the
// report.
func (x *testbed) report(all []*callers, batch *batchLoad) Report {
	r := Report{Policies: x.settings.Policies, Counters: x.counters()}
	for _, c := range all {
		c.checkAtMostOnce()
		r.Services = append(r.Services, c.report())
		r.TooLate += c.refusals[reasonOf(sentTooLate)]
	}
	batch.checkCountedOnce()
	for _, b := range x.backends {
		if b.drainDeadline.Load() != 0 {
			x.checker.check(drainedInTime, b.lateRequests.Load() == 0, "%s got %d requests too late", b.Name, b.lateRequests.Load())
		}
	}
	r.Batch = batch.report(x.settings.Duration)
	if n := r.Counters["requests"]; n > 0 {
		r.Sends = float64(r.Counters["sends"]) / float64(n)
	}
	r.Promises, r.Examples = x.checker.report(), x.checker.examples
	return r
}

// counters returns the sums of the counters over all daemons.
func (x *testbed) counters() map[string]int64 {
	sum := map[string]int64{}
	for _, d := range x.daemons {
		d.Registry().Each(func(name string, m any) {
			if c, ok := m.(metrics.Counter); ok {
				sum[name] += c.Count()
			}
		})
	}
	return sum
}
