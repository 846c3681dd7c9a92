package experiment

import (
	"fmt"
	"slices"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/drive"
	"tamaracknotch/fake"
	"tamaracknotch/pick"
	"tamaracknotch/queue"
	"tamaracknotch/retry"
	"tamaracknotch/share"
	"tamaracknotch/traffic"
)

// workload is the service of one of the users' systems, at its full size.
type workload struct {
	name             string
	domains          []string
	domainDelay      time.Duration // one-way delay between failure domains
	servers          int
	slotsPerServer   int
	shortServiceTime time.Duration // mean, without stragglers and degraded backend servers
	longServiceTime  time.Duration // the same for long requests
	longShare        float64       // share of long requests
}

var workloads = []workload{
	{"strikeledger", []string{"north", "south", "west"}, 5 * time.Millisecond, 65, 8, 20 * time.Millisecond, 200 * time.Millisecond, 0.1},
	{"kilnseconds", []string{"kiln", "dock", "tent"}, 4 * time.Millisecond, 50, 8, 25 * time.Millisecond, 120 * time.Millisecond, 0.2},
}

// The stragglers and degraded backend servers of every workload. Each backend server is
// degraded for degradedDuration in every degradedPeriod.
const (
	stragglerShare   = 0.01 // share of the sends that take stragglerFactor times as long
	stragglerFactor  = 30
	degradedFactor   = 4 // factor on the service times of a degraded backend server
	degradedDuration = 8 * time.Second
	degradedPeriod   = 128 * time.Second
	degradedShare    = float64(degradedDuration) / float64(degradedPeriod) // share of the backend servers that are degraded at a time
)

// entryCount is the number of entries of the users' systems today.
const entryCount = 9

// meanServiceTime returns the mean service time in seconds, with stragglers and degraded
// backend servers.
func (w workload) meanServiceTime() float64 {
	base := w.shortServiceTime.Seconds()*(1-w.longShare) + w.longServiceTime.Seconds()*w.longShare
	return base * (1 + stragglerShare*(stragglerFactor-1)) * (1 + degradedShare*(degradedFactor-1))
}

// capacity returns the number of requests per second that all slots together serve.
func (w workload) capacity() float64 {
	return float64(w.servers*w.slotsPerServer) / w.meanServiceTime()
}

// trafficPolicy is a traffic.Policy and a divider, with the name that the table shows.
type trafficPolicy struct {
	name    string
	traffic traffic.Policy
	divider notch.Divider
}

// trafficPolicies returns the default policy, variants that differ from it in one
// decision, and the naive baseline.
func trafficPolicies() []trafficPolicy {
	with := func(name string, change func(*trafficPolicy)) trafficPolicy {
		p := trafficPolicy{name: name, traffic: traffic.DefaultPolicy(), divider: share.ByDemand{FloorDivisor: share.DefaultFloorDivisor}}
		change(&p)
		return p
	}
	picker := func(name string) notch.Picker {
		p, _ := pick.New(name)
		return p
	}
	return []trafficPolicy{
		with("chosen", func(*trafficPolicy) {}),
		with("pick tail (p95)", func(p *trafficPolicy) { p.traffic.Picker = picker("tail") }),
		with("pick load", func(p *trafficPolicy) { p.traffic.Picker = picker("load") }),
		with("pick scan of all", func(p *trafficPolicy) { p.traffic.Picker = picker("all") }),
		with("pick two of all", func(p *trafficPolicy) { p.traffic.Picker = picker("two") }),
		with("pick random", func(p *trafficPolicy) { p.traffic.Picker = picker("random") }),
		with("queue fifo", func(p *trafficPolicy) { p.traffic.Order = queue.FIFO{} }),
		with("admit to the deadline", func(p *trafficPolicy) { p.traffic.Admitter = queue.DeadlineAdmitter{MaxWaitShare: 1} }),
		with("admit to 0.1 of it", func(p *trafficPolicy) { p.traffic.Admitter = queue.DeadlineAdmitter{MaxWaitShare: 0.1} }),
		with("admit bounded", func(p *trafficPolicy) { p.traffic.Admitter = queue.BoundedAdmitter{} }),
		with("share equal", func(p *trafficPolicy) { p.divider = share.Equal{} }),
		with("no hedges", func(p *trafficPolicy) { p.traffic.Retrier, _ = retry.New("no-hedge") }),
		with("retry unlimited", func(p *trafficPolicy) { p.traffic.Retrier = retry.Unlimited{} }),
		with("no ejection", func(p *trafficPolicy) { p.traffic.EjectOutliers = false }),
		with("naive", func(p *trafficPolicy) { p.traffic, p.divider = traffic.NaivePolicy(), share.Equal{} }),
	}
}

