// Package consensus is the part that replicates the log of commands: terms,
// elections with a pre-vote, group commit, snapshots and changes of the replica
// set, one voter at a time.
//
// The safety argument is that of Raft (Ongaro and Ousterhout, 2014). Two things
// are added. A replica is known by its name and the identity of its data folder,
// so that one whose disk was wiped can't vote or count in its predecessor's
// place. And the leader tells the other parts at which instant it was last known
// to lead, so that they can base leases on it.
package consensus

import (
	"slices"
	"strconv"
	"time"

	notch "tamaracknotch"
)

// Timing holds the durations of the protocol. Delays between replicas have to
// stay well below Election.
type Timing struct {
	Heartbeat time.Duration // between messages of an idle leader
	Election  time.Duration // silence after which a follower campaigns, up to twice this
	Resend    time.Duration // wait for a reply before a batch or snapshot is sent again
}

// DefaultTiming suits replicas up to some 50 ms apart.
var DefaultTiming = Timing{
	Heartbeat: 100 * time.Millisecond,
	Election:  500 * time.Millisecond,
	Resend:    300 * time.Millisecond,
}

// Limits bound messages and the log.
type Limits struct {
	Batch    int // entries in one message
	Pipeline int // entries sent beyond the last acknowledged one
	Snapshot int // entries after which a snapshot is taken
	KeepBack int // entries kept before the snapshot, for replicas that lag a little
	CatchUp  int // entries that a learner may lack when it becomes a voter
}

// DefaultLimits is meant for entries of a few hundred bytes to some kilobytes.
var DefaultLimits = Limits{Batch: 1024, Pipeline: 8192, Snapshot: 4000, KeepBack: 500, CatchUp: 64}

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	roleLeader
)

