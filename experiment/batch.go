package experiment

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/batch"
	"tamaracknotch/drive"
	"tamaracknotch/fake"
	"tamaracknotch/interfere"
	"tamaracknotch/order"
	"tamaracknotch/place"
)

// hosts is a users' set of workers at its full size.
type hosts struct {
	name     string
	count    int
	rack     int // workers in a rack
	size     notch.Resources
	services notch.Resources
}

var hostSets = []hosts{
	{"strikeledger", 65, 11, notch.Resources{MilliCPU: 16_000, MemoryMB: 60_000}, notch.Resources{MilliCPU: 4_000, MemoryMB: 15_000}},
	{"kilnseconds", 50, 8, notch.Resources{MilliCPU: 64_000, MemoryMB: 250_000, Accelerators: 2}, notch.Resources{MilliCPU: 16_000, MemoryMB: 60_000}},
}

// taskKind is a kind of batch task: its true run time and the harm that it does.
type taskKind struct {
	name  string
	work  time.Duration
	milli int64
	class notch.Class
	share float64 // of the jobs
	tasks int     // most of a job
	harm  float64 // pressure on the services of its host at the crest, a task
}

var taskKinds = []taskKind{
	{"sort", 2 * time.Second, 1000, notch.Normal, 0.50, 12, 0.01},
	{"check", 8 * time.Second, 2000, notch.Normal, 0.25, 10, 0.02},
	{"scan", 20 * time.Second, 2000, notch.BestEffort, 0.13, 12, 0.22},
	{"train", 60 * time.Second, 4000, notch.Normal, 0.12, 8, 0.03},
}

// pairHarm is added where tasks of both kinds run on a host.
var pairHarm = map[[2]string]float64{{"check", "scan"}: 0.25}

// The errors of declarations and the faults of hosts.
const (
	taskStragglers = 0.03
	wrongBy        = 10.0 // declared run times are off by up to so many times
	offered        = 1.25 // work that arrives, without the stragglers' excess, as a share of what the workers can do
	target         = 0.5  // pressure above which a service misses its target
	urgentGap      = 7 * time.Second
)

// batchPolicy is a named set of decisions.
type batchPolicy struct {
	name   string
	policy batch.Policy
}

func batchPolicies() []batchPolicy {
	with := func(name string, change func(*batch.Policy)) batchPolicy {
		p := batch.DefaultPolicy()
		change(&p)
		return batchPolicy{name, p}
	}
	firstFit := func(notch.Interference) notch.Placer { return place.FirstFit{} }
	return []batchPolicy{
		with("chosen", func(*batch.Policy) {}),
		with("order fifo", func(p *batch.Policy) { p.Order = order.FIFO{} }),
		with("place first-fit", func(p *batch.Policy) { p.Placer = firstFit }),
		with("no interference", func(p *batch.Policy) { p.Interference = interfere.None{} }),
		with("no protection", func(p *batch.Policy) { p.Protect = false }),
		{"naive", batch.NaivePolicy()},
	}
}

// batchSeen is what came of one run.
type batchSeen struct {
	site     *fake.Site
	seed     uint64
	rand     *rand.Rand // of the arrivals, which are the same under every policy
	jobs     map[string]taskKind
	born     map[notch.TaskID]time.Duration
	took     map[notch.TaskID]time.Duration // true run time of the last attempt
	slowdown []float64                      // of short tasks
	urgent   []float64                      // seconds to the start
	finished int
	work     float64 // core-seconds of finished tasks
	samples  int     // of pressure
	missed   int     // of them above the target
	crest    []float64
}

// Batch compares the decisions about tasks with their baselines.
func Batch(full bool, seed uint64) []Table {
	var out []Table
	length := 4 * time.Minute
	if full {
		length = 8 * time.Minute
	}
	for _, h := range hostSets {
		if !full {
			h.count /= 3
		}
		ps := batchPolicies()
		t := Table{
			Title: fmt.Sprintf("%s, %d workers, %v, work offered %.2f of capacity", h.name, h.count, length, offered),
			Columns: []string{"tasks/s", "core-s/s", "short p99 slowdown", "urgent start p99 s", "evictions/1000", "lost s/1000",
				"services missed %", "crest p99 pressure", "broken"},
		}
		t.Rows = parallel(len(ps), func(i int) Row { return h.row(ps[i], length, seed) })
		t.Checks = batchChecks(t)
		out = append(out, t)
	}
	return out
}

