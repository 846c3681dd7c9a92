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
	"tamaracknotch/interference"
	"tamaracknotch/order"
	"tamaracknotch/place"
)

// workerFleet is the worker pool of one of the users' systems, at its full size.
type workerFleet struct {
	name     string
	count    int
	rackSize int             // workers in a rack
	size     notch.Resources // of one worker
	services notch.Resources // reserved on each worker for services
}

var workerFleets = []workerFleet{
	{"strikeledger", 65, 11, notch.Resources{MilliCPU: 16_000, MemoryMB: 60_000}, notch.Resources{MilliCPU: 4_000, MemoryMB: 15_000}},
	{"kilnseconds", 50, 8, notch.Resources{MilliCPU: 64_000, MemoryMB: 250_000, Accelerators: 2}, notch.Resources{MilliCPU: 16_000, MemoryMB: 60_000}},
}

// taskKind describes a kind of batch task by its actual run time and the pressure that
// it causes, neither of which the scheduler knows.
type taskKind struct {
	name        string
	meanRunTime time.Duration
	milliCPU    int64
	class       notch.Class
	jobShare    float64 // share of all jobs
	maxTasks    int     // upper limit of the tasks in one job
	pressure    float64 // pressure of one task on the services of a host of referenceMilliCPU, at the peak of their load
}

var taskKinds = []taskKind{
	{"sort", 2 * time.Second, 1000, notch.Normal, 0.50, 12, 0.01},
	{"check", 8 * time.Second, 2000, notch.Normal, 0.25, 10, 0.02},
	{"scan", 20 * time.Second, 2000, notch.BestEffort, 0.13, 12, 0.22},
	{"train", 60 * time.Second, 4000, notch.Normal, 0.12, 8, 0.03},
}

// pairPressure is the additional pressure on a host while tasks of both kinds run there
// at full speed.
var pairPressure = map[[2]string]float64{{"check", "scan"}: 0.25}

// The load offered to the workers, and the errors and faults that are simulated.
const (
	taskStragglerShare = 0.03 // share of the tasks that take stragglerFactor times as long
	maxEstimateFactor  = 10.0 // a declared run time deviates from the mean by up to this factor, either way
	offeredLoad        = 1.25 // submitted work, without the additional time of stragglers, as a share of the workers' capacity
	pressureTarget     = 0.5  // pressure above which a service misses its latency target
	urgentInterval     = 7 * time.Second
)

// batchPolicy is a batch.Policy with the name that the table shows.
type batchPolicy struct {
	name   string
	policy batch.Policy
}

// batchPolicies returns the default policy, variants that differ from it in one
// decision, and the naive baseline.
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
		with("no interference", func(p *batch.Policy) { p.Interference = interference.None{} }),
		with("no protection", func(p *batch.Policy) { p.ProtectServices = false }),
		{"naive", batch.NaivePolicy()},
	}
}

// batchRun is the state and the measurements of one simulated run.
type batchRun struct {
	testbed         *fake.Testbed
	seed            uint64
	jobRand         *rand.Rand // draws the jobs and their arrivals; separate, so that these are the same under every policy
	kindByJob       map[string]taskKind
	submittedAt     map[notch.TaskID]time.Duration
	runTimes        map[notch.TaskID]time.Duration // actual run time of each started task at full speed
	shortSlowdowns  []float64                      // of tasks of the kind sort: time from submission to completion, divided by the run time
	urgentDelays    []float64                      // seconds from the submission of an urgent task to its first start
	finished        int                            // finished tasks
	finishedWork    float64                        // work of the finished tasks in core-seconds, by the mean run times
	pressureSamples int
	missedSamples   int       // samples above pressureTarget
	peakPressures   []float64 // samples near the peak of the services' load
}

// Batch compares the decisions about batch tasks with their baselines.
func Batch(full bool, seed uint64) []Table {
	var out []Table
	length := 4 * time.Minute
	if full {
		length = 8 * time.Minute
	}
	for _, h := range workerFleets {
		if !full {
			h.count /= 3
		}
		ps := batchPolicies()
		t := Table{
			Title: fmt.Sprintf("%s, %d workers, %v, work offered %.2f of capacity", h.name, h.count, length, offeredLoad),
			Columns: []string{"tasks/s", "core-s/s", "short p99 slowdown", "urgent start p99 s", "evictions/1000 tasks", "lost run time s/1000 tasks",
				"services missed %", "crest p99 pressure", "violations"},
		}
		t.Rows = parallelRows(len(ps), func(i int) Row { return h.row(ps[i], length, seed) })
		t.Checks = batchChecks(t)
		out = append(out, t)
	}
	return out
}

