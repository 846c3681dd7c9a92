// Package fake holds small stand-ins for what surrounds the daemons of a
// drive.Simulator: callers, backend servers and workers. They check, as they go,
// the promises that only they can see broken.
package fake

import (
	"fmt"
	"slices"
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
)

// Policies are what the daemons of a site decide by.
type Policies struct {
	Traffic   traffic.Policy
	Batch     batch.Policy
	Divider   notch.Divider
	Consensus consensus.Limits
	Flow      flow.Timing
	Replicas  int // voters that the leader chooses; 0: the pool control lists them
}

// DefaultPolicies returns those of a daemon without settings.
func DefaultPolicies() Policies {
	return Policies{
		Traffic: traffic.DefaultPolicy(), Batch: batch.DefaultPolicy(),
		Divider: share.ByDemand{Floor: share.DefaultFloor}, Consensus: consensus.DefaultLimits,
		Flow: flow.DefaultTiming,
	}
}

// Site is a world of daemons with the stand-ins around them.
type Site struct {
	*drive.Simulator
	Policies Policies
	Backends map[string]*Backend
	Workers  map[string]*Worker
	Agents   map[string]*Agent
	Counters map[string]int64
	Notices  []string
	// OnPublish sees each task whose results are published.
	OnPublish func(id notch.TaskID)
	// Lost is the work of attempts that was thrown away.
	Lost time.Duration
	// Violations lists the promises that were seen broken.
	Violations []string

	account  *account
	tickets  uint64
	calls    map[uint64]func(notch.Effect)
	requests map[requestKey]*exchange
	nextID   uint64
	running  map[notch.TaskID]string // worker on which a task runs now
	finished map[notch.TaskID]int
	died     map[string]bool // workers that were killed at some time
}

// New returns a site without daemons.
func New(seed uint64) *Site {
	s := &Site{
		Simulator: drive.New(seed), Policies: DefaultPolicies(),
		Backends: map[string]*Backend{}, Workers: map[string]*Worker{}, Agents: map[string]*Agent{}, account: newAccount(), Counters: map[string]int64{},
		calls: map[uint64]func(notch.Effect){}, requests: map[requestKey]*exchange{},
		running: map[notch.TaskID]string{}, finished: map[notch.TaskID]int{}, died: map[string]bool{},
	}
	s.OnEffect = s.effect
	s.OnPublish = func(notch.TaskID) {}
	return s
}

func (s *Site) violate(format string, args ...any) {
	s.Violations = append(s.Violations, fmt.Sprintf("%v: ", s.Now())+fmt.Sprintf(format, args...))
}

// AddDaemon adds and starts a daemon. Bootstrap begins a cluster with it.
func (s *Site) AddDaemon(name, domain string, replica, bootstrap bool) *drive.Node {
	n := s.Add(name, domain, replica, s.build)
	if bootstrap {
		n.Disk.Init(consensus.Bootstrap(notch.Replica{Name: name, Storage: n.Disk.Storage}))
	}
	s.Start(n)
	return n
}

func (s *Site) build(self notch.Daemon, storage uint64) (notch.State, []notch.State) {
	parts := []notch.Part{member.New(self, storage, 0), gateway.New(self.Name)}
	if self.Replica {
		replica := notch.Replica{Name: self.Name, Storage: storage}
		parts = append(parts, consensus.New(replica, consensus.WithLimits(s.Policies.Consensus), consensus.WithSize(s.Policies.Replicas)))
	}
	parts = append(parts, table.New(), claim.New(), batch.New(batch.WithPolicy(s.Policies.Batch)))
	if self.Replica {
		parts = append(parts, flow.New(self, flow.WithTiming(s.Policies.Flow)))
		parts = append(parts, share.NewLeader(self.Name, share.WithDivider(s.Policies.Divider)))
	}
	parts = append(parts, share.NewEntry(self, 1))
	lane := traffic.New(0, self.Domain, traffic.WithPolicy(s.Policies.Traffic))
	return notch.NewState(parts...), []notch.State{notch.NewState(lane)}
}

func (s *Site) effect(n *drive.Node, f notch.Effect) {
	switch f := f.(type) {
	case notch.Count:
		s.Counters[f.Name] += f.Delta
	case notch.Notice:
		s.Notices = append(s.Notices, fmt.Sprintf("%v %s: %s", s.Now(), n.Self.Name, f.Text))
	case notch.Answer:
		s.answered(f.Ticket, f)
	case notch.AnswerWorker:
		s.answered(f.Ticket, f)
	case notch.AnswerQuery:
		s.answered(f.Ticket, f)
	case notch.CallAgent:
		s.callAgent(n, f)
	case notch.AnswerAgent:
	case notch.Dispatch:
		s.dispatched(n, f)
	case notch.Refuse:
		s.refused(n, f)
	}
}

func (s *Site) answered(ticket uint64, f notch.Effect) {
	if done := s.calls[ticket]; done != nil {
		delete(s.calls, ticket)
		done(f)
	}
}

// Submit has a daemon submit a command; done gets the answer, unless the daemon
// dies first.
func (s *Site) Submit(n *drive.Node, c notch.Command, patience time.Duration, done func(notch.Answer)) {
	s.tickets++
	s.calls[s.tickets] = func(f notch.Effect) { done(f.(notch.Answer)) }
	s.Post(n, notch.Submitted{Ticket: s.tickets, Command: c, Deadline: s.Time(n).Add(patience)})
}

// Ask has a daemon ask the leader.
func (s *Site) Ask(n *drive.Node, q notch.Question, patience time.Duration, done func(notch.AnswerQuery)) {
	s.tickets++
	s.calls[s.tickets] = func(f notch.Effect) { done(f.(notch.AnswerQuery)) }
	s.Post(n, notch.Asked{Ticket: s.tickets, Question: q, Deadline: s.Time(n).Add(patience)})
}

// Tables returns the revision in force at a daemon.
func (s *Site) Tables(n *drive.Node) notch.Tables {
	t, _ := find[table.Part](n.Control)
	return t.Tables()
}

// Leads reports whether a daemon takes itself for the leader.
func (s *Site) Leads(n *drive.Node) bool {
	p, ok := find[consensus.Part](n.Control)
	return ok && n.Up && p.Leads()
}

// Consensus returns a daemon's consensus part.
func (s *Site) Consensus(n *drive.Node) (consensus.Part, bool) {
	return find[consensus.Part](n.Control)
}

// Batch returns a daemon's batch part.
func (s *Site) Batch(n *drive.Node) batch.Part {
	p, _ := find[batch.Part](n.Control)
	return p
}

// Leased reports whether a daemon's entry holds a lease.
func (s *Site) Leased(n *drive.Node) bool {
	p, _ := find[share.Entry](n.Control)
	return n.Up && s.Time(n) < p.Until()
}

// Up lists the daemons that run.
func (s *Site) Up() []*drive.Node {
	return slices.DeleteFunc(s.Nodes(), func(n *drive.Node) bool { return !n.Up })
}

func find[P notch.Part](s notch.State) (p P, ok bool) {
	for _, part := range s.Parts() {
		if p, ok = part.(P); ok {
			return p, true
		}
	}
	return p, false
}
