package load

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"tamaracknotch/api"
)

// run is the default run: load on a site, a backend server retired, a daemon
// stopped gracefully, then the report.
func run(s settings, progress io.Writer) (Report, error) {
	s = s.resolved()
	x, err := startSite(s, progress)
	if err != nil {
		return Report{}, err
	}
	defer x.close()
	if err := x.startBackends(); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	x.cancel = cancel
	balancer := newBalancer(ctx, x.daemons)
	x.startWorkers(ctx)
	time.Sleep(settleTime)
	x.say("%d daemons, %d backend servers; load for %v", len(x.daemons), len(x.backends), s.Duration)

	lctx, stop := context.WithTimeout(ctx, s.Duration)
	defer stop()
	var wg sync.WaitGroup
	var all []*callers
	batch := &batchLoad{site: x, rand: rand.New(rand.NewPCG(s.Seed, 2))}
	for _, p := range profiles {
		c := newCallers(p, balancer, x.check, x.runs, s.Seed)
		all = append(all, c)
		wg.Go(func() { c.run(lctx) })
		wg.Go(func() { batch.run(lctx, p) })
	}
	wg.Go(func() { x.watchRevisions(lctx) })
	wg.Go(func() { x.tellProgress(lctx, balancer) })
	x.events(lctx)
	wg.Wait()
	x.say("waiting for the last tasks")
	batch.await()
	return x.report(all, batch), nil
}

// settleTime lets announcements and first grants spread before the load.
const settleTime = 2 * time.Second

func (x *site) startWorkers(ctx context.Context) {
	for _, p := range profiles {
		for i := range p.workers {
			w := newWorker(p, i, x.callerAddresses(), x.place)
			go w.run(ctx)
		}
	}
}

// events retires a backend server at a third of the load, and stops a daemon at
// two thirds.
func (x *site) events(ctx context.Context) {
	third := x.settings.Duration / 3
	pause(ctx, third)
	x.retire(ctx, x.backends[0])
	pause(ctx, third-drainedAfter)
	last := x.daemons[len(x.daemons)-1]
	x.say("stopping daemon entry-3 gracefully")
	if err := last.Stop(ctx); err != nil {
		x.check.check(noneCut, false, "stop: %v", err)
	}
}

// drainedAfter is when a leaving backend server must get nothing new any more.
const drainedAfter = 2 * time.Second

// retire marks a backend server as leaving by an edit of pools, as an operator
// does, and stops it once it is drained.
func (x *site) retire(ctx context.Context, b *backend) {
	x.say("retiring %s by an edit of pools", b.Name)
	err := x.put(ctx, "pools", api.Edit{ID: "retire-" + b.Name, By: "notchload", Pools: x.pools(b.Name)})
	x.check.check(inForce, err == nil, "retire %s: %v", b.Name, err)
	b.quietBy.Store(time.Now().Add(drainedAfter).UnixNano())
	pause(ctx, drainedAfter)
	x.say("%s has %d requests in flight 2 s later", b.Name, b.inFlight.Load())
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// watchRevisions checks that no daemon's tables ever revert.
func (x *site) watchRevisions(ctx context.Context) {
	highest := make([]uint64, len(x.daemons))
	for ctx.Err() == nil {
		for i, d := range x.daemons {
			r := d.Engine().Tables().Revision
			x.check.check(inForce, r >= highest[i], "daemon %d went from revision %d to %d", i, highest[i], r)
			highest[i] = max(highest[i], r)
		}
		pause(ctx, 20*time.Millisecond)
	}
}

func (x *site) tellProgress(ctx context.Context, b *balancer) {
	began := time.Now()
	for ctx.Err() == nil {
		pause(ctx, 4*time.Second)
		x.say("%3.0f s: %d entries ready, %d violations so far", time.Since(began).Seconds(), b.count(), x.check.broken())
	}
}

func (x *site) report(all []*callers, batch *batchLoad) Report {
	r := Report{Decisions: x.settings.Decisions, Counters: x.counters()}
	for _, c := range all {
		c.settle()
		r.Services = append(r.Services, c.report())
	}
	batch.settle()
	for _, b := range x.backends {
		if b.quietBy.Load() != 0 {
			x.check.check(drained, b.tooLate.Load() == 0, "%s got %d requests too late", b.Name, b.tooLate.Load())
		}
	}
	r.Batch = batch.report(x.settings.Duration)
	if n := r.Counters["requests"]; n > 0 {
		r.Sends = float64(r.Counters["sends"]) / float64(n)
	}
	r.Promises, r.Examples = x.check.report(), x.check.examples
	return r
}

// counters sums the counters of all daemons.
func (x *site) counters() map[string]int64 {
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