// batchChecks compares the chosen policy with the users' targets.
func batchChecks(t Table) []Check {
	throughput, missedRatio := t.ratio("core-s/s"), t.ratio("services missed %")
	score := throughput
	if missedRatio <= 0.5 && throughput >= 1 {
		// The target is also met by at least equal throughput with at most half of the
		// missed latency targets.
		score = max(score, 1.3)
	}
	return []Check{
		{Name: "violations of promises", Measured: t.value("chosen", "violations")},
		{Name: "throughput relative to first-fit FIFO's (1.3 if at least equal with at most half the missed targets)", Measured: score, Min: 1.3},
		{Name: "p99 slowdown of short tasks relative to FIFO's", Measured: t.ratio("short p99 slowdown"), Max: 0.1},
		{Name: "urgent start p99, s", Measured: t.value("chosen", "urgent start p99 s"), Max: 2.9},
	}
}

// row simulates one policy and returns its figures.
func (h workerFleet) row(p batchPolicy, length time.Duration, seed uint64) Row {
	x := h.run(p.policy, length, seed)
	slices.Sort(x.shortSlowdowns)
	slices.Sort(x.urgentDelays)
	slices.Sort(x.peakPressures)
	perThousand := 1000 / float64(max(x.finished, 1))
	return Row{p.name, []float64{
		float64(x.finished) / length.Seconds(), x.finishedWork / length.Seconds(),
		quantile(x.shortSlowdowns, 0.99), quantile(x.urgentDelays, 0.99),
		float64(x.testbed.Counters["evictions"]) * perThousand, x.testbed.LostWork.Seconds() * perThousand,
		100 * float64(x.missedSamples) / float64(max(x.pressureSamples, 1)), quantile(x.peakPressures, 0.99), float64(len(x.testbed.Violations)),
	}}
}

// startTestbed starts a testbed with one daemon, which is the only replica, and the
// workers.
func (h workerFleet) startTestbed(policy batch.Policy, seed uint64) *batchRun {
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
	x := &batchRun{
		testbed: s, seed: seed, jobRand: rand.New(rand.NewPCG(seed, 7)), kindByJob: map[string]taskKind{},
		submittedAt: map[notch.TaskID]time.Duration{}, runTimes: map[notch.TaskID]time.Duration{},
	}
	for i := range h.count {
		x.addWorker(h, i)
	}
	s.Run(2 * time.Second)
	return x
}

// addWorker adds worker i. Its usage reports describe the state 5 to 30 seconds before,
// a constant delay for each worker.
func (x *batchRun) addWorker(h workerFleet, i int) {
	s := x.testbed
	w := s.AddWorker(notch.Worker{
		Name: fmt.Sprintf("w%03d", i), Pool: h.name, Domain: "north", Rack: fmt.Sprintf("r%d", i/h.rackSize),
		Size: h.size, Services: h.services, Guard: true,
	}, func(o notch.Order) time.Duration { return x.runTime(o) })
	reportDelay := 5*time.Second + time.Duration(s.Rand.Int64N(int64(25*time.Second)))
	phase := s.Rand.Float64()
	var history []float64
	w.Usage = func([]string) notch.Usage {
		p := servicePressure(w, s.Now(), phase)
		x.recordPressure(p, s.Now())
		history = append(history, p)
		sample := len(history) - 1 - int(reportDelay/(500*time.Millisecond))
		if sample < 0 {
			return notch.Usage{Age: reportDelay}
		}
		return notch.Usage{Age: reportDelay, Pressure: history[sample]}
	}
}

// loadPeriod is the period in which the load of the services rises and falls.
const loadPeriod = time.Minute

// serviceLoad returns the load of the services as a share of its peak, between about a
// third and 1. Phase shifts it by up to a tenth of the period.
func serviceLoad(t time.Duration, phase float64) float64 {
	return 0.67 + 0.33*math.Sin(2*math.Pi*(t.Seconds()/loadPeriod.Seconds()+0.1*phase))
}

// referenceMilliCPU is the size of the host for which taskKinds and pairPressure are
// given, in thousandths of a processor.
const referenceMilliCPU = 16_000

// servicePressure returns the actual pressure on the services of a worker at time t. A
// throttled task causes 0.3 of its pressure.
func servicePressure(w *fake.Worker, t time.Duration, phase float64) float64 {
	sum := 0.0
	full, throttled := w.CountByCommand()
	for _, k := range taskKinds {
		sum += k.pressure * (float64(full[k.name]) + 0.3*float64(throttled[k.name]))
	}
	for pair, extra := range pairPressure {
		if full[pair[0]] > 0 && full[pair[1]] > 0 {
			sum += extra
		}
	}
	// The pressure of a task is inversely proportional to the size of the host.
	return sum * serviceLoad(t, phase) * referenceMilliCPU / float64(w.Size.MilliCPU)
}

// recordPressure records the actual pressure on the services of one worker.
func (x *batchRun) recordPressure(p float64, t time.Duration) {
	x.pressureSamples++
	if p > pressureTarget {
		x.missedSamples++
	}
	if serviceLoad(t, 0) > 0.9 {
		x.peakPressures = append(x.peakPressures, p)
	}
}

