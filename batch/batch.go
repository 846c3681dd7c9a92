// Package batch is the part that schedules batch jobs: it places tasks on workers,
// grants leases to the workers and records the outcome of each task.
//
// Jobs, tasks, workers and placements are replicated. A placement is committed
// before the start order is sent, every attempt has an epoch, and an attempt keeps
// its reservation until the worker confirms the end or the worker's lease has
// certainly expired. Leases, usage reports and the interference estimates
// exist on the leader only. A new leader waits for a full lease before it declares
// any worker lost.
package batch

import (
	"time"

	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
	"tamaracknotch/interference"
	"tamaracknotch/order"
	"tamaracknotch/place"
)

// Timing holds the durations of leases, timeouts and intervals.
type Timing struct {
	Lease             time.Duration // length of a worker's lease
	Drift             float64       // how much faster one clock may run than another, as a fraction
	Repropose         time.Duration // a command that isn't committed after this time is proposed again
	ReserveAfter      time.Duration // a task that has waited this long gets a worker reserved
	ProbeInterval     time.Duration // interval between probe tasks on a quarantined worker
	EndedJobRetention time.Duration // an ended job stays visible for this time
	EvictAfter        time.Duration // a throttled task is evicted if the pressure persists this long
	PlanPeriod        time.Duration // minimum interval between plans
}

// DefaultTiming suits workers that send a heartbeat every 500 ms.
var DefaultTiming = Timing{
	Lease:             6 * time.Second,
	Drift:             0.01,
	Repropose:         2 * time.Second,
	ReserveAfter:      10 * time.Second,
	ProbeInterval:     30 * time.Second,
	EndedJobRetention: 24 * time.Hour,
	EvictAfter:        10 * time.Second,
	PlanPeriod:        20 * time.Millisecond,
}

// Policy selects the implementations of the part's decisions.
type Policy struct {
	Order           notch.TaskOrder
	Placer          func(notch.Interference) notch.Placer
	Interference    notch.Interference // initial estimate, before any usage report
	Preempt         bool               // evict tasks of lower classes for urgent tasks
	ProtectServices bool               // throttle and evict tasks on workers whose services miss their latency target
}

// DefaultPolicy returns the policies that performed best in the comparisons in
// docs/DESIGN.md.
func DefaultPolicy() Policy {
	return Policy{
		Order: order.ShortFirst{},
		Placer: func(in notch.Interference) notch.Placer {
			return place.Scored{SampleSize: place.DefaultSampleSize, Interference: in}
		},
		Interference:    interference.New(),
		Preempt:         true,
		ProtectServices: true,
	}
}

// NaivePolicy returns the baseline for comparisons: first fit in submission order.
func NaivePolicy() Policy {
	return Policy{
		Order:        order.FIFO{},
		Placer:       func(notch.Interference) notch.Placer { return place.FirstFit{} },
		Interference: interference.None{},
	}
}

// Part holds the jobs, tasks and workers of one replica. It implements
// [notch.ReplicatedPart].
type Part struct {
	timing Timing
	policy Policy
	tables notch.Tables

	// Replicated:
	seq      uint64 // of the last task that was submitted
	jobs     *immutable.SortedMap[string, notch.JobRecord]
	tasks    *immutable.Map[notch.TaskID, notch.Task]
	workers  *immutable.SortedMap[string, notch.Worker]
	runTimes *immutable.SortedMap[string, notch.RunTime]

	// Derived from the replicated state:
	onWorker  *immutable.Map[string, []notch.TaskID]  // tasks that occupy a worker; slices are never modified
	queues    *immutable.SortedMap[string, teamQueue] // by pool and team
	endedJobs *immutable.List[string]                 // ids of ended jobs, the earliest end first

	// Used by the leader only, and reset when the leadership changes:
	leadership          notch.Leadership
	sessions            *immutable.SortedMap[workerIncarnation, workerSession]
	unknownReports      *immutable.SortedMap[workerIncarnation, unknownReports] // of the latest heartbeats that had some
	interference        notch.Interference
	throttled           *immutable.SortedMap[string, throttle]
	failedJobs          *immutable.SortedMap[string, []string]   // by worker: distinct jobs with failures since its last success
	probedAt            *immutable.SortedMap[string, notch.Time] // by worker: when its quarantine last began or ended, or its last probe was placed
	placementProposedAt notch.Time                               // of the placements that await their commit; zero if there are none
	plannedAt           notch.Time
	planNeeded          bool   // the state that a plan depends on has changed
	pickCount           uint64 // calls of nextTask
}