func batchChecks(t Table) []Check {
	throughput, missed := t.ratio("core-s/s"), t.ratio("services missed %")
	gain := throughput
	if missed <= 0.5 && throughput >= 1 {
		// The same throughput at half of the missed targets is as good.
		gain = max(gain, 1.3)
	}
	return []Check{
		{What: "promises seen broken", Got: t.value("chosen", "broken")},
		{What: "throughput relative to first-fit FIFO's, or as much at half the missed targets", Got: gain, Least: 1.3},
		{What: "p99 slowdown of short tasks relative to FIFO's", Got: t.ratio("short p99 slowdown"), Most: 0.1},
		{What: "urgent start p99, s", Got: t.value("chosen", "urgent start p99 s"), Most: 2.9},
	}
}

func (h hosts) row(p batchPolicy, length time.Duration, seed uint64) Row {
	x := h.run(p.policy, length, seed)
	slices.Sort(x.slowdown)
	slices.Sort(x.urgent)
	slices.Sort(x.crest)
	per := 1000 / float64(max(x.finished, 1))
	return Row{p.name, []float64{
		float64(x.finished) / length.Seconds(), x.work / length.Seconds(), quantile(x.slowdown, 0.99), quantile(x.urgent, 0.99),
		float64(x.site.Counters["evictions"]) * per, x.site.Lost.Seconds() * per,
		100 * float64(x.missed) / float64(max(x.samples, 1)), quantile(x.crest, 0.99), float64(len(x.site.Violations)),
	}}
}

// start makes a site of one replica and the workers.
func (h hosts) start(policy batch.Policy, seed uint64) *batchSeen {
	s := fake.New(seed)
	s.Policies.Batch = policy
	n := s.AddDaemon("a", "north", true, true)
	s.Run(time.Second)
	pools := []notch.Pool{
		{Name: notch.ControlPool, Kind: notch.ReplicaPool, Hosts: []string{"a"}},
		{Name: h.name, Kind: notch.WorkerPool, Teams: []notch.Team{{Name: "day", Weight: 3}, {Name: "night", Weight: 1}}},
	}
	s.Submit(n, notch.EditTable{ID: "p", Table: notch.PoolsTable, Base: 1, Pools: pools}, time.Second, func(notch.Answer) {})
	s.Run(time.Second)
	x := &batchSeen{site: s, seed: seed, rand: rand.New(rand.NewPCG(seed, 7)), jobs: map[string]taskKind{}, born: map[notch.TaskID]time.Duration{}, took: map[notch.TaskID]time.Duration{}}
	for i := range h.count {
		x.addWorker(h, i)
	}
	s.Run(2 * time.Second)
	return x
}

func (x *batchSeen) addWorker(h hosts, i int) {
	s := x.site
	w := s.AddWorker(notch.Worker{
		Name: fmt.Sprintf("w%03d", i), Pool: h.name, Domain: "north", Rack: fmt.Sprintf("r%d", i/h.rack),
		Size: h.size, Services: h.services, Guard: true,
	}, func(o notch.Order) time.Duration { return x.workOf(o) })
	lag := 5*time.Second + time.Duration(s.Rand.Int64N(int64(25*time.Second)))
	phase := s.Rand.Float64()
	var history []float64
	w.Usage = func([]string) notch.Usage {
		p := pressure(w, s.Now(), phase)
		x.observe(p, s.Now())
		history = append(history, p)
		back := len(history) - 1 - int(lag/(500*time.Millisecond))
		if back < 0 {
			return notch.Usage{Age: lag}
		}
		return notch.Usage{Age: lag, Pressure: history[back]}
	}
}

// swingPeriod is the period of the services' load.
const swingPeriod = time.Minute

// loadAt is the services' load, between a third and all of the crest's.
func loadAt(t time.Duration, phase float64) float64 {
	return 0.67 + 0.33*math.Sin(2*math.Pi*(t.Seconds()/swingPeriod.Seconds()+0.1*phase))
}

// harmCores is the size of host, in thousandths of a processor, that the harms are
// given for.
const harmCores = 16_000

// pressure is the true suffering of a worker's services.
func pressure(w *fake.Worker, t time.Duration, phase float64) float64 {
	sum := 0.0
	full, slow := w.Kinds()
	for _, k := range taskKinds {
		sum += k.harm * (float64(full[k.name]) + 0.3*float64(slow[k.name]))
	}
	for pair, harm := range pairHarm {
		if full[pair[0]] > 0 && full[pair[1]] > 0 {
			sum += harm
		}
	}
	// The larger a host, the less one task harms it.
	return sum * loadAt(t, phase) * harmCores / float64(w.Size.MilliCPU)
}

