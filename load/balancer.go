package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"tamaracknotch/daemon"
)

// probeInterval is the time between two health checks of an entry, and the longest wait for its answer.
const probeInterval = 200 * time.Millisecond

// drainDelay is how long the balancer gets to notice that an entry is unready: a probe and the wait for it.
const drainDelay = 2 * probeInterval

// balancer simulates the load balancer in front of the entries. It distributes
// requests at random over the entries whose /readyz succeeds.
type balancer struct {
	checker *checker
	stop    *atomic.Pointer[gracefulStop]
	client  http.Client
	mu      sync.Mutex
	ready   map[string]bool // by the address for callers
}

func newBalancer(ctx context.Context, ds []*daemon.Daemon, check *checker, stop *atomic.Pointer[gracefulStop]) *balancer {
	b := &balancer{checker: check, stop: stop, client: http.Client{Timeout: probeInterval}, ready: map[string]bool{}}
	for _, d := range ds {
		b.probe(d)
		go func() { b.probeUntil(ctx, d) }()
	}
	return b
}

// probeUntil probes an entry at each interval until ctx ends.
func (b *balancer) probeUntil(ctx context.Context, d *daemon.Daemon) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			b.probe(d)
		}
	}
}

// probe updates whether an entry is ready.
func (b *balancer) probe(d *daemon.Daemon) {
	entry, probedAt := d.CallerAddr(), time.Now()
	ready := b.isReady(d)
	b.mu.Lock()
	b.ready[entry] = ready
	b.mu.Unlock()
	if ready {
		held := b.stop.Load().allowsReady(entry, probedAt)
		b.checker.check(unreadyAtOnce, held, "%s says that it is ready after its stop has begun", entry)
	}
}

func (b *balancer) isReady(d *daemon.Daemon) bool {
	resp, err := b.client.Get("http://" + d.OperatorAddr() + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pick returns the address of a ready entry, or "" if none is ready.
func (b *balancer) pick() string {
	ready := b.readyEntries()
	if len(ready) == 0 {
		return ""
	}
	return ready[rand.IntN(len(ready))]
}

func (b *balancer) readyCount() int { return len(b.readyEntries()) }

// readyEntries returns the addresses of the ready entries.
func (b *balancer) readyEntries() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for entry, ok := range b.ready {
		if ok {
			out = append(out, entry)
		}
	}
	return out
}