// Option adjusts a new Part.
type Option func(*Part)

// WithPolicy replaces DefaultPolicy.
func WithPolicy(policy Policy) Option { return func(p *Part) { p.policy = policy } }

// WithTiming replaces DefaultTiming.
func WithTiming(t Timing) Option { return func(p *Part) { p.timing = t } }

// New returns a part without jobs and workers.
func New(opts ...Option) Part {
	p := Part{timing: DefaultTiming, policy: DefaultPolicy()}
	for _, opt := range opts {
		opt(&p)
	}
	p = p.withoutReplicatedState().withoutLeaderState()
	return p
}

func (p Part) withoutReplicatedState() Part {
	p.seq = 0
	p.jobs = immutable.NewSortedMap[string, notch.JobRecord](nil)
	p.tasks = immutable.NewMap[notch.TaskID, notch.Task](nil)
	p.workers = immutable.NewSortedMap[string, notch.Worker](nil)
	p.runTimes = immutable.NewSortedMap[string, notch.RunTime](nil)
	p.onWorker = immutable.NewMap[string, []notch.TaskID](nil)
	p.queues = immutable.NewSortedMap[string, teamQueue](nil)
	p.endedJobs = immutable.NewList[string]()
	return p
}

// withoutLeaderState resets the state that only a leader keeps.
func (p Part) withoutLeaderState() Part {
	p.sessions = immutable.NewSortedMap[workerIncarnation, workerSession](workerIncarnationComparer{})
	p.unknownReports = immutable.NewSortedMap[workerIncarnation, unknownReports](workerIncarnationComparer{})
	p.interference = p.policy.Interference
	p.throttled = immutable.NewSortedMap[string, throttle](nil)
	p.failedJobs = immutable.NewSortedMap[string, []string](nil)
	p.probedAt = immutable.NewSortedMap[string, notch.Time](nil)
	p.placementProposedAt, p.plannedAt = 0, 0
	return p
}

// Step implements [notch.Part].
func (p Part) Step(e notch.Event) (notch.Part, []notch.Effect) {
	s := stepper{Part: p, now: e.At, seed: e.Seed}
	switch b := e.Body.(type) {
	case notch.Committed:
		if !s.apply(b.Entry) {
			return nil, nil
		}
	case notch.Restored:
		s.restore(b.Snapshot)
	case notch.TablesCommitted:
		s.tables = b.Tables
		s.planNeeded = true
	case notch.Leadership:
		s.setLeadership(b)
	case notch.HeartbeatReceived:
		s.handleHeartbeat(b)
	case notch.QueryReceived:
		s.answerQuery(b)
		return nil, s.out
	case notch.Tick:
		s.expireLeases()
		if s.planDue() {
			s.plan()
		}
	case notch.Flush:
		if !s.planNeeded || !s.planDue() {
			return nil, nil
		}
		s.plan()
	default:
		return nil, nil
	}
	return s.Part, s.out
}

// stepper is a Part during one step, with the effects collected so far.
type stepper struct {
	Part
	now  notch.Time
	seed uint64
	out  []notch.Effect
}

func (s *stepper) emit(b notch.Body) { s.out = append(s.out, notch.Emit{Body: b}) }

func (s *stepper) propose(c notch.Command) { s.emit(notch.Proposal{Command: c}) }

func (s *stepper) count(name string, n int) {
	if n > 0 {
		s.out = append(s.out, notch.Count{Name: name, Delta: int64(n)})
	}
}

// hasLeaderLease reports whether this replica may decide now: it leads, its first
// entry of the term is committed, and a quorum confirmed it within the last lease.
func (s *stepper) hasLeaderLease() bool {
	return s.leadership.Leading && s.leadership.Ready != 0 && s.grantableLease() > 0
}

// Task returns the task with the given id.
func (p Part) Task(id notch.TaskID) (notch.Task, bool) { return p.tasks.Get(id) }

// Worker returns the registered worker with the given name.
func (p Part) Worker(name string) (notch.Worker, bool) { return p.workers.Get(name) }
