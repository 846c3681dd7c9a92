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

// workload is a users' service at its full size.
type workload struct {
	name    string
	domains []string
	way     time.Duration // one way between failure domains
	servers int
	slots   int
	short   time.Duration
	long    time.Duration
	longs   float64 // share of long requests
}

var workloads = []workload{
	{"strikeledger", []string{"north", "south", "west"}, 5 * time.Millisecond, 65, 8, 20 * time.Millisecond, 200 * time.Millisecond, 0.1},
	{"kilnseconds", []string{"kiln", "dock", "tent"}, 4 * time.Millisecond, 50, 8, 25 * time.Millisecond, 120 * time.Millisecond, 0.2},
}

// The stragglers and the degraded backend servers of every workload.
const (
	stragglers      = 0.01
	stragglerFactor = 30
	degradedFactor  = 4
	degradedFor     = 8 * time.Second
	degradedEvery   = 128 * time.Second
	degraded        = float64(degradedFor) / float64(degradedEvery) // share that is slow at a time
)

// entryCount is the number of entries, as the users have today.
const entryCount = 9

func (w workload) mean() float64 {
	base := w.short.Seconds()*(1-w.longs) + w.long.Seconds()*w.longs
	return base * (1 + stragglers*(stragglerFactor-1)) * (1 + degraded*(degradedFactor-1))
}

// capacity is the rate that all slots together serve, per second.
func (w workload) capacity() float64 { return float64(w.servers*w.slots) / w.mean() }

// policy is a named set of decisions.
type policy struct {
	name    string
	traffic traffic.Policy
	divider notch.Divider
}

func policies() []policy {
	base := func(name string, change func(*policy)) policy {
		p := policy{name: name, traffic: traffic.DefaultPolicy(), divider: share.ByDemand{Floor: share.DefaultFloor}}
		change(&p)
		return p
	}
	picker := func(name string) notch.Picker {
		p, _ := pick.New(name)
		return p
	}
	return []policy{
		base("chosen", func(*policy) {}),
		base("pick tail (p95)", func(p *policy) { p.traffic.Picker = picker("tail") }),
		base("pick load", func(p *policy) { p.traffic.Picker = picker("load") }),
		base("pick scan of all", func(p *policy) { p.traffic.Picker = picker("all") }),
		base("pick two of all", func(p *policy) { p.traffic.Picker = picker("two") }),
		base("pick random", func(p *policy) { p.traffic.Picker = picker("random") }),
		base("queue fifo", func(p *policy) { p.traffic.Order = queue.FIFO{} }),
		base("admit to the deadline", func(p *policy) { p.traffic.Admitter = queue.ByDeadline{Share: 1} }),
		base("admit to 0.1 of it", func(p *policy) { p.traffic.Admitter = queue.ByDeadline{Share: 0.1} }),
		base("admit bounded", func(p *policy) { p.traffic.Admitter = queue.Bounded{} }),
		base("share equal", func(p *policy) { p.divider = share.Equal{} }),
		base("no hedges", func(p *policy) { p.traffic.Retrier, _ = retry.New("no-hedge") }),
		base("retry unlimited", func(p *policy) { p.traffic.Retrier = retry.Unlimited{} }),
		base("no ejection", func(p *policy) { p.traffic.Eject = false }),
		base("naive", func(p *policy) { p.traffic, p.divider = traffic.NaivePolicy(), share.Equal{} }),
	}
}

// seen is what the callers of one run saw.
type seen struct {
	requests, answered int
	useful             int // answered while the demand was at the crest
	latency            []float64
	slowdown           []float64 // of short requests
	counters           map[string]int64
	violations         int
}

// scenario is a demand over time, as a share of the capacity.
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
		{"swing 0.3 to 1.5", 24 * time.Second, swing},
	}
}

