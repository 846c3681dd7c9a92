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

// The headers by which the stand-ins of callers tell those of backend servers
// what to do.
const (
	headerNonce = "Load-Nonce" // repeated in the answer
	headerWork  = "Load-Work"  // service time
	headerSize  = "Load-Size"  // bytes of the answer
)

// announceEvery is the period of announcements.
const announceEvery = time.Second

// backend is a stand-in for a backend server.
type backend struct {
	api.BackendServer
	check    *checker
	runs     *runBook
	server   *http.Server
	inFlight atomic.Int64
	conns    atomic.Int64
	quietBy  atomic.Int64 // unix nanoseconds from which nothing new may come; 0: none
	tooLate  atomic.Int64 // requests that came after quietBy
	leaving  atomic.Bool
	stop     context.CancelFunc
	done     sync.WaitGroup
}

// runBook counts the runs of each request.
type runBook struct {
	mu   sync.Mutex
	runs map[string]int
}

func (b *runBook) add(nonce string) {
	b.mu.Lock()
	b.runs[nonce]++
	b.mu.Unlock()
}

func (b *runBook) count(nonce string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[nonce]
}

func newBackend(p profile, i int, entries []string, check *checker, runs *runBook) (*backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{check: check, runs: runs, BackendServer: api.BackendServer{
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

func (b *backend) connState(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		n := b.conns.Add(1)
		b.check.check(hostLimits, n <= int64(b.Connections), "%s has %d of %d connections", b.Name, n, b.Connections)
	case http.StateClosed, http.StateHijacked:
		b.conns.Add(-1)
	}
}

// announce tells the entries in turn that the backend server is there.
func (b *backend) announce(ctx context.Context, entries []string, i int) {
	tick := time.NewTicker(announceEvery)
	defer tick.Stop()
	for {
		doc := b.BackendServer
		doc.Leaving = b.leaving.Load()
		at := i % len(entries)
		order := append(append([]string{}, entries[at:]...), entries[:at]...)
		client.New(order, client.WithTimeout(announceEvery)).Announce(ctx, doc)
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
	b.check.check(hostLimits, n <= int64(b.Slots), "%s has %d requests in %d slots", b.Name, n, b.Slots)
	if by := b.quietBy.Load(); by != 0 && time.Now().UnixNano() >= by {
		b.tooLate.Add(1)
	}
	nonce := r.Header.Get(headerNonce)
	b.runs.add(nonce)
	work, _ := time.ParseDuration(r.Header.Get(headerWork))
	time.Sleep(work)
	size, _ := strconv.Atoi(r.Header.Get(headerSize))
	w.Header().Set(headerNonce, nonce)
	fmt.Fprint(w, answer(nonce, size))
}

// answer is the text that belongs to a nonce: its end proves that it is whole.
func answer(nonce string, size int) string {
	body := nonce + strings.Repeat(".", size)
	return body + strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(body))), 16) + "\n"
}

// close ends the backend server once nothing is in flight.
func (b *backend) close() {
	b.stop()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	b.server.Shutdown(ctx)
	b.done.Wait()
}

// decodeProblem reads a refusal.
func decodeProblem(body []byte) api.Problem {
	var p api.Problem
	json.Unmarshal(body, &p)
	return p
}
