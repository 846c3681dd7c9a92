package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"tamaracknotch/api"
)

// sample is one request as its caller saw it.
type sample struct {
	at      time.Duration // since the start of the load
	latency time.Duration
	work    time.Duration
	short   bool
	ok      bool
	refused bool
}

// callers is a stand-in for the callers of one profile.
type callers struct {
	profile  profile
	balancer *balancer
	check    *checker
	runs     *runBook
	client   *http.Client
	rand     *rand.Rand
	began    time.Time
	wg       sync.WaitGroup

	mu      sync.Mutex
	samples []sample
	nonces  []string // of non-idempotent requests
	refusal map[string]int
}

func newCallers(p profile, b *balancer, check *checker, runs *runBook, seed uint64) *callers {
	tr := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 5 * time.Second}
	return &callers{
		profile: p, balancer: b, check: check, runs: runs, refusal: map[string]int{},
		client: &http.Client{Transport: tr, Timeout: 10 * time.Second}, rand: rand.New(rand.NewPCG(seed, uint64(len(p.name)))),
	}
}

// swing is the period of the demand, which goes from low to crest and back.
const swing = 8 * time.Second

// The bounds of the demand, as shares of the capacity.
const (
	demandLow   = 0.3
	demandCrest = 1.5
)

// demandAt returns the demand as a share of the capacity.
func demandAt(t time.Duration) float64 {
	phase := math.Mod(t.Seconds()/swing.Seconds(), 1)
	// A sharp crest: most of the period is low, the rise takes a second.
	wave := math.Exp(-math.Pow((phase-0.5)/0.16, 2))
	return demandLow + (demandCrest-demandLow)*wave
}

// run sends requests as a Poisson stream until ctx ends, then waits for the
// answers.
func (c *callers) run(ctx context.Context) {
	c.began = time.Now()
	due := time.Duration(0)
	for id := 0; ctx.Err() == nil; id++ {
		rate := c.profile.capacity() * demandAt(due)
		due += time.Duration(c.rand.ExpFloat64() / rate * float64(time.Second))
		if wait := due - time.Since(c.began); wait > 0 {
			time.Sleep(wait)
		}
		r := c.draw(id)
		c.wg.Go(func() { c.send(r) })
	}
	c.wg.Wait()
	c.client.CloseIdleConnections()
}

// request is a request of a stand-in.
type request struct {
	nonce string
	work  time.Duration
	short bool
	once  bool
	size  int
	at    time.Duration
}

func (c *callers) draw(id int) request {
	p := c.profile
	r := request{
		nonce: fmt.Sprintf("%s-%d", p.name, id), work: p.short, short: true,
		once: c.rand.Float64() < p.once, size: c.rand.IntN(20_000), at: time.Since(c.began),
	}
	if c.rand.Float64() < p.longShare {
		r.work, r.short = p.long, false
	}
	if c.rand.Float64() < p.straggle {
		r.work *= stragglerFactor
	}
	if c.rand.Float64() < 0.01 {
		r.size = 300_000
	}
	return r
}

func (c *callers) send(r request) {
	target := c.balancer.pick()
	if target == "" {
		c.add(r, 0, false, "no entry is ready")
		return
	}
	began := time.Now()
	resp, err := c.client.Do(c.httpRequest(target, r))
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	latency := time.Since(began)
	if err != nil {
		// Nothing in a run cuts a connection, so any that breaks was cut.
		c.check.check(noneCut, false, "request %s: %v", r.nonce, err)
		c.add(r, latency, false, "connection broken")
		return
	}
	c.check.check(noneCut, true, "")
	c.judge(r, resp, body, latency)
}

func (c *callers) httpRequest(target string, r request) *http.Request {
	method, body := http.MethodGet, []byte(nil)
	if r.once {
		method, body = http.MethodPost, []byte("count "+r.nonce)
	}
	req, err := http.NewRequest(method, "http://"+target+"/"+c.profile.name+"/work", bytes.NewReader(body))
	if err != nil {
		panic(err) // The parts of the URL are the stand-in's own.
	}
	req.Header.Set(headerNonce, r.nonce)
	req.Header.Set(headerWork, r.work.String())
	req.Header.Set(headerSize, strconv.Itoa(r.size))
	req.Header.Set("Request-Kind", kindOf(r))
	return req
}

func kindOf(r request) string {
	if r.short {
		return "short"
	}
	return "long"
}

// judge checks what came back.
func (c *callers) judge(r request, resp *http.Response, body []byte, latency time.Duration) {
	if resp.StatusCode == http.StatusOK {
		whole := string(body) == answer(r.nonce, r.size) && resp.Header.Get(headerNonce) == r.nonce
		c.check.check(wholeAnswer, whole, "request %s got %d bytes", r.nonce, len(body))
		c.add(r, latency, true, "")
		return
	}
	if resp.Header.Get(api.NotRunHeader) == "true" {
		runs := c.runs.count(r.nonce)
		c.check.check(notRunTrue, runs == 0, "request %s ran %d times", r.nonce, runs)
	}
	c.add(r, latency, false, decodeProblem(body).Detail)
}

func (c *callers) add(r request, latency time.Duration, ok bool, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples = append(c.samples, sample{at: r.at, latency: latency, work: r.work, short: r.short, ok: ok, refused: !ok})
	if !ok {
		c.refusal[reason]++
	}
	if r.once {
		c.nonces = append(c.nonces, r.nonce)
	}
}

// settle checks what shows only at the end.
func (c *callers) settle() {
	for _, nonce := range c.nonces {
		n := c.runs.count(nonce)
		c.check.check(atMostOnce, n <= 1, "request %s ran %d times", nonce, n)
	}
}
