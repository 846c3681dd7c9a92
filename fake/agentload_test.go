package fake

import (
	"cmp"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"gopkg.in/yaml.v3"

	notch "tamaracknotch"
	"tamaracknotch/drive"
)

// agentLoad describes a pool of agents, the workflows that callers submit, and what the callers
// may expect. Counts and rates are means.
type agentLoad struct {
	Replicas  int
	Entries   int
	Lease     time.Duration // of the agents; 0: the default
	Cores     float64       // share of a core that each daemon has
	CallTime  time.Duration `yaml:"call-time"` // as agentCallTime, which it replaces; 0: agentCallTime
	RankTime  time.Duration `yaml:"rank-time"` // as rankTime, which it replaces; 0: rankTime
	Agents    agentPool
	Swing     float64       // of all rates, as a fraction of their mean
	Period    time.Duration // of the swing
	Length    time.Duration // of the load
	Burst     loadBurst
	Trouble   loadTrouble `yaml:",inline"`
	PowerLoss powerLoss   `yaml:"power-loss"` // left out: the power isn't lost
	Bounds    loadBounds
	Routes    []routeLoad
}

type agentPool struct {
	Count    int
	PerRack  int   `yaml:"per-rack"`
	MilliCPU int64 `yaml:"milli-cpu"`
	MemoryMB int64 `yaml:"memory-mb"`
}

// loadBurst multiplies the rate of one route for a while.
type loadBurst struct {
	Route  string
	Factor float64
	At     time.Duration // since the start of the load
	For    time.Duration
}

// loadBounds holds the times that callers are promised.
type loadBounds struct {
	Answer   time.Duration // from a submission to its answer
	Recovery time.Duration // from the end of the burst until workflows are in time again
	Finish   time.Duration // from the end of the load until every accepted workflow is complete
}

// routeLoad describes the workflows of one route.
type routeLoad struct {
	Name          string
	Priority      int
	Attempts      int
	Stretch       float64
	Objective     time.Duration
	PerSecond     float64       `yaml:"per-second"`
	Stages        float64       // of a workflow
	Tasks         float64       // of a stage
	RunTime       time.Duration `yaml:"run-time"`
	MilliCPU      int64         `yaml:"milli-cpu"`
	MemoryMB      int64         `yaml:"memory-mb"`
	Images        int           // number of container images; 0: the tasks have none
	Opportunistic bool
	Target        time.Duration // of a service task; the tasks are then long-running
	CancelAfter   time.Duration `yaml:"cancel-after"` // 0: the workflows aren't cancelled
}

func readAgentLoad(t testing.TB, path string) agentLoad {
	var load agentLoad
	readYAML(t, path, &load)
	return load
}

// readYAML decodes a file into a value that v points to.
func readYAML(t testing.TB, path string, v any) {
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	d := yaml.NewDecoder(f)
	d.KnownFields(true)
	if err := d.Decode(v); err != nil {
		t.Fatal(err)
	}
}

// loadTest runs an agentLoad on a testbed whose daemons have limited processors.
type loadTest struct {
	*Testbed
	load       agentLoad
	processors *processorModel
	replicas   []*drive.Node
	entries    []*drive.Node
	agents     []*Agent
	startedAt  time.Duration // of the load
	workflows  []*loadWorkflow
	byID       map[string]*loadWorkflow
	leaderless leaderlessTime
}

// loadWorkflow is a workflow that a caller submitted. Virtual times are zero before the event.
type loadWorkflow struct {
	notch.Workflow
	route       routeLoad
	runTimes    [][]time.Duration // by stage and index of the task
	startedAt   [][]time.Duration // the same: when its first run started
	submittedAt time.Duration
	answeredAt  time.Duration
	result      notch.WorkflowResult
	completedAt time.Duration
	state       notch.WorkflowState // as queried last; empty: not known
}