// trafficRun holds the measurements of one simulated run.
type trafficRun struct {
	requests, answered int
	answeredAtPeak     int // requests answered while the demand was at least the capacity
	latenciesMS        []float64
	shortSlowdowns     []float64 // latency of short requests divided by shortServiceTime
	counters           map[string]int64
	violations         int
}

// scenario is a course of demand over time, as a share of the capacity.
type scenario struct {
	name   string
	length time.Duration
	demand func(t time.Duration) float64
}

func scenarios() []scenario {
	steady := func(share float64) func(time.Duration) float64 {
		return func(time.Duration) float64 { return share }
	}
	return []scenario{
		{"0.8 of capacity", 20 * time.Second, steady(0.8)},
		{"0.5 of capacity", 16 * time.Second, steady(0.5)},
		{"swing 0.3 to 1.5", 24 * time.Second, swingDemand},
	}
}

// swingDemand alternates between low and peak demand with a period of 8 seconds: 3
// seconds low, 1 second rising, 3 seconds at the peak and 1 second falling.
func swingDemand(t time.Duration) float64 {
	const low, peak = 0.3, 1.5
	phase := t % (8 * time.Second)
	switch {
	case phase < 3*time.Second:
		return low
	case phase < 4*time.Second:
		return low + (peak-low)*(phase-3*time.Second).Seconds()
	case phase < 7*time.Second:
		return peak
	default:
		return peak - (peak-low)*(phase-7*time.Second).Seconds()
	}
}

// Traffic compares the decisions about requests with their baselines.
func Traffic(full bool, seed uint64) []Table {
	var out []Table
	for _, w := range workloads {
		for _, sc := range scenarios() {
			out = append(out, trafficTable(w, sc, full, seed))
		}
	}
	return out
}

// trafficTable runs every policy on one workload and scenario.
func trafficTable(w workload, sc scenario, full bool, seed uint64) Table {
	if !full {
		w.servers /= 3
	}
	ps := trafficPolicies()
	t := Table{
		Title:   fmt.Sprintf("%s, %s, %d backend servers, %d entries", w.name, sc.name, w.servers, entryCount),
		Columns: []string{"p50 ms", "p95 ms", "p99 ms", "p99.9 ms", "answered %", "of capacity %", "short p99 slowdown", "sends/request", "other domain %", "violations"},
	}
	t.Rows = parallelRows(len(ps), func(i int) Row { return w.row(ps[i], sc, seed) })
	t.Checks = trafficChecks(t, sc)
	return t
}

// trafficChecks compares the chosen policy with the users' targets that apply to the
// scenario, which is recognized by its initial demand.
func trafficChecks(t Table, sc scenario) []Check {
	out := []Check{
		{Name: "violations of promises", Measured: t.value("chosen", "violations")},
		{Name: "sends to other failure domains, %", Measured: t.value("chosen", "other domain %"), Max: 10},
	}
	switch sc.demand(0) {
	case 0.8:
		random := t.value("pick random", "p99 ms")
		random = max(random, t.value("naive", "p99 ms"))
		out = append(out,
			Check{Name: "p99 relative to random choice's", Measured: t.value("chosen", "p99 ms") / random, Max: 0.5},
			Check{Name: "p99 slowdown of short work", Measured: t.value("chosen", "short p99 slowdown"), Max: 5})
	case 0.3:
		out = append(out, Check{Name: "useful answers at the crest, % of capacity", Measured: t.value("chosen", "of capacity %"), Min: 95})
	}
	return out
}

// row simulates one policy and returns its figures.
func (w workload) row(p trafficPolicy, sc scenario, seed uint64) Row {
	x := w.run(p, sc, seed)
	peakSeconds := 0.0
	for t := time.Duration(0); t < sc.length; t += 10 * time.Millisecond {
		if sc.demand(t) >= 1 {
			peakSeconds += 0.01
		}
	}
	ofCapacity := 0.0
	if peakSeconds > 0 {
		ofCapacity = 100 * float64(x.answeredAtPeak) / (w.capacity() * peakSeconds)
	}
	slices.Sort(x.latenciesMS)
	slices.Sort(x.shortSlowdowns)
	sends, requests := float64(x.counters["sends"]), float64(max(x.requests, 1))
	return Row{p.name, []float64{
		quantile(x.latenciesMS, 0.5), quantile(x.latenciesMS, 0.95), quantile(x.latenciesMS, 0.99), quantile(x.latenciesMS, 0.999),
		100 * float64(x.answered) / requests, ofCapacity, quantile(x.shortSlowdowns, 0.99),
		sends / requests, 100 * float64(x.counters["sends-to-other-domains"]) / max(sends, 1), float64(x.violations),
	}}
}

