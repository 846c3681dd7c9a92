// Package flow runs workflows on agents. It decides which task runs where and under which
// token, and records how each run ended.
//
// Workflows, agents and runs are replicated. A run is committed before its start is sent, and
// holds its reservation on the agent until its end is committed. An end is committed when the
// agent lists it, when the run provably never started, or when the agent's incarnation or
// all its leases have certainly ended. What the leader learns from the agents (clocks,
// leases, which orders were answered) is not replicated. A new leader contacts every agent
// with its own, higher token before it sends other orders.
package flow

import (
	"maps"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
	"tamaracknotch/assign"
	"tamaracknotch/colocation"
	"tamaracknotch/graph"
	"tamaracknotch/inventory"
)

// Timing holds the durations of leases and decisions.
type Timing struct {
	Lease             time.Duration // of an agent, from the sending of an order
	MaxLease          time.Duration // longest lease that an agent takes; it shortens longer ones
	LongPoll          time.Duration // how long an agent may delay its answer to a lease renewal while no run ends
	MaxLongPoll       time.Duration // the same, of a leader with many agents
	ColocatedLongPoll time.Duration // the same, while opportunistic tasks are colocated with service tasks
	MaxColocatedPoll  time.Duration // the same, of a leader with many agents, while the service tasks meet their targets
	MaxIdleLists      int           // lists without news that a leader wants from all agents in a second; with many agents, polls get longer
	AnswerTimeout     time.Duration // of an order, in addition to the long poll
	RetryInterval     time.Duration // between orders to an agent that doesn't answer
	MaxSilence        time.Duration // since the last answer to a poll of up to LongPoll, after which an agent gets no new runs
	QuorumTimeout     time.Duration // since the last answer of a quorum, after which a leader sends no orders
	ReproposeInterval time.Duration // wait for a commit before a command is proposed again
	EndedRetention    time.Duration // how long the state of an ended workflow is kept
	PlanInterval      time.Duration // least time between plans
}

// DefaultTiming suits agents with a round-trip time of some 10 ms.
var DefaultTiming = Timing{
	Lease:             5 * time.Second,
	MaxLease:          10 * time.Second,
	LongPoll:          time.Second,
	MaxLongPoll:       2 * time.Second,
	ColocatedLongPoll: 600 * time.Millisecond,
	MaxColocatedPoll:  1500 * time.Millisecond,
	MaxIdleLists:      900,
	AnswerTimeout:     time.Second,
	RetryInterval:     500 * time.Millisecond,
	MaxSilence:        2500 * time.Millisecond,
	QuorumTimeout:     time.Second,
	ReproposeInterval: time.Second,
	EndedRetention:    10 * time.Minute,
	PlanInterval:      10 * time.Millisecond,
}

// Policy holds the interchangeable decisions.
type Policy struct {
	Order           notch.WorkflowTaskOrder
	Placer          func(notch.ColocationModel) notch.RunPlacer
	ColocationModel notch.ColocationModel // initial model, without measurements
}

// DefaultPolicy returns the policy that docs/PLATFORM.md compares with the baseline.
func DefaultPolicy() Policy {
	placer := func(model notch.ColocationModel) notch.RunPlacer { return assign.ByScore{ColocationModel: model} }
	return Policy{Order: assign.BySlack{}, Placer: placer, ColocationModel: colocation.New()}
}

// NaivePolicy returns the baseline: first come, first fit.
func NaivePolicy() Policy {
	placer := func(notch.ColocationModel) notch.RunPlacer { return assign.FirstFit{} }
	return Policy{Order: assign.FIFO{}, Placer: placer, ColocationModel: colocation.None{}}
}

// config holds what a Part was built with. It is never modified after that.
type config struct {
	timing Timing
	policy Policy

	hasInventory bool // it can be asked which hosts exist
}