func (x *batchSeen) observe(p float64, t time.Duration) {
	x.samples++
	if p > target {
		x.missed++
	}
	if loadAt(t, 0) > 0.9 {
		x.crest = append(x.crest, p)
	}
}

// workOf is the true run time of an attempt.
func (x *batchSeen) workOf(o notch.Order) time.Duration {
	job, _, _ := strings.Cut(string(o.Task), "/")
	k := x.jobs[job]
	if at, ok := x.born[o.Task]; ok && strings.HasPrefix(job, "urgent") && o.Epoch == 1 {
		x.urgent = append(x.urgent, (x.site.Now() - at).Seconds())
	}
	// The run time belongs to the task, whichever policy places it where and when.
	h := fnv.New64a()
	h.Write([]byte(o.Task))
	drawn := rand.New(rand.NewPCG(x.seed, h.Sum64()))
	d := time.Duration(float64(k.work) * (0.6 + 0.8*drawn.Float64()))
	if drawn.Float64() < taskStragglers {
		d *= stragglerFactor
	}
	x.took[o.Task] = d
	return d
}

// run offers work for a while.
func (h hosts) run(policy batch.Policy, length time.Duration, seed uint64) *batchSeen {
	x := h.start(policy, seed)
	s := x.site
	s.OnPublish = func(id notch.TaskID) { x.published(id) }
	began := s.Now()
	free := h.size.Minus(h.services)
	mean := 0.0
	for _, k := range taskKinds {
		mean += k.share * float64(1+k.tasks) / 2 * k.work.Seconds() * float64(k.milli)
	}
	rate := offered * float64(h.count) * float64(free.MilliCPU) / mean
	n := s.Nodes()[0]
	jobs := 0
	var next func()
	next = func() {
		if s.Now()-began >= length {
			return
		}
		x.submit(n, x.draw(h, jobs))
		jobs++
		s.After(time.Duration(x.rand.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
	x.urgentJobs(n, h, began, length)
	s.Run(length)
	return x
}

func (x *batchSeen) draw(h hosts, i int) notch.Job {
	pick := x.rand.Float64()
	k := taskKinds[len(taskKinds)-1]
	for _, c := range taskKinds {
		if pick -= c.share; pick < 0 {
			k = c
			break
		}
	}
	wrong := math.Pow(wrongBy, 2*x.rand.Float64()-1)
	team := "day"
	if k.class == notch.BestEffort {
		team = "night"
	}
	j := notch.Job{
		ID: fmt.Sprintf("%s-%d", k.name, i), Team: team, Pool: h.name, Kind: k.name, Class: k.class, Tasks: 1 + x.rand.IntN(k.tasks),
		Size: notch.Resources{MilliCPU: k.milli, MemoryMB: k.milli}, Expected: time.Duration(float64(k.work) * wrong),
		Checkpointable: x.rand.IntN(2) == 0, Command: k.name,
	}
	x.jobs[j.ID] = k
	return j
}

func (x *batchSeen) submit(n *drive.Node, j notch.Job) {
	for i := range j.Tasks {
		x.born[notch.NewTaskID(j.ID, i)] = x.site.Now()
	}
	x.site.Submit(n, notch.SubmitJob{Job: j}, 5*time.Second, func(notch.Answer) {})
}

// urgentJobs submits an urgent task now and then.
func (x *batchSeen) urgentJobs(n *drive.Node, h hosts, began, length time.Duration) {
	i := 0
	var next func()
	next = func() {
		if x.site.Now()-began >= length {
			return
		}
		j := notch.Job{
			ID: fmt.Sprintf("urgent-%d", i), Team: "day", Pool: h.name, Kind: "alarm", Class: notch.Urgent, Tasks: 2,
			Size: notch.Resources{MilliCPU: 4000, MemoryMB: 4000}, Expected: 2 * time.Second, Command: "alarm",
		}
		x.jobs[j.ID] = taskKind{name: "alarm", work: 2 * time.Second, milli: 4000}
		x.submit(n, j)
		i++
		x.site.After(urgentGap, next)
	}
	next()
}

func (x *batchSeen) published(id notch.TaskID) {
	job, _, _ := strings.Cut(string(id), "/")
	k := x.jobs[job]
	x.finished++
	x.work += k.work.Seconds() * float64(k.milli) / 1000
	if k.name == "sort" {
		x.slowdown = append(x.slowdown, (x.site.Now()-x.born[id]).Seconds()/x.took[id].Seconds())
	}
}