// startTestbed starts a testbed with entryCount entries, of which three are replicas,
// and the backend servers.
func (w workload) startTestbed(p trafficPolicy, seed uint64) (*fake.Testbed, []*drive.Node) {
	s := fake.New(seed)
	s.Policies.Traffic, s.Policies.Divider = p.traffic, p.divider
	s.Net.Loss = 0.01
	s.Net.Delay = func(a, b *drive.Node) time.Duration {
		if a.Self.Domain == b.Self.Domain {
			return 200 * time.Microsecond
		}
		return w.domainDelay
	}
	var entries []*drive.Node
	for i := range entryCount {
		entries = append(entries, s.AddDaemon(fmt.Sprintf("entry-%d", i), w.domains[i%3], i < 3, i == 0))
	}
	s.Run(2 * time.Second)
	pools := []notch.Pool{
		{Name: notch.ControlPool, Kind: notch.ReplicaPool, Hosts: []string{"entry-0", "entry-1", "entry-2"}},
		{Name: w.name, Kind: notch.ServicePool},
	}
	s.Submit(entries[0], notch.EditTable{ID: "p", Table: notch.PoolsTable, Base: 1, Pools: pools}, 5*time.Second, func(notch.Answer) {})
	s.Run(2 * time.Second)
	s.Submit(entries[0], notch.EditTable{ID: "r", Table: notch.RoutesTable, Routes: []notch.Route{w.route()}}, 5*time.Second, func(notch.Answer) {})
	for i := range w.servers {
		w.addServer(s, i)
	}
	s.Run(6 * time.Second)
	return s, entries
}

func (w workload) route() notch.Route {
	return notch.Route{Name: w.name, Path: "/" + w.name, Pool: w.name, Timeout: 2 * time.Second}
}

// addServer adds backend server i. Its service times are random, with stragglers and
// degraded periods.
func (w workload) addServer(s *fake.Testbed, i int) {
	name := fmt.Sprintf("%s-%d", w.name, i)
	degradedPhase := time.Duration(s.Rand.Int64N(int64(degradedPeriod)))
	serviceTime := func(kind string) time.Duration {
		d := w.shortServiceTime
		if kind == "long" {
			d = w.longServiceTime
		}
		d = time.Duration(float64(d) * (0.7 + 0.6*s.Rand.Float64()))
		if s.Rand.Float64() < stragglerShare {
			d *= stragglerFactor
		}
		// The degraded periods start at a different time on each backend server.
		if (s.Now()+degradedPhase)%degradedPeriod < degradedDuration {
			d *= degradedFactor
		}
		return d
	}
	s.AddBackend(notch.BackendServer{
		Name: name, Address: name, Host: name, Domain: w.domains[i%3], Pool: w.name, Slots: w.slotsPerServer, Connections: 8 * w.slotsPerServer,
	}, serviceTime)
}

// run sends requests at random intervals, at a mean rate of the scenario's demand, and
// measures the answers.
func (w workload) run(p trafficPolicy, sc scenario, seed uint64) trafficRun {
	s, entries := w.startTestbed(p, seed)
	var x trafficRun
	sendsBefore := int64(0) + s.Counters["sends"]
	route := w.route()
	start := s.Now()
	var next func()
	next = func() {
		elapsed := s.Now() - start
		if elapsed >= sc.length {
			return
		}
		n := entries[s.Rand.IntN(len(entries))]
		kind := "short"
		if s.Rand.Float64() < w.longShare {
			kind = "long"
		}
		x.requests++
		s.SendRequest(n, notch.Request{Route: route, Kind: kind, Idempotent: true}, func(o fake.Outcome) {
			if !o.OK {
				return
			}
			x.answered++
			x.latenciesMS = append(x.latenciesMS, o.Latency.Seconds()*1000)
			if kind == "short" {
				x.shortSlowdowns = append(x.shortSlowdowns, float64(o.Latency)/float64(w.shortServiceTime))
			}
			if done := s.Now() - start; done < sc.length && sc.demand(done) >= 1 {
				x.answeredAtPeak++
			}
		})
		rate := w.capacity() * sc.demand(elapsed)
		s.After(time.Duration(s.Rand.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
	s.Run(sc.length + 3*time.Second)
	x.counters = s.Counters
	x.counters["sends"] -= sendsBefore
	x.violations = len(s.Violations)
	return x
}