// Part is the state of workflows and agents on one replica.
type Part struct {
	*config
	tables    *notch.Tables
	routes    map[string]notch.Route // of the tables, by name; the map is never modified
	leader    string
	receivers map[string]notch.Daemon // daemons that take agents' announcements, by name; the map is never modified

	// Replicated:
	workflows *immutable.Map[string, *graph.Workflow]
	agents    *immutable.SortedMap[string, *notch.Agent]

	// Derived from the replicated state:
	waiting        *immutable.SortedMap[string, struct{}]         // ids of the workflows with open tasks without a run
	active         int                                            // number of workflows that have tasks to run or runs to end
	queuedByRoute  *immutable.Map[string, int]                    // number of workflows that are queued, see isQueued
	loads          *immutable.Map[string, *agentLoad]             // by agent
	addressHolders *immutable.Map[string, notch.AgentIncarnation] // latest incarnation at each address
	hostHolders    *immutable.Map[string, notch.AgentIncarnation] // latest incarnation on each host that has a name
	suspectedTasks *immutable.Map[string, []notch.TaskRef]        // by agent that fell silent under them; tasks that were cleared since may be among them
	ended          *immutable.List[string]                        // workflows in the order of their end

	// Learned from the replicated log, with the times at which this replica applied it:
	agentClocks *immutable.Map[string, agentClock] // by agent
	lateCopies  *immutable.Map[string, lateCopies] // by agent; the latest of each

	hostLists  inventory.Lists // that this replica has read, whether it leads or not
	missesHost bool            // an agent may be known whose host no list has named

	leaveAnswers []leaveAnswer // that wait, on every replica that applied the leave message; never modified in place

	// Known to the leader only:
	leadership           notch.Leadership
	incarnations         uint64                                      // number of agent incarnations met in this term, and of those that fell silent
	fencedTerm           uint64                                      // term in which an agent refused an order because of a later leader's token
	sessions             *immutable.SortedMap[string, *agentSession] // by agent
	losses               []agentLoss                                 // of the last seconds; never modified in place
	runOrders            *immutable.Map[notch.RunRef, runOrders]
	begun                begunWorkflows // among those that are queued
	startsUnderWay       startsUnderWay
	startQueue           startQueue
	startWaits           startWaits
	outcomes             outcomes
	startsLoggedAt       notch.Time
	waitLog              waitLog
	starvationLoggedAt   notch.Time
	cpuLimitsByRun       *immutable.Map[notch.RunRef, cpuLimit]
	colocations          *immutable.Map[string, colocationState] // by agent
	colocationModel      notch.ColocationModel
	placementsProposedAt notch.Time // of placements that aren't committed yet; zero: there are none
	plannedAt            notch.Time
	planPause            time.Duration // after the last plan, in addition to Timing.PlanInterval
	planResumesAt        readyGroupKey // group at which the last plan reached its limit of scores; zero: it didn't
	planMemory           planMemory    // what the last plan found out
	needsPlan            bool          // a plan is due: its input may have changed since the last one, or that one reached a limit
}

// Option configures a new Part.
type Option func(*Part)

// WithPolicy replaces DefaultPolicy.
func WithPolicy(policy Policy) Option { return func(p *Part) { p.policy = policy } }

// WithTiming replaces DefaultTiming.
func WithTiming(t Timing) Option { return func(p *Part) { p.timing = t } }

// New returns the part of the daemon self, without workflows and agents.
func New(self notch.Daemon, opts ...Option) Part {
	p := Part{
		config: &config{timing: DefaultTiming, policy: DefaultPolicy()}, tables: &notch.Tables{},
		receivers: map[string]notch.Daemon{self.Name: self},
	}
	for _, opt := range opts {
		opt(&p)
	}
	return p.withoutReplicatedState().withoutLeaderState()
}

// withoutReplicatedState returns p without workflows and agents.
func (p Part) withoutReplicatedState() Part {
	p.workflows = immutable.NewMap[string, *graph.Workflow](nil)
	p.agents = immutable.NewSortedMap[string, *notch.Agent](nil)
	p.waiting = immutable.NewSortedMap[string, struct{}](nil)
	p.active = 0
	p.queuedByRoute = immutable.NewMap[string, int](nil)
	p.loads = immutable.NewMap[string, *agentLoad](nil)
	p.addressHolders = immutable.NewMap[string, notch.AgentIncarnation](nil)
	p.hostHolders = immutable.NewMap[string, notch.AgentIncarnation](nil)
	p.suspectedTasks = immutable.NewMap[string, []notch.TaskRef](nil)
	p.ended = immutable.NewList[string]()
	p.agentClocks = immutable.NewMap[string, agentClock](nil)
	p.lateCopies = immutable.NewMap[string, lateCopies](nil)
	p.missesHost = true
	return p
}

// withoutLeaderState returns p without the state that only a leader knows.
func (p Part) withoutLeaderState() Part {
	p.sessions = immutable.NewSortedMap[string, *agentSession](nil)
	p.losses, p.startsUnderWay, p.startQueue = nil, startsUnderWay{}, newStartQueue()
	p.runOrders = immutable.NewMap[notch.RunRef, runOrders](runRefHasher{})
	p.begun = newBegunWorkflows()
	p.cpuLimitsByRun = immutable.NewMap[notch.RunRef, cpuLimit](runRefHasher{})
	p.colocations = immutable.NewMap[string, colocationState](nil)
	p.colocationModel = p.policy.ColocationModel
	p.placementsProposedAt, p.plannedAt, p.startsLoggedAt, p.starvationLoggedAt, p.incarnations = 0, 0, 0, 0, 0
	p.startWaits, p.outcomes = startWaits{}, outcomes{}
	p.planPause, p.planResumesAt, p.planMemory = 0, readyGroupKey{}, planMemory{}
	return p
}

