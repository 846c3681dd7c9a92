package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tamaracknotch/api"
)

// sample is the result of one request as seen by its caller.
type sample struct {
	sentAt  time.Duration // since the start of the load
	latency time.Duration
	work    time.Duration // service time
	short   bool
	ok      bool // the status was 200
}

// callers simulates the callers of one profile.
type callers struct {
	profile   profile
	balancer  *balancer
	checker   *checker
	runs      *runCounter
	stop      *atomic.Pointer[gracefulStop]
	client    *http.Client
	rand      *rand.Rand
	startedAt time.Time
	wg        sync.WaitGroup

	mu            sync.Mutex
	samples       []sample
	nonIdempotent []string // nonces of the non-idempotent requests
	refusals      map[string]int
}

func newCallers(p profile, b *balancer, check *checker, runs *runCounter, stop *atomic.Pointer[gracefulStop], seed uint64) *callers {
	tr := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 5 * time.Second}
	return &callers{
		profile: p, balancer: b, checker: check, runs: runs, stop: stop, refusals: map[string]int{},
		client: &http.Client{Transport: tr, Timeout: 10 * time.Second}, rand: rand.New(rand.NewPCG(seed, uint64(len(p.name)))),
	}
}

// demandPeriod is the period of the demand, which rises from demandLow to demandPeak
// and falls again.
const demandPeriod = 8 * time.Second

// The bounds of the demand, relative to the capacity.
const (
	demandLow  = 0.3
	demandPeak = 1.5
)

// demandAt returns the demand relative to the capacity, t after the start of the load.
func demandAt(t time.Duration) float64 {
	phase := math.Mod(t.Seconds()/demandPeriod.Seconds(), 1)
	// A narrow bell curve: the demand is low for most of the period and rises within
	// about a second.
	wave := math.Exp(-math.Pow((phase-0.5)/0.16, 2))
	return demandLow + (demandPeak-demandLow)*wave
}

// run sends requests as a Poisson process until ctx ends, then waits for the
// answers.
func (c *callers) run(ctx context.Context) {
	c.startedAt = time.Now()
	due := time.Duration(0)
	for id := 0; ctx.Err() == nil; id++ {
		rate := c.profile.capacity() * demandAt(due)
		due += time.Duration(c.rand.ExpFloat64() / rate * float64(time.Second))
		if wait := due - time.Since(c.startedAt); wait > 0 {
			time.Sleep(wait)
		}
		r := c.newRequest(id)
		c.wg.Go(func() { c.send(r) })
	}
	c.wg.Wait()
	c.client.CloseIdleConnections()
}

// request is one simulated request.
type request struct {
	nonce         string
	work          time.Duration // service time
	short         bool
	nonIdempotent bool
	size          int           // number of filler bytes in the answer
	sentAt        time.Duration // since the start of the load
}

// newRequest draws the properties of a request at random.
func (c *callers) newRequest(id int) request {
	p := c.profile
	r := request{
		nonce: fmt.Sprintf("%s-%d", p.name, id), work: p.short, short: true,
		nonIdempotent: c.rand.Float64() < p.nonIdempotentShare, size: c.rand.IntN(20_000), sentAt: time.Since(c.startedAt),
	}
	if c.rand.Float64() < p.longShare {
		r.work, r.short = p.long, false
	}
	if c.rand.Float64() < p.stragglerShare {
		r.work *= stragglerFactor
	}
	if c.rand.Float64() < 0.01 {
		r.size = 300_000
	}
	return r
}

// send sends a request to a ready entry and checks the answer.
func (c *callers) send(r request) {
	target := c.balancer.pick()
	if target == "" {
		c.record(r, 0, false, "no entry is ready")
		return
	}
	trace := newRequestTrace(target)
	req := c.httpRequest(target, r)
	sentAt := time.Now()
	resp, err := c.client.Do(req.WithContext(trace.attach(req.Context())))
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	latency := time.Since(sentAt)
	if err != nil {
		c.recordFailure(r, latency, trace, err)
		return
	}
	c.checker.check(noRequestCut, true, "")
	c.checker.check(everyAnswer, true, "")
	c.checkAnswer(r, resp, body, latency)
}

// recordFailure records a request that got no answer, and checks whose fault that is.
func (c *callers) recordFailure(r request, latency time.Duration, trace *requestTrace, err error) {
	failedAt := time.Now()
	var timeout net.Error
	f := failedRequest{
		entry: trace.entry, reachedAt: trace.reachedAt(failedAt), failedAt: failedAt,
		gaveUp: errors.As(err, &timeout) && timeout.Timeout(),
	}
	v := c.stop.Load().judge(f)
	c.checker.check(noRequestCut, v != cutOff, "request %s: %v (%s)", r.nonce, err, trace.describe(c.startedAt))
	c.checker.check(everyAnswer, v != unanswered, "request %s: %v (%s)", r.nonce, err, trace.describe(c.startedAt))
	c.record(r, latency, false, reasonOf(v))
}

func (c *callers) httpRequest(target string, r request) *http.Request {
	method, body := http.MethodGet, []byte(nil)
	if r.nonIdempotent {
		method, body = http.MethodPost, []byte("count "+r.nonce)
	}
	req, err := http.NewRequest(method, "http://"+target+"/"+c.profile.name+"/work", bytes.NewReader(body))
	if err != nil {
		panic(err) // All parts of the URL are valid.
	}
	req.Header.Set(headerNonce, r.nonce)
	req.Header.Set(headerWork, r.work.String())
	req.Header.Set(headerSize, strconv.Itoa(r.size))
	req.Header.Set("Request-Kind", kindOf(r))
	return req
}

// kindOf returns the value of the Request-Kind header.
func kindOf(r request) string {
	if r.short {
		return "short"
	}
	return "long"
}

// checkAnswer checks the promises about an answer and records the request.
func (c *callers) checkAnswer(r request, resp *http.Response, body []byte, latency time.Duration) {
	if resp.StatusCode == http.StatusOK {
		intact := string(body) == answerBody(r.nonce, r.size) && resp.Header.Get(headerNonce) == r.nonce
		c.checker.check(wholeAnswer, intact, "request %s got a wrong answer of %d bytes", r.nonce, len(body))
		c.record(r, latency, true, "")
		return
	}
	if resp.Header.Get(api.NotRunHeader) == "true" {
		runs := c.runs.count(r.nonce)
		c.checker.check(notRunIsTrue, runs == 0, "request %s ran %d times", r.nonce, runs)
	}
	c.record(r, latency, false, decodeProblem(body).Detail)
}

// record stores the result of a request. reason is the reason of a failure.
func (c *callers) record(r request, latency time.Duration, ok bool, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples = append(c.samples, sample{sentAt: r.sentAt, latency: latency, work: r.work, short: r.short, ok: ok})
	if !ok {
		c.refusals[reason]++
	}
	if r.nonIdempotent {
		c.nonIdempotent = append(c.nonIdempotent, r.nonce)
	}
}

// checkAtMostOnce checks, after the load, that no non-idempotent request ran twice.
func (c *callers) checkAtMostOnce() {
	for _, nonce := range c.nonIdempotent {
		n := c.runs.count(nonce)
		c.checker.check(atMostOnce, n <= 1, "request %s ran %d times", nonce, n)
	}
}
