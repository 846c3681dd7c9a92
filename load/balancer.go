package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"tamaracknotch/daemon"
)

// probeInterval is the time between two health checks of the balancer.
const probeInterval = 200 * time.Millisecond

// drainDelay is how long the balancer gets to notice that an entry is unready.
const drainDelay = 2 * probeInterval

// balancer simulates the load balancer in front of the entries. It distributes
// requests at random over the entries whose /readyz succeeds.
type balancer struct {
	daemons []*daemon.Daemon
	mu      sync.Mutex
	ready   []string
}

func newBalancer(ctx context.Context, ds []*daemon.Daemon) *balancer {
	b := &balancer{daemons: ds}
	b.probe()
	go func() {
		tick := time.NewTicker(probeInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				b.probe()
			}
		}
	}()
	return b
}

// probe updates the list of ready entries.
func (b *balancer) probe() {
	var ready []string
	probe := http.Client{Timeout: probeInterval}
	for _, d := range b.daemons {
		resp, err := probe.Get("http://" + d.OperatorAddr() + "/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			ready = append(ready, d.CallerAddr())
		}
	}
	b.mu.Lock()
	b.ready = ready
	b.mu.Unlock()
}

// pick returns the address of a ready entry, or "" if none is ready.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	return b.ready[rand.IntN(len(b.ready))]
}

func (b *balancer) readyCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready)
}