// The pool and the timeouts of a load's callers.
const (
	loadPool      = "pool"
	submitTimeout = 3 * time.Second
	editTimeout   = 5 * time.Second
)

// Relative deviations of random values from their means.
const (
	taskCountSpread = 0.6
	sizeSpread      = 0.4
	runTimeSpread   = 0.5
)

// newLoadTest starts the daemons and the agents and puts the routes in force.
func newLoadTest(t testing.TB, load agentLoad, seed uint64) *loadTest {
	l := &loadTest{Testbed: New(seed), load: load, byID: map[string]*loadWorkflow{}}
	l.Policies.Replicas = load.Replicas
	l.Policies.Flow.Lease = cmp.Or(load.Lease, l.Policies.Flow.Lease)
	l.processors = limitProcessors(l.Testbed, load.Cores)
	l.processors.callTime, l.processors.rankTime = cmp.Or(load.CallTime, agentCallTime), cmp.Or(load.RankTime, rankTime)
	for i := range load.Replicas {
		l.replicas = append(l.replicas, l.AddDaemon(fmt.Sprintf("replica-%d", i), fmt.Sprintf("domain-%d", i), true, i == 0))
	}
	for i := range load.Entries {
		l.entries = append(l.entries, l.AddDaemon(fmt.Sprintf("entry-%d", i), fmt.Sprintf("domain-%d", i), false, false))
	}
	l.Run(5 * time.Second)
	l.putTables()
	for i := range load.Agents.Count {
		l.addAgent(i)
	}
	l.Run(5 * time.Second)
	if got, want := len(l.Tables(l.entries[0]).Routes), len(load.Routes); got != want {
		t.Fatalf("routes in force: got %d, want %d", got, want)
	}
	return l
}

func (l *loadTest) putTables() {
	pools := []notch.Pool{
		{Name: notch.ControlPool, Kind: notch.ReplicaPool, Hosts: []string{"replica-0"}},
		{Name: loadPool, Kind: notch.WorkerPool},
	}
	var routes []notch.Route
	for _, r := range l.load.Routes {
		routes = append(routes, notch.Route{
			Name: r.Name, Path: "/" + r.Name + "/", Pool: loadPool, Timeout: submitTimeout,
			Priority: r.Priority, Attempts: r.Attempts, Stretch: r.Stretch, Target: r.Objective,
		})
	}
	for _, edit := range []notch.EditTable{
		{ID: "pools", Table: notch.PoolsTable, Base: 1, Pools: pools},
		{ID: "routes", Table: notch.RoutesTable, Routes: routes},
	} {
		l.Submit(l.entries[0], edit, editTimeout, func(notch.Answer) {})
		l.Run(time.Second)
	}
}

func (l *loadTest) addAgent(i int) {
	p, id := l.load.Agents, fmt.Sprintf("agent-%d", i)
	a := l.AddAgent(notch.Agent{
		ID: id, Pool: loadPool, Address: id, Rack: fmt.Sprintf("rack-%d", i/p.PerRack),
		Size: notch.Resources{MilliCPU: p.MilliCPU, MemoryMB: p.MemoryMB},
	}, l.runTime)
	a.Report, a.Fails = l.report, l.fails
	l.agents = append(l.agents, a)
}

// report reports about a run. The tail latency of a service task is two fifths of its target,
// and another task uses the processors that it has declared.
func (l *loadTest) report(ref notch.RunRef) notch.LiveRun {
	st := l.byID[ref.Task.Flow].Stages[ref.Task.Stage]
	if st.Target > 0 {
		return notch.LiveRun{Run: ref, Progress: 100, Measurement: int(st.Target.Milliseconds() * 2 / 5)}
	}
	return notch.LiveRun{Run: ref, Progress: 50, Measurement: int(st.Size.MilliCPU)}
}

// start begins to submit workflows.
func (l *loadTest) start() {
	l.startedAt = l.Now()
	for _, r := range l.load.Routes {
		l.scheduleNext(r)
	}
	l.scheduleTrouble()
}

