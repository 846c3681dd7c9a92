// Package fake simulates the environment of the daemons of a drive.Simulator:
// callers, backend servers, workers and agents. These stand-ins also check the promises
// of the system that can be observed only from outside the daemons, for example that a
// non-idempotent request runs at most once.
package fake

import (
	"fmt"
	"slices"
	"strings"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/batch"
	"tamaracknotch/claim"
	"tamaracknotch/consensus"
	"tamaracknotch/drive"
	"tamaracknotch/flow"
	"tamaracknotch/gateway"
	"tamaracknotch/member"
	"tamaracknotch/share"
	"tamaracknotch/table"
	"tamaracknotch/traffic"
	"tamaracknotch/wire"
)

// Policies holds the policies and limits of the daemons of a testbed.
type Policies struct {
	Traffic   traffic.Policy
	Batch     batch.Policy
	Divider   notch.Divider
	Consensus consensus.Limits
	Flow      flow.Timing
	Workflows flow.Policy
	Replicas  int // number of voters, which the leader chooses; 0: the pool control lists them
}

// DefaultPolicies returns the policies of a daemon without settings.
func DefaultPolicies() Policies {
	return Policies{
		Traffic: traffic.DefaultPolicy(), Batch: batch.DefaultPolicy(),
		Divider: share.ByDemand{FloorDivisor: share.DefaultFloorDivisor}, Consensus: consensus.DefaultLimits,
		Flow: flow.DefaultTiming, Workflows: flow.DefaultPolicy(),
	}
}

// Testbed simulates daemons together with their callers, backend servers, workers and
// agents.
type Testbed struct {
	*drive.Simulator
	Policies    Policies
	Backends    map[string]*Backend
	Workers     map[string]*Worker
	Agents      map[string]*Agent
	Inventory   *Inventory // nil: there is none
	Counters    map[string]int64
	LogMessages []string
	// OnPublish is called for every task whose results are published.
	OnPublish func(id notch.TaskID)
	// LostWork is the run time of attempts that were stopped without a checkpoint.
	LostWork time.Duration
	// Violations lists the broken promises that were observed, with their times.
	Violations []string

	workflowChecker *workflowChecker
	lastTicket      uint64
	pendingCalls    map[uint64]func(notch.Effect)
	pendingRequests map[requestKey]*pendingRequest
	lastRequestID   uint64
	runningOn       map[notch.TaskID]string // worker on which a task is running
	publications    map[notch.TaskID]int    // how often the results of a task were published
	killedWorkers   map[string]bool         // workers that were killed at least once
}

// New returns a testbed without daemons.
func New(seed uint64) *Testbed {
	s := &Testbed{
		Simulator: drive.New(seed), Policies: DefaultPolicies(),
		Backends: map[string]*Backend{}, Workers: map[string]*Worker{}, Agents: map[string]*Agent{}, workflowChecker: newWorkflowChecker(), Counters: map[string]int64{},
		pendingCalls: map[uint64]func(notch.Effect){}, pendingRequests: map[requestKey]*pendingRequest{},
		runningOn: map[notch.TaskID]string{}, publications: map[notch.TaskID]int{}, killedWorkers: map[string]bool{},
	}
	s.OnEffect = s.handleEffect
	s.Net.Size = encodedSize
	s.OnPublish = func(notch.TaskID) {}
	return s
}

// encodedSize returns the size of a message on a link in bytes.
func encodedSize(m notch.Message) int {
	b, err := wire.EncodeMessage(m)
	if err != nil {
		panic(err)
	}
	return len(b)
}

func (s *Testbed) reportViolation(format string, args ...any) {
	s.Violations = append(s.Violations, fmt.Sprintf("%v: ", s.Now())+fmt.Sprintf(format, args...))
}

// AddDaemon adds and starts a daemon. If bootstrap is set, the daemon founds a
// cluster with itself as the only voter.
func (s *Testbed) AddDaemon(name, domain string, replica, bootstrap bool) *drive.Node {
	n := s.Add(name, domain, replica, s.build)
	if bootstrap {
		n.Disk.Init(consensus.Bootstrap(notch.Replica{Name: name, Storage: n.Disk.Storage}))
	}
	s.Start(n)
	return n
}

// build is the drive.BuildFunc of a testbed's daemons.
func (s *Testbed) build(self notch.Daemon, storage uint64) (notch.State, []notch.State) {
	parts := []notch.Part{member.New(self, storage, 0), gateway.New(self.Name)}
	if self.Replica {
		replica := notch.Replica{Name: self.Name, Storage: storage}
		parts = append(parts, consensus.New(replica, consensus.WithLimits(s.Policies.Consensus), consensus.WithTargetVoters(s.Policies.Replicas)))
	}
	parts = append(parts, table.New(), claim.New(), batch.New(batch.WithPolicy(s.Policies.Batch)))
	if self.Replica {
		options := []flow.Option{flow.WithTiming(s.Policies.Flow), flow.WithPolicy(s.Policies.Workflows)}
		if s.Inventory != nil {
			options = append(options, flow.WithHostInventory())
		}
		parts = append(parts, flow.New(self, options...))
		parts = append(parts, share.NewLeader(self.Name, share.WithDivider(s.Policies.Divider)))
	}
	parts = append(parts, share.NewEntry(self, 1))
	lane := traffic.New(0, self.Domain, traffic.WithPolicy(s.Policies.Traffic))
	return notch.NewState(parts...), []notch.State{notch.NewState(lane)}
}