// swing jumps between low and crest within seconds, every four seconds.
func swing(t time.Duration) float64 {
	const low, crest = 0.3, 1.5
	at := t % (8 * time.Second)
	switch {
	case at < 3*time.Second:
		return low
	case at < 4*time.Second:
		return low + (crest-low)*(at-3*time.Second).Seconds()
	case at < 7*time.Second:
		return crest
	default:
		return crest - (crest-low)*(at-7*time.Second).Seconds()
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

func trafficTable(w workload, sc scenario, full bool, seed uint64) Table {
	if !full {
		w.servers /= 3
	}
	ps := policies()
	t := Table{
		Title:   fmt.Sprintf("%s, %s, %d backend servers, %d entries", w.name, sc.name, w.servers, entryCount),
		Columns: []string{"p50 ms", "p95 ms", "p99 ms", "p99.9 ms", "answered %", "of capacity %", "short p99 slowdown", "sends/request", "other domain %", "broken"},
	}
	t.Rows = parallel(len(ps), func(i int) Row { return w.row(ps[i], sc, seed) })
	t.Checks = trafficChecks(t, sc)
	return t
}

// trafficChecks are the targets that a scenario is meant for.
func trafficChecks(t Table, sc scenario) []Check {
	out := []Check{
		{What: "promises seen broken", Got: t.value("chosen", "broken")},
		{What: "sends to other failure domains, %", Got: t.value("chosen", "other domain %"), Most: 10},
	}
	switch sc.demand(0) {
	case 0.8:
		random := t.value("pick random", "p99 ms")
		random = max(random, t.value("naive", "p99 ms"))
		out = append(out,
			Check{What: "p99 relative to random choice's", Got: t.value("chosen", "p99 ms") / random, Most: 0.5},
			Check{What: "p99 slowdown of short work", Got: t.value("chosen", "short p99 slowdown"), Most: 5})
	case 0.3:
		out = append(out, Check{What: "useful answers at the crest, % of capacity", Got: t.value("chosen", "of capacity %"), Least: 95})
	}
	return out
}

func (w workload) row(p policy, sc scenario, seed uint64) Row {
	x := w.run(p, sc, seed)
	crest := 0.0
	for t := time.Duration(0); t < sc.length; t += 10 * time.Millisecond {
		if sc.demand(t) >= 1 {
			crest += 0.01
		}
	}
	ofCapacity := 0.0
	if crest > 0 {
		ofCapacity = 100 * float64(x.useful) / (w.capacity() * crest)
	}
	slices.Sort(x.latency)
	slices.Sort(x.slowdown)
	sends, requests := float64(x.counters["sends"]), float64(max(x.requests, 1))
	return Row{p.name, []float64{
		quantile(x.latency, 0.5), quantile(x.latency, 0.95), quantile(x.latency, 0.99), quantile(x.latency, 0.999),
		100 * float64(x.answered) / requests, ofCapacity, quantile(x.slowdown, 0.99),
		sends / requests, 100 * float64(x.counters["sends-to-other-domains"]) / max(sends, 1), float64(x.violations),
	}}
}

// site starts nine entries, three of them replicas, and the backend servers.
func (w workload) site(p policy, seed uint64) (*fake.Site, []*drive.Node) {
	s := fake.New(seed)
	s.Policies.Traffic, s.Policies.Divider = p.traffic, p.divider
	s.Net.Loss = 0.01
	s.Net.Delay = func(a, b *drive.Node) time.Duration {
		if a.Self.Domain == b.Self.Domain {
			return 200 * time.Microsecond
		}
		return w.way
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

func (w workload) addServer(s *fake.Site, i int) {
	name := fmt.Sprintf("%s-%d", w.name, i)
	slowFrom := time.Duration(s.Rand.Int64N(int64(degradedEvery)))
	service := func(kind string) time.Duration {
		d := w.short
		if kind == "long" {
			d = w.long
		}
		d = time.Duration(float64(d) * (0.7 + 0.6*s.Rand.Float64()))
		if s.Rand.Float64() < stragglers {
			d *= stragglerFactor
		}
		// Each backend server is slow for a while, one after another.
		if (s.Now()+slowFrom)%degradedEvery < degradedFor {
			d *= degradedFactor
		}
		return d
	}
	s.AddBackend(notch.BackendServer{
		Name: name, Address: name, Host: name, Domain: w.domains[i%3], Pool: w.name, Slots: w.slots, Connections: 8 * w.slots,
	}, service)
}

// run puts a scenario's demand on a site.
func (w workload) run(p policy, sc scenario, seed uint64) seen {
	s, entries := w.site(p, seed)
	var x seen
	before := int64(0) + s.Counters["sends"]
	route := w.route()
	began := s.Now()
	var next func()
	next = func() {
		at := s.Now() - began
		if at >= sc.length {
			return
		}
		n := entries[s.Rand.IntN(len(entries))]
		kind := "short"
		if s.Rand.Float64() < w.longs {
			kind = "long"
		}
		x.requests++
		s.Request(n, notch.Request{Route: route, Kind: kind, Idempotent: true}, func(o fake.Outcome) {
			if !o.OK {
				return
			}
			x.answered++
			x.latency = append(x.latency, o.Latency.Seconds()*1000)
			if kind == "short" {
				x.slowdown = append(x.slowdown, float64(o.Latency)/float64(w.short))
			}
			if done := s.Now() - began; done < sc.length && sc.demand(done) >= 1 {
				x.useful++
			}
		})
		rate := w.capacity() * sc.demand(at)
		s.After(time.Duration(s.Rand.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
	s.Run(sc.length + 3*time.Second)
	x.counters = s.Counters
	x.counters["sends"] -= before
	x.violations = len(s.Violations)
	return x
}