// runTime returns the actual run time of an attempt that starts now, and records the
// delay of an urgent task.
func (x *batchRun) runTime(o notch.Order) time.Duration {
	job, _, _ := strings.Cut(string(o.Task), "/")
	k := x.kindByJob[job]
	if submitted, ok := x.submittedAt[o.Task]; ok && strings.HasPrefix(job, "urgent") && o.Epoch == 1 {
		x.urgentDelays = append(x.urgentDelays, (x.testbed.Now() - submitted).Seconds())
	}
	// The run time is derived from the task's id, so that it is the same under every
	// policy, on every worker and at any time.
	h := fnv.New64a()
	h.Write([]byte(o.Task))
	taskRand := rand.New(rand.NewPCG(x.seed, h.Sum64()))
	d := time.Duration(float64(k.meanRunTime) * (0.6 + 0.8*taskRand.Float64()))
	if taskRand.Float64() < taskStragglerShare {
		d *= stragglerFactor
	}
	x.runTimes[o.Task] = d
	return d
}

// run submits jobs at random intervals for the given length of time, at a mean rate of
// offeredLoad.
func (h workerFleet) run(policy batch.Policy, length time.Duration, seed uint64) *batchRun {
	x := h.startTestbed(policy, seed)
	s := x.testbed
	s.OnPublish = func(id notch.TaskID) { x.onPublished(id) }
	start := s.Now()
	free := h.size.Minus(h.services)
	meanJobWork := 0.0
	for _, k := range taskKinds {
		meanJobWork += k.jobShare * float64(1+k.maxTasks) / 2 * k.meanRunTime.Seconds() * float64(k.milliCPU)
	}
	rate := offeredLoad * float64(h.count) * float64(free.MilliCPU) / meanJobWork
	n := s.Nodes()[0]
	jobs := 0
	var next func()
	next = func() {
		if s.Now()-start >= length {
			return
		}
		x.submit(n, x.drawJob(h, jobs))
		jobs++
		s.After(time.Duration(x.jobRand.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
	x.submitUrgentJobs(n, h, start, length)
	s.Run(length)
	return x
}

// drawJob returns job i with random properties.
func (x *batchRun) drawJob(h workerFleet, i int) notch.Job {
	remaining := x.jobRand.Float64()
	k := taskKinds[len(taskKinds)-1]
	for _, c := range taskKinds {
		if remaining -= c.jobShare; remaining < 0 {
			k = c
			break
		}
	}
	estimateFactor := math.Pow(maxEstimateFactor, 2*x.jobRand.Float64()-1)
	team := "day"
	if k.class == notch.BestEffort {
		team = "night"
	}
	j := notch.Job{
		ID: fmt.Sprintf("%s-%d", k.name, i), Team: team, Pool: h.name, Kind: k.name, Class: k.class, Tasks: 1 + x.jobRand.IntN(k.maxTasks),
		Size: notch.Resources{MilliCPU: k.milliCPU, MemoryMB: k.milliCPU}, Expected: time.Duration(float64(k.meanRunTime) * estimateFactor),
		Checkpointable: x.jobRand.IntN(2) == 0, Command: k.name,
	}
	x.kindByJob[j.ID] = k
	return j
}

// submit submits a job and records the time for each of its tasks.
func (x *batchRun) submit(n *drive.Node, j notch.Job) {
	for i := range j.Tasks {
		x.submittedAt[notch.NewTaskID(j.ID, i)] = x.testbed.Now()
	}
	x.testbed.Submit(n, notch.SubmitJob{Job: j}, 5*time.Second, func(notch.Answer) {})
}

// submitUrgentJobs submits an urgent job of two tasks every urgentInterval.
func (x *batchRun) submitUrgentJobs(n *drive.Node, h workerFleet, start, length time.Duration) {
	i := 0
	var next func()
	next = func() {
		if x.testbed.Now()-start >= length {
			return
		}
		j := notch.Job{
			ID: fmt.Sprintf("urgent-%d", i), Team: "day", Pool: h.name, Kind: "alarm", Class: notch.Urgent, Tasks: 2,
			Size: notch.Resources{MilliCPU: 4000, MemoryMB: 4000}, Expected: 2 * time.Second, Command: "alarm",
		}
		x.kindByJob[j.ID] = taskKind{name: "alarm", meanRunTime: 2 * time.Second, milliCPU: 4000}
		x.submit(n, j)
		i++
		x.testbed.After(urgentInterval, next)
	}
	next()
}

// onPublished records a task whose results have been published.
func (x *batchRun) onPublished(id notch.TaskID) {
	job, _, _ := strings.Cut(string(id), "/")
	k := x.kindByJob[job]
	x.finished++
	x.finishedWork += k.meanRunTime.Seconds() * float64(k.milliCPU) / 1000
	if k.name == "sort" {
		x.shortSlowdowns = append(x.shortSlowdowns, (x.testbed.Now()-x.submittedAt[id]).Seconds()/x.runTimes[id].Seconds())
	}
}
