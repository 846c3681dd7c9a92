package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"tamaracknotch/daemon"
)

// probeEvery is the period of the balancer's health checks.
const probeEvery = 200 * time.Millisecond

// balancer is a stand-in for the platform's balancer: it spreads callers over
// the entries that say that they are ready.
type balancer struct {
	daemons []*daemon.Daemon
	mu      sync.Mutex
	ready   []string
}

func newBalancer(ctx context.Context, ds []*daemon.Daemon) *balancer {
	b := &balancer{daemons: ds}
	b.probe()
	go func() {
		tick := time.NewTicker(probeEvery)
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

func (b *balancer) probe() {
	var ready []string
	probe := http.Client{Timeout: probeEvery}
	for _, d := range b.daemons {
		resp, err := probe.Get("http://" + d.Operators() + "/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			ready = append(ready, d.Callers())
		}
	}
	b.mu.Lock()
	b.ready = ready
	b.mu.Unlock()
}

// pick returns an entry, or "" if none is ready.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	return b.ready[rand.IntN(len(b.ready))]
}

func (b *balancer) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready)
}