func (r role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// configAt is the replica set as of a log index.
type configAt struct {
	index uint64
	set   notch.ReplicaSet
}

// Part is the state of one replica. The zero value isn't usable; see New.
type Part struct {
	self   notch.Replica
	timing Timing
	limits Limits
	size   int // voters to have; 0: the pool control lists them

	hard      notch.HardState
	log       log
	snapshot  *notch.Snapshot
	configs   []configAt // ascending; the last one is in force
	persisted uint64     // synced here
	commit    uint64
	applied   uint64
	failed    bool // the journal refused; this replica is out until restarted

	role        role
	leader      string
	votes       []string
	electionDue notch.Time
	lastHeard   notch.Time // of a leader
	handOver    bool

	// As leader:
	progress     []progress
	heartbeatDue notch.Time
	firstIndex   uint64 // of the leader's own term
	ready        notch.Time
	contact      notch.Time
	leaderSince  notch.Time
	desired      []string // names in the pool control
	seen         []notch.Replica
	stopping     bool

	dirty         bool   // entries were appended since the last flush
	sentToJournal uint64 // last index handed to the journal as leader
}

// Option adjusts a new Part.
type Option func(*Part)

// WithTiming replaces DefaultTiming.
func WithTiming(t Timing) Option { return func(p *Part) { p.timing = t } }

// WithLimits replaces DefaultLimits.
func WithLimits(l Limits) Option { return func(p *Part) { p.limits = l } }

// WithSize lets the leader choose the voters among the daemons with a data folder, so
// that there are n of them; the pool control isn't asked.
func WithSize(n int) Option { return func(p *Part) { p.size = n } }

// New returns a replica without a log. It is a learner until a log tells it
// otherwise.
func New(self notch.Replica, opts ...Option) Part {
	p := Part{self: self, timing: DefaultTiming, limits: DefaultLimits, log: newLog()}
	for _, opt := range opts {
		opt(&p)
	}
	return p
}

// Bootstrap returns what the journal of a new cluster's first replica holds:
// one voter, and a pools table that lists it.
func Bootstrap(self notch.Replica) notch.Recovered {
	set := notch.ReplicaSet{Voters: []notch.Replica{self}}
	pools := []notch.Pool{{Name: notch.ControlPool, Kind: notch.ReplicaPool, Hosts: []string{self.Name}}}
	return notch.Recovered{
		Hard: notch.HardState{Term: 1},
		Entries: []notch.Entry{
			{Index: 1, Term: 1, Command: notch.ChangeReplicas{Set: set}},
			{Index: 2, Term: 1, Command: notch.EditTable{ID: "bootstrap", Table: notch.PoolsTable, Pools: pools, By: "bootstrap"}},
		},
	}
}

// Step implements [notch.Part].
func (p Part) Step(e notch.Event) (notch.Part, []notch.Effect) {
	if p.failed {
		return p, nil
	}
	s := stepper{Part: p, now: e.At, seed: e.Seed}
	s.step(e.Body)
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
func (s *stepper) send(to string, m notch.Message) {
	s.out = append(s.out, notch.Send{To: to, Message: m})
}

func (s *stepper) notice(text string) {
	s.out = append(s.out, notch.Notice{Text: text, Fields: []notch.Field{
		{Name: "replica", Value: s.self.Name},
		{Name: "term", Value: strconv.FormatUint(s.hard.Term, 10)},
	}})
}

func (s *stepper) step(b notch.Body) {
	switch b := b.(type) {
	case notch.Tick:
		s.tick()
	case notch.Flush:
		s.flush()
	case notch.Recovered:
		s.recovered(b)
	case notch.Proposal:
		s.propose(b)
	case notch.Persisted:
		s.onPersisted(b)
	case notch.PersistFailed:
		s.stepDown("")
		s.failed = true
		s.notice("journal failed; this replica takes no further part: " + b.Reason)
	case notch.SnapshotTaken:
		s.saveSnapshot(b.Snapshot)
	case notch.SnapshotSaved:
		s.log = s.log.withoutPrefix(s.keepFrom(b.Index))
	case notch.TablesCommitted:
		s.wanted(b.Tables)
	case notch.ReplicaSeen:
		s.sawReplica(b.Replica)
	case notch.PeerDown:
		s.seen = slices.DeleteFunc(slices.Clone(s.seen), func(r notch.Replica) bool { return s.size > 0 && r.Name == b.Name })
	case notch.ShutdownStarted:
		s.stopping = true
		s.handOverLead()
	case notch.MessageReceived:
		s.receive(b.From, b.Message)
	}
}

func (s *stepper) receive(from string, m notch.Message) {
	switch m := m.(type) {
	case notch.VoteRequest:
		s.onVoteRequest(m)
	case notch.VoteReply:
		s.onVoteReply(m)
	case notch.AppendRequest:
		s.onAppend(m)
	case notch.AppendReply:
		s.onAppendReply(m)
	case notch.InstallSnapshot:
		s.onSnapshot(m)
	case notch.TimeoutNow:
		if m.Term == s.hard.Term && s.isVoter() && !s.stopping {
			s.handOver = true
			s.campaign(candidate)
		}
	case notch.LeaderQuery:
		s.send(from, notch.LeaderHint{Term: s.hard.Term, Leader: s.leader, SentAt: m.SentAt})
	case notch.LeaderHint:
		s.observeTerm(m.Term)
	}
}

func (s *stepper) tick() {
	if s.role == roleLeader {
		s.leaderTick()
		return
	}
	if s.electionDue == 0 {
		s.resetElection()
	}
	if s.now.Before(s.electionDue) || !s.isVoter() || s.stopping {
		return
	}
	s.campaign(preCandidate)
}

func (s *stepper) resetElection() {
	span := uint64(s.timing.Election)
	jitter := notch.Mix(s.seed^s.self.Storage) % span
	s.electionDue = s.now.Add(s.timing.Election + time.Duration(jitter))
}

// recovered takes over what the journal held.
func (s *stepper) recovered(r notch.Recovered) {
	s.hard = r.Hard
	if r.Snapshot != nil {
		s.restore(*r.Snapshot)
	}
	for _, e := range r.Entries {
		s.appendEntry(e)
	}
	s.persisted = s.log.lastIndex()
	s.emitReplicas()
	s.resetElection()
	// A lone voter has nobody to wait for.
	if s.isVoter() && len(s.set().Voters) == 1 {
		s.campaign(preCandidate)
	}
}

func (s *stepper) restore(snap notch.Snapshot) {
	s.snapshot = &snap
	s.log = newLogAt(snap.Index, snap.Term)
	s.configs = []configAt{{index: snap.Index, set: snap.Replicas}}
	s.commit, s.applied, s.persisted = snap.Index, snap.Index, snap.Index
	s.emit(notch.Restored{Snapshot: snap})
}

func (s *stepper) onPersisted(b notch.Persisted) {
	if b.Term != s.hard.Term || b.Index > s.log.lastIndex() {
		return
	}
	s.persisted = max(s.persisted, b.Index)
	if s.role == roleLeader {
		s.advanceCommit()
	}
}

// apply hands newly committed entries to the other parts.
func (s *stepper) apply() {
	for s.applied < s.commit {
		s.applied++
		s.emit(notch.Committed{Entry: s.log.at(s.applied)})
	}
	if s.snapshotIndex()+uint64(s.limits.Snapshot) <= s.applied {
		s.emit(notch.SnapshotDue{Index: s.applied, Term: s.log.term(s.applied), Replicas: s.setAt(s.applied)})
	}
}

func (s *stepper) snapshotIndex() uint64 {
	if s.snapshot == nil {
		return 0
	}
	return s.snapshot.Index
}

func (s *stepper) saveSnapshot(snap notch.Snapshot) {
	s.snapshot = &snap
	s.out = append(s.out, notch.SaveSnapshot{Snapshot: snap, KeepFrom: s.keepFrom(snap.Index)})
}

func (s *stepper) keepFrom(index uint64) uint64 {
	if index <= uint64(s.limits.KeepBack) {
		return 0
	}
	return max(index-uint64(s.limits.KeepBack), s.log.base)
}

func (s *stepper) emitReplicas() { s.emit(notch.ReplicasChanged{Set: s.set()}) }

// Leads reports whether the replica leads, as far as it knows.
func (p Part) Leads() bool { return p.role == roleLeader && !p.failed }

// Term returns the latest term that the replica knows.
func (p Part) Term() uint64 { return p.hard.Term }

// Commit returns the index of the last entry known to be committed.
func (p Part) Commit() uint64 { return p.commit }

// Set returns the replica set in force.
func (p Part) Set() notch.ReplicaSet { return p.set() }
