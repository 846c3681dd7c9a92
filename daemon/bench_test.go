package daemon

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	notch "tamaracknotch"
)

// startBench starts a single daemon with one route to a pool that consists of the
// backend server at the given address.
func startBench(b *testing.B, backend string) *Daemon {
	configureGC(0, true)
	s := Defaults("bench", "north")
	s.DataDir, s.Bootstrap, s.Lanes = b.TempDir(), true, 4
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := New(s, log, metrics.NewRegistry(), nil)
	if err != nil {
		b.Fatal(err)
	}
	if err := d.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(d.Kill)
	submit := func(c notch.Command) {
		if _, err := d.Engine().Submit(context.Background(), c); err != nil {
			b.Fatal(err)
		}
	}
	submit(notch.EditTable{ID: "p", Table: notch.PoolsTable, Base: 1, Pools: []notch.Pool{
		{Name: notch.ControlPool, Kind: notch.ReplicaPool, Hosts: []string{"bench"}}, {Name: "s", Kind: notch.ServicePool},
	}})
	submit(notch.EditTable{ID: "r", Table: notch.RoutesTable, Routes: []notch.Route{{Name: "r", Path: "/s", Pool: "s", Timeout: time.Second}}})
	announce := func() {
		d.Engine().AnnounceServer(notch.BackendServer{
			Name: "s1", Incarnation: 1, Address: backend, Host: "h", Domain: "north", Pool: "s", Slots: 512, Connections: 4096,
		})
	}
	announce()
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			time.Sleep(time.Second)
			announce()
		}
	}()
	time.Sleep(5 * time.Second) // until the slow start of the backend server is over
	return d
}

// benchRate is the rate of requests, per second.
const benchRate = 5000

// latencies sends n requests at benchRate and returns their durations, sorted.
func latencies(b *testing.B, c *http.Client, url string, n int) []time.Duration {
	out := make([]time.Duration, n)
	var wg sync.WaitGroup
	start := time.Now()
	for i := range n {
		if wait := time.Duration(i)*time.Second/benchRate - time.Since(start); wait > 0 {
			time.Sleep(wait)
		}
		wg.Go(func() {
			sent := time.Now()
			resp, err := c.Get(url)
			if err != nil {
				b.Error(err)
				return
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b.Errorf("status: got %d, want 200", resp.StatusCode)
			}
			out[i] = time.Since(sent)
		})
	}
	wg.Wait()
	slices.Sort(out)
	return out
}

// BenchmarkEntry compares requests through an entry with direct requests, at 5,000
// per second on loopback. At the median and the 99th percentile it reports the added
// latency in ms and the ratio of both latencies. An operation is a request.
func BenchmarkEntry(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }))
	defer backend.Close()
	d := startBench(b, strings.TrimPrefix(backend.URL, "http://"))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	n := max(b.N, 100)
	// Opens the connections of both paths before the measurement.
	latencies(b, client, backend.URL, 2*benchRate)
	latencies(b, client, "http://"+d.CallerAddr()+"/s", 2*benchRate)
	b.ResetTimer()
	direct := latencies(b, client, backend.URL, n)
	through := latencies(b, client, "http://"+d.CallerAddr()+"/s", n)
	for _, q := range []struct {
		name     string
		quantile float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		index := int(q.quantile * float64(n-1))
		added := (through[index] - direct[index]).Seconds() * 1000
		b.ReportMetric(added, q.name+"-added-ms")
		b.ReportMetric(float64(through[index])/float64(direct[index]), q.name+"-ratio")
	}
}
