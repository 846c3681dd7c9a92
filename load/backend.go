package load

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tamaracknotch/api"
	"tamaracknotch/client"
)

// The request headers with which a simulated caller controls how a simulated backend
// server answers.
const (
	headerNonce = "Load-Nonce" // unique id of the request, copied into the answer
	headerWork  = "Load-Work"  // service time, as a Go duration
	headerSize  = "Load-Size"  // number of filler bytes in the answer
)

// announceInterval is the time between two announcements of a backend server.
const announceInterval = time.Second

// backend is a simulated backend server. It counts violations of its limits.
type backend struct {
	api.BackendServer
	checker       *checker
	runs          *runCounter
	server        *http.Server
	inFlight      atomic.Int64
	connections   atomic.Int64
	drainDeadline atomic.Int64 // Unix time in ns after which a new request is a violation; 0: never
	lateRequests  atomic.Int64 // requests that arrived after drainDeadline
	stop          context.CancelFunc
	done          sync.WaitGroup
}

// runCounter counts how often each request ran, by its nonce.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *runCounter) increment(nonce string) {
	c.mu.Lock()
	c.runs[nonce]++
	c.mu.Unlock()
}

func (c *runCounter) count(nonce string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[nonce]
}

// newBackend starts the backend server with index i of a profile.
func newBackend(p profile, i int, entries []string, check *checker, runs *runCounter) (*backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{checker: check, runs: runs, BackendServer: api.BackendServer{
		Name: fmt.Sprintf("%s-%d", p.name, i), Incarnation: 1, Address: l.Addr().String(),
		Host: fmt.Sprintf("host-%s-%d", p.name, i), FailureDomain: p.domains[i%len(p.domains)],
		Pool: p.pool, Slots: p.slots, Connections: 8 * p.slots,
	}}
	b.server = &http.Server{Handler: b, ConnState: b.connState}
	b.done.Go(func() { b.server.Serve(l) })
	ctx, stop := context.WithCancel(context.Background())
	b.stop = stop
	b.done.Go(func() { b.announce(ctx, entries, i) })
	return b, nil
}

// connState checks the limit of connections.
func (b *backend) connState(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		n := b.connections.Add(1)
		b.checker.check(hostLimits, n <= int64(b.Connections), "%s has %d of %d connections", b.Name, n, b.Connections)
	case http.StateClosed, http.StateHijacked:
		b.connections.Add(-1)
	}
}

// announce sends announcements, each to the next entry in turn, until ctx ends.
func (b *backend) announce(ctx context.Context, entries []string, i int) {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		first := i % len(entries)
		order := append(append([]string{}, entries[first:]...), entries[:first]...)
		client.New(order, client.WithTimeout(announceInterval)).Announce(ctx, b.BackendServer)
		i++
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	b.checker.check(hostLimits, n <= int64(b.Slots), "%s has %d requests in %d slots", b.Name, n, b.Slots)
	if deadline := b.drainDeadline.Load(); deadline != 0 && time.Now().UnixNano() >= deadline {
		b.lateRequests.Add(1)
	}
	nonce := r.Header.Get(headerNonce)
	b.runs.increment(nonce)
	work, _ := time.ParseDuration(r.Header.Get(headerWork))
	time.Sleep(work)
	size, _ := strconv.Atoi(r.Header.Get(headerSize))
	w.Header().Set(headerNonce, nonce)
	fmt.Fprint(w, answerBody(nonce, size))
}

// answerBody returns the answer to the request with the given nonce. It ends with a
// checksum, so that a truncated or mixed-up answer is detected.
func answerBody(nonce string, size int) string {
	body := nonce + strings.Repeat(".", size)
	return body + strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(body))), 16) + "\n"
}

// close stops the backend server once no request is in flight, after 5 s at the
// latest.
func (b *backend) close() {
	b.stop()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	b.server.Shutdown(ctx)
	b.done.Wait()
}

// decodeProblem decodes the problem document of a refusal.
func decodeProblem(body []byte) api.Problem {
	var p api.Problem
	json.Unmarshal(body, &p)
	return p
}