// Step implements [notch.Part].
func (p Part) Step(e notch.Event) (notch.Part, []notch.Effect) {
	if !p.handles(e) {
		return nil, nil
	}
	s := stepper{Part: p, now: e.At, unixMilli: e.UnixMilli, seed: e.Seed}
	switch b := e.Body.(type) {
	case notch.Committed:
		s.apply(b.Entry)
	case notch.Restored:
		s.restore(b.Snapshot)
	case notch.TablesCommitted:
		s.tables, s.routes = &b.Tables, routesByName(b.Tables)
		s.needsPlan = true
	case notch.LeaderChanged:
		s.leader = b.Leader
	case notch.Leadership:
		s.leadershipChanged(b)
	case notch.PeerUp:
		if d := b.Hello.Daemon; d.Operators != "" {
			s.receivers = maps.Clone(s.receivers)
			s.receivers[d.Name] = d
		}
	case notch.PeerDown:
		if _, ok := s.receivers[b.Name]; ok {
			s.receivers = maps.Clone(s.receivers)
			delete(s.receivers, b.Name)
		}
	case notch.AgentAnnounced:
		s.agentAnnounced(b)
	case notch.AgentAnswered:
		s.orderAnswered(b)
		s.limitStarted(b)
	case notch.HostsListed:
		s.hostsListed(b)
	case notch.QueryReceived:
		s.answerQuery(b)
	case notch.Tick:
		s.answerLeaves()
		s.askForHosts(s.tick())
		// The plan waits for the flush after the queued events. Ticks go before these, so plans at
		// ticks that took longer than a tick would leave them no time.
		s.needsPlan = true
	case notch.Flush:
		s.plan()
	}
	return s.Part, s.out
}

// handles reports whether an event may change p or have effects.
func (p Part) handles(e notch.Event) bool {
	switch b := e.Body.(type) {
	case notch.Committed:
		return handlesCommand(b.Entry.Command)
	case notch.Flush:
		return p.planDue(e.At)
	case notch.Restored, notch.TablesCommitted, notch.LeaderChanged, notch.Leadership, notch.PeerUp, notch.PeerDown,
		notch.AgentAnnounced, notch.AgentAnswered, notch.HostsListed, notch.QueryReceived, notch.Tick:
		return true
	}
	return false
}

// handlesCommand reports whether a committed command concerns workflows or agents.
func handlesCommand(c notch.Command) bool {
	switch c.(type) {
	case notch.SubmitWorkflow, notch.CancelWorkflow, notch.AdmitAgent, notch.PlaceRuns, notch.EndRuns:
		return true
	}
	return false
}

// routesByName indexes the routes of tables, as plans look one up for each group that waits.
func routesByName(t notch.Tables) map[string]notch.Route {
	out := make(map[string]notch.Route, len(t.Routes))
	for _, r := range slices.Backward(t.Routes) {
		out[r.Name] = r // of several routes with a name, the first one counts, as for Tables.Route
	}
	return out
}

// stepper is a Part during a step, with the effects so far.
type stepper struct {
	Part
	now       notch.Time
	unixMilli int64 // Unix time in ms
	seed      uint64
	out       []notch.Effect
	toRenew   []notch.RunRef // placements whose renewal is due
	listsTrue *bool          // what listsAreTrue found out in this step; nil: nothing yet
}

func (s *stepper) emit(b notch.Body) { s.out = append(s.out, notch.Emit{Body: b}) }

func (s *stepper) propose(c notch.Command) { s.emit(notch.Proposal{Command: c}) }

func (s *stepper) count(name string, n int) {
	if n != 0 {
		s.out = append(s.out, notch.Count{Name: name, Delta: int64(n)})
	}
}

func (s *stepper) logMessage(text string, fields ...notch.LogField) {
	s.out = append(s.out, notch.LogMessage{Text: text, Fields: fields})
}

// leads reports whether this replica leads and knows all committed entries.
func (p Part) leads() bool { return p.leadership.Leading && p.leadership.Ready != 0 }

// mayOrderAt reports whether this replica may send orders at the given time: it leads, no agent has seen a
// later leader's token, and a quorum has answered recently.
func (p Part) mayOrderAt(now notch.Time) bool {
	return p.leads() && p.leadership.Term != p.fencedTerm && now.Sub(p.leadership.Contact) < p.timing.QuorumTimeout
}

// mayOrder reports whether this replica may send orders now.
func (s *stepper) mayOrder() bool { return s.mayOrderAt(s.now) }
