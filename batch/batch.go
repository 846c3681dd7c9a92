// Package batch is the part that runs jobs: which worker gets which task, under
// which lease, and what became of it.
//
// Jobs, tasks, workers and placements are replicated. A placement is committed
// before its start order leaves, every attempt has an epoch, and an attempt holds
// its reservation until its worker confirms its end or the worker's lease has
// certainly run out. Leases, usage and what is learned from it belong to the
// leader alone; a new leader waits for a whole lease before it takes any worker
// for lost.
package batch

import (
	"time"

	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
	"tamaracknotch/interfere"
	"tamaracknotch/order"
	"tamaracknotch/place"
)

// Timing holds the durations of leases and decisions.
type Timing struct {
	Lease      time.Duration // of a worker
	Drift      float64       // how much faster one clock may run than another
	Repropose  time.Duration // wait for a commit before a command is proposed again
	Reserve    time.Duration // wait of a task after which a worker is kept free for it
	Probe      time.Duration // between probes of a quarantined worker
	KeepJobs   time.Duration // how long an ended job is remembered
	Throttle   time.Duration // pressure this long after a throttle leads to an eviction
	PlanPeriod time.Duration // least time between plans
}

// DefaultTiming expects a heartbeat every half second.
var DefaultTiming = Timing{
	Lease:      6 * time.Second,
	Drift:      0.01,
	Repropose:  2 * time.Second,
	Reserve:    10 * time.Second,
	Probe:      30 * time.Second,
	KeepJobs:   24 * time.Hour,
	Throttle:   10 * time.Second,
	PlanPeriod: 20 * time.Millisecond,
}

// Policy gathers the behaviour that varies.
type Policy struct {
	Order        notch.TaskOrder
	Placer       func(notch.Interference) notch.Placer
	Interference notch.Interference // before any report
	Preempt      bool               // evict best-effort tasks for urgent ones
	Protect      bool               // throttle and evict where services suffer
}

// DefaultPolicy is the one that measured best; see docs/DESIGN.md.
func DefaultPolicy() Policy {
	return Policy{
		Order: order.ShortFirst{},
		Placer: func(in notch.Interference) notch.Placer {
			return place.Scored{Draws: place.DefaultDraws, Interference: in}
		},
		Interference: interfere.New(),
		Preempt:      true,
		Protect:      true,
	}
}

// NaivePolicy is the baseline: first fit in the order of submission.
func NaivePolicy() Policy {
	return Policy{
		Order:        order.FIFO{},
		Placer:       func(notch.Interference) notch.Placer { return place.FirstFit{} },
		Interference: interfere.None{},
	}
}

// Part is the state of jobs and workers on one replica.
type Part struct {
	timing Timing
	policy Policy
	tables notch.Tables

	// Replicated:
	seq     uint64
	jobs    *immutable.SortedMap[string, notch.JobRecord]
	tasks   *immutable.Map[notch.TaskID, notch.Task]
	workers *immutable.SortedMap[string, notch.Worker]
	times   *immutable.SortedMap[string, notch.RunTime]

	// Derived from the replicated state:
	onWorker *immutable.Map[string, []notch.TaskID]  // tasks that occupy a worker; slices are never modified
	queues   *immutable.SortedMap[string, teamQueue] // by pool and team
	ended    *immutable.List[string]                 // jobs in the order of their end

	// Of the leader alone:
	leading   notch.Leadership
	beats     *immutable.SortedMap[attempt, beat]
	harm      notch.Interference
	throttled *immutable.SortedMap[string, throttle]
	failures  *immutable.SortedMap[string, []string] // distinct jobs failed in a row, by worker
	probed    *immutable.SortedMap[string, notch.Time]
	placing   notch.Time // when placements were proposed that aren't committed yet
	planned   notch.Time
	dirty     bool // something changed that a plan depends on
	picks     uint64
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
	p = p.withoutState().withoutLead()
	return p
}

func (p Part) withoutState() Part {
	p.seq = 0
	p.jobs = immutable.NewSortedMap[string, notch.JobRecord](nil)
	p.tasks = immutable.NewMap[notch.TaskID, notch.Task](nil)
	p.workers = immutable.NewSortedMap[string, notch.Worker](nil)
	p.times = immutable.NewSortedMap[string, notch.RunTime](nil)
	p.onWorker = immutable.NewMap[string, []notch.TaskID](nil)
	p.queues = immutable.NewSortedMap[string, teamQueue](nil)
	p.ended = immutable.NewList[string]()
	return p
}

// withoutLead forgets what only a leader knows.
func (p Part) withoutLead() Part {
	p.beats = immutable.NewSortedMap[attempt, beat](attempts{})
	p.harm = p.policy.Interference
	p.throttled = immutable.NewSortedMap[string, throttle](nil)
	p.failures = immutable.NewSortedMap[string, []string](nil)
	p.probed = immutable.NewSortedMap[string, notch.Time](nil)
	p.placing, p.planned = 0, 0
	return p
}

// Step implements [notch.Part].
func (p Part) Step(e notch.Event) (notch.Part, []notch.Effect) {
	s := stepper{Part: p, now: e.At, seed: e.Seed}
	switch b := e.Body.(type) {
	case notch.Committed:
		s.apply(b.Entry)
	case notch.Restored:
		s.restore(b.Snapshot)
	case notch.TablesCommitted:
		s.tables = b.Tables
		s.dirty = true
	case notch.Leadership:
		s.lead(b)
	case notch.Beat:
		s.beat(b)
	case notch.QuestionArrived:
		s.answer(b)
	case notch.Tick:
		s.expireLeases()
		s.plan(true)
	case notch.Flush:
		s.plan(false)
	}
	return s.Part, s.out
}

// stepper is a Part in the middle of a step, with the effects so far.
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

// acts reports whether this replica decides now: it leads, and a quorum said so
// within a lease.
func (s *stepper) acts() bool {
	return s.leading.Leading && s.leading.Ready != 0 && s.leaseAt() > 0
}

// Task returns a task.
func (p Part) Task(id notch.TaskID) (notch.Task, bool) { return p.tasks.Get(id) }

// Worker returns a registered worker.
func (p Part) Worker(name string) (notch.Worker, bool) { return p.workers.Get(name) }