// scheduleNext submits the next workflow of a route, and repeats this until the load ends.
func (l *loadTest) scheduleNext(r routeLoad) {
	wait := time.Duration(l.Rand.ExpFloat64() / l.rate(r) * float64(time.Second))
	l.After(wait, func() {
		if l.Now() < l.startedAt+l.load.Length {
			l.submitNew(r)
			l.scheduleNext(r)
		}
	})
}

// rate returns how many workflows of a route are submitted per second now.
func (l *loadTest) rate(r routeLoad) float64 {
	at, burst := l.Now()-l.startedAt, l.load.Burst
	phase := 2 * math.Pi * at.Seconds() / l.load.Period.Seconds()
	rate := r.PerSecond * (1 + l.load.Swing*math.Sin(phase))
	if r.Name == burst.Route && at >= burst.At && at < burst.At+burst.For {
		rate *= burst.Factor
	}
	return rate
}

// submitNew submits a new workflow through a random entry.
func (l *loadTest) submitNew(r routeLoad) {
	w := l.newWorkflow(r)
	n := l.entries[l.Rand.IntN(len(l.entries))]
	l.SubmitWorkflow(n, w.Workflow, r.Attempts, submitTimeout, func(a notch.Answer) {
		w.answeredAt = l.Now()
		w.result, _ = a.Result.(notch.WorkflowResult)
	})
	if r.CancelAfter > 0 {
		l.After(r.CancelAfter, func() { l.CancelWorkflow(n, w.ID, submitTimeout, func(notch.Answer) {}) })
	}
}

func (l *loadTest) newWorkflow(r routeLoad) *loadWorkflow {
	id := fmt.Sprintf("%s-%d", r.Name, len(l.workflows))
	w := &loadWorkflow{Workflow: notch.Workflow{ID: id, Route: r.Name, Pool: loadPool, Spec: id}, route: r, submittedAt: l.Now()}
	for i := range 1 + int(math.Round(l.Rand.ExpFloat64()*(r.Stages-1))) {
		w.Stages = append(w.Stages, l.newStage(r, i))
		w.addRunTimes(l, l.load.Trouble.longFactor(l.Rand))
		w.Stages[i].Estimate = l.load.Trouble.declared(l.Rand, w.Stages[i].Estimate)
	}
	l.workflows = append(l.workflows, w)
	l.byID[id] = w
	return w
}

// addRunTimes adds the run times of the tasks of the latest stage, which takes factor times as long as usual.
func (w *loadWorkflow) addRunTimes(l *loadTest, factor float64) {
	var runTimes []time.Duration
	for range w.Stages[len(w.Stages)-1].Count {
		runTimes = append(runTimes, time.Duration(l.around(factor*float64(w.route.RunTime), runTimeSpread)))
	}
	w.runTimes = append(w.runTimes, runTimes)
	w.startedAt = append(w.startedAt, make([]time.Duration, len(runTimes)))
}

// newStage returns stage i of a workflow. It depends on the stage before it.
func (l *loadTest) newStage(r routeLoad, i int) notch.Stage {
	st := notch.Stage{
		Count: int(l.around(r.Tasks, taskCountSpread)), Estimate: r.RunTime,
		Size:  notch.Resources{MilliCPU: l.around(float64(r.MilliCPU), sizeSpread), MemoryMB: r.MemoryMB},
		Fills: r.Opportunistic, Target: r.Target, Lasts: r.Target > 0,
	}
	if i > 0 {
		st.After = []int{i - 1}
	}
	if r.Images > 0 {
		st.Image = fmt.Sprintf("%s-%d", r.Name, l.Rand.IntN(r.Images))
	}
	return st
}

// around returns a random value, at least 1.
func (l *loadTest) around(mean, spread float64) int64 {
	return max(1, int64(math.Round(mean*(1+spread*(2*l.Rand.Float64()-1)))))
}