// handleEffect carries out the effects that the simulator leaves to the environment.
func (s *Testbed) handleEffect(n *drive.Node, f notch.Effect) {
	switch f := f.(type) {
	case notch.Count:
		s.Counters[f.Name] += f.Delta
	case notch.PlanMade:
		for _, c := range f.Counts() {
			s.Counters[c.Name] += c.Delta
		}
	case notch.LogMessage:
		s.LogMessages = append(s.LogMessages, fmt.Sprintf("%v %s: %s%s", s.Now(), n.Self.Name, f.Text, fieldsText(f.Fields)))
	case notch.Answer:
		s.completeCall(f.Ticket, f)
	case notch.AnswerWorker:
		s.completeCall(f.Ticket, f)
	case notch.AnswerQuery:
		s.completeCall(f.Ticket, f)
	case notch.CallAgent:
		s.sendOrder(n, f)
	case notch.ListHosts:
		s.listHosts(n, f)
	case notch.AnswerAgent:
		s.completeCall(f.Ticket, f)
	case notch.Dispatch:
		s.handleDispatch(n, f)
	case notch.Refuse:
		s.handleRefusal(n, f)
	}
}

// fieldsText returns the fields of a log message in the form " name=value".
func fieldsText(fields []notch.LogField) string {
	var out strings.Builder
	for _, f := range fields {
		fmt.Fprintf(&out, " %s=%s", f.Name, f.Value)
	}
	return out.String()
}

// completeCall passes an answer to the call that waits for it, if any.
func (s *Testbed) completeCall(ticket uint64, f notch.Effect) {
	if done := s.pendingCalls[ticket]; done != nil {
		delete(s.pendingCalls, ticket)
		done(f)
	}
}

// Submit submits a command through a daemon. Done is called with the answer, unless
// the daemon is killed first.
func (s *Testbed) Submit(n *drive.Node, c notch.Command, timeout time.Duration, done func(notch.Answer)) {
	s.lastTicket++
	s.pendingCalls[s.lastTicket] = func(f notch.Effect) { done(f.(notch.Answer)) }
	s.Post(n, notch.CommandSubmitted{Ticket: s.lastTicket, Command: c, Deadline: s.Time(n).Add(timeout)})
}

// Query sends a query to the leader through a daemon. Done is called with the
// answer, unless the daemon is killed first.
func (s *Testbed) Query(n *drive.Node, q notch.Query, timeout time.Duration, done func(notch.AnswerQuery)) {
	s.lastTicket++
	s.pendingCalls[s.lastTicket] = func(f notch.Effect) { done(f.(notch.AnswerQuery)) }
	s.Post(n, notch.QuerySubmitted{Ticket: s.lastTicket, Question: q, Deadline: s.Time(n).Add(timeout)})
}

// Tables returns the tables in force at a daemon.
func (s *Testbed) Tables(n *drive.Node) notch.Tables {
	t, _ := findPart[table.Part](n.Control)
	return t.Tables()
}

// IsLeader reports whether a daemon is up and considers itself the leader.
func (s *Testbed) IsLeader(n *drive.Node) bool {
	p, ok := findPart[consensus.Part](n.Control)
	return ok && n.Up && p.IsLeader()
}

// Consensus returns a daemon's consensus part.
func (s *Testbed) Consensus(n *drive.Node) (consensus.Part, bool) {
	return findPart[consensus.Part](n.Control)
}

// Batch returns a daemon's batch part.
func (s *Testbed) Batch(n *drive.Node) batch.Part {
	p, _ := findPart[batch.Part](n.Control)
	return p
}

// Leased reports whether a daemon is up and its entry holds a lease.
func (s *Testbed) Leased(n *drive.Node) bool {
	p, _ := findPart[share.Entry](n.Control)
	return n.Up && s.Time(n) < p.LeaseEnd()
}

// Up returns the daemons that are running.
func (s *Testbed) Up() []*drive.Node {
	return slices.DeleteFunc(s.Nodes(), func(n *drive.Node) bool { return !n.Up })
}

// findPart returns the part of type P of a state.
func findPart[P notch.Part](s notch.State) (p P, ok bool) {
	for _, part := range s.Parts() {
		if p, ok = part.(P); ok {
			return p, true
		}
	}
	return p, false
}
