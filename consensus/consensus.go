// Package consensus replicates the command log with the Raft algorithm (Ongaro
// and Ousterhout, 2014): elections with a pre-vote, leadership transfer, group
// commit, snapshots, learners, and membership changes of one voter at a time.
//
// It adds two things to Raft. A replica is identified by its name and by the
// identity of its data folder, so a replica whose disk was wiped can neither vote
// nor count towards a quorum in place of the previous one. The leader also reports
// to the other parts the send time of the latest message that a quorum answered, so
// that they can base leases on it.
package consensus

import (
	"slices"
	"strconv"
	"time"

	notch "tamaracknotch"
)

// Timing holds the durations of the protocol. The delay between replicas must be
// well below ElectionTimeout.
type Timing struct {
	HeartbeatInterval time.Duration // between heartbeats of the leader
	ElectionTimeout   time.Duration // minimum silence before a follower campaigns; drawn at random up to twice this
	ResendTimeout     time.Duration // wait for a reply before entries are sent again
}

// DefaultTiming is for delays of up to about 50 ms between replicas.
var DefaultTiming = Timing{
	HeartbeatInterval: 100 * time.Millisecond,
	ElectionTimeout:   500 * time.Millisecond,
	ResendTimeout:     300 * time.Millisecond,
}

// Limits bounds the messages and the log.
type Limits struct {
	BatchEntries    int // maximum number of entries in one message
	BatchBytes      int // a message with entries of this estimated size gets no further entry
	FlushLag        int // a flush sends nothing to a replica with more unsent entries than this
	SnapshotEntries int // number of entries applied between two snapshots
	RetainedEntries int // entries kept before the snapshot, for followers that lag slightly
	LearnerLag      int // a learner that lacks at most this many entries may become a voter
}

// DefaultLimits is for entries of a few hundred bytes to a few kilobytes.
var DefaultLimits = Limits{BatchEntries: 1024, BatchBytes: 256 << 10, FlushLag: 8192, SnapshotEntries: 4000, RetainedEntries: 500, LearnerLag: 64}

type role uint8

const (
	roleFollower role = iota
	rolePreCandidate
	roleCandidate
	roleLeader
)

func (r role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// configAt is the replica set that the log entry at index introduced.
type configAt struct {
	index uint64
	set   notch.ReplicaSet
}

// Part is the state of one replica. Use New to create one; the zero value is invalid.
type Part struct {
	self         notch.Replica
	timing       Timing
	limits       Limits
	targetVoters int // number of voters to reach; 0: the pool control lists the voters

	hardState      notch.HardState
	log            log
	snapshot       *notch.Snapshot
	tableEdits     []uint64   // indexes of the entries that edit the tables; those up to appliedIndex may be missing; never modified in place
	configs        []configAt // in ascending order; the last one is in force
	persistedIndex uint64     // last entry synced on this replica
	lastWrite      uint64     // number of the last write that the journal was given
	validWrite     uint64     // number of the first write whose entries the log has kept
	commitIndex    uint64
	appliedIndex   uint64     // last entry passed to the other parts
	reducedIndex   uint64     // the last of the entries committed together that the parts have begun to apply
	failed         bool       // the journal is damaged; the replica ignores all events until it restarts
	failingSince   notch.Time // when the journal began to fail; zero: it works

	role           role
	leader         string
	votes          []string // names of the voters that granted their vote
	electionDue    notch.Time
	campaignedAt   notch.Time // when the last pre-vote or election began
	lastHeardAt    notch.Time // when a leader's message last arrived
	lastTickAt     notch.Time // zero before the first tick
	recoveredAt    notch.Time // when the replica started
	transferTarget bool       // the leader asked this replica to take over

	// The leader's state.
	progress        []progress
	heartbeatDue    notch.Time
	termStartIndex  uint64          // index of the leader's first entry in its term
	readyAt         notch.Time      // when that entry was committed; zero before
	quorumContactAt notch.Time      // send time of the latest message that a quorum answered
	quorumDue       notch.Time      // when the leader steps down, unless a quorum answers later messages
	desiredVoters   []string        // names of the hosts in the pool control
	linkedReplicas  []notch.Replica // replicas on daemons that were linked; with targetVoters, only those still linked
	stopping        bool            // a graceful shutdown was requested
	tablesRevision  uint64          // of the tables after the entries up to appliedIndex

	successor notch.Replica    // the replica that was asked last to take over
	held      []notch.Proposal // proposals that arrived while the journal is failing; never modified in place

	unflushed          bool   // entries were appended since the last flush
	sentToJournalIndex uint64 // last index handed to the journal as leader
}

// Option adjusts a new Part.
type Option func(*Part)

// WithTiming replaces DefaultTiming.
func WithTiming(t Timing) Option { return func(p *Part) { p.timing = t } }

// WithLimits replaces DefaultLimits.
func WithLimits(l Limits) Option { return func(p *Part) { p.limits = l } }

// WithTargetVoters makes the leader choose n voters among the daemons that have a data folder.
// The pool control is then ignored.
func WithTargetVoters(n int) Option { return func(p *Part) { p.targetVoters = n } }

// New returns a replica with an empty log. It doesn't campaign until its log contains a
// replica set that lists it as a voter.
func New(self notch.Replica, opts ...Option) Part {
	p := Part{self: self, timing: DefaultTiming, limits: DefaultLimits, log: newLog()}
	for _, opt := range opts {
		opt(&p)
	}
	return p
}

// Bootstrap returns the initial journal content of a new cluster's first replica: a
// replica set with self as the only voter, and a pools table that lists self.
func Bootstrap(self notch.Replica) notch.Recovered {
	set := notch.ReplicaSet{Voters: []notch.Replica{self}}
	pools := []notch.Pool{{Name: notch.ControlPool, Kind: notch.ReplicaPool, Hosts: []string{self.Name}}}
	return notch.Recovered{
		Hard: notch.HardState{Term: 1},
		Entries: []notch.LogEntry{
			{Index: 1, Term: 1, Command: notch.ChangeReplicas{Set: set}},
			{Index: 2, Term: 1, Command: notch.EditTable{ID: "bootstrap", Table: notch.PoolsTable, Pools: pools, By: "bootstrap"}},
		},
	}
}

// Step implements [notch.Part].
func (p Part) Step(e notch.Event) (notch.Part, []notch.Effect) {
	if p.failed || !p.handles(e.Body) {
		return nil, nil
	}
	s := stepper{Part: p, now: e.At, seed: e.Seed}
	s.step(e.Body)
	return s.Part, s.effects
}

// handles reports whether an event may change p or have effects.
func (p Part) handles(b notch.Body) bool {
	switch b := b.(type) {
	case notch.Flush:
		return p.unflushed
	case notch.Committed:
		// Several entries are mostly committed at once, and only the last of them has an effect.
		return b.Entry.Index == p.commitIndex
	case notch.MessageReceived:
		switch b.Message.(type) {
		case notch.VoteRequest, notch.VoteReply, notch.AppendRequest, notch.AppendReply, notch.InstallSnapshot, notch.TimeoutNow,
			notch.LeaderQuery, notch.LeaderHint:
			return true
		}
	case notch.Tick, notch.Recovered, notch.Proposal, notch.Persisted, notch.PersistFailed, notch.JournalFailing, notch.JournalRecovered,
		notch.SnapshotTaken, notch.SnapshotSaved, notch.TablesCommitted, notch.ReplicaLinked, notch.PeerDown, notch.ShutdownStarted:
		return true
	}
	return false
}

// stepper is a Part during a step. It collects the effects of the step.
type stepper struct {
	Part
	now     notch.Time
	seed    uint64
	effects []notch.Effect
	batch   sharedBatch // the entries sent last
}

func (s *stepper) emit(b notch.Body) { s.effects = append(s.effects, notch.Emit{Body: b}) }
func (s *stepper) send(to string, m notch.Message) {
	s.effects = append(s.effects, notch.Send{To: to, Message: m})
}

func (s *stepper) logMessage(text string, fields ...notch.LogField) {
	common := []notch.LogField{
		{Name: "replica", Value: s.self.Name},
		{Name: "term", Value: strconv.FormatUint(s.hardState.Term, 10)},
	}
	s.effects = append(s.effects, notch.LogMessage{Text: text, Fields: append(common, fields...)})
}

func (s *stepper) step(b notch.Body) {
	switch b := b.(type) {
	case notch.Tick:
		s.tick()
	case notch.Flush:
		s.flush()
	case notch.Recovered:
		s.onRecovered(b)
	case notch.Proposal:
		s.propose(b)
	case notch.Persisted:
		s.onPersisted(b)
	case notch.PersistFailed:
		s.stepDown("")
		s.failed = true
		s.logMessage("journal failed; this replica takes no further part: " + b.Reason)
	case notch.JournalFailing:
		s.onJournalFailing(b)
	case notch.JournalRecovered:
		s.onJournalRecovered()
	case notch.SnapshotTaken:
		s.saveSnapshot(b.Snapshot)
	case notch.SnapshotSaved:
		s.persistedIndex = max(s.persistedIndex, b.Index)
		s.log = s.log.withoutPrefix(s.keepFrom(b.Index))
	case notch.Committed:
		s.reducedIndex = b.Entry.Index
		s.reconcileMembership()
	case notch.TablesCommitted:
		s.onTablesCommitted(b.Tables)
	case notch.ReplicaLinked:
		s.onReplicaLinked(b.Replica)
	case notch.PeerDown:
		s.linkedReplicas = slices.DeleteFunc(slices.Clone(s.linkedReplicas), func(r notch.Replica) bool { return s.targetVoters > 0 && r.Name == b.Name })
	case notch.ShutdownStarted:
		s.stopping = true
		s.transferLeadership()
	case notch.MessageReceived:
		s.receive(b.From, b.Message)
	}
}

func (s *stepper) receive(from string, m notch.Message) {
	if s.journalFailing() && s.onMessageWhileFailing(m) {
		return
	}
	switch m := m.(type) {
	case notch.VoteRequest:
		s.onVoteRequest(m)
	case notch.VoteReply:
		s.onVoteReply(m)
	case notch.AppendRequest:
		s.onAppendRequest(m)
	case notch.AppendReply:
		s.onAppendReply(m)
	case notch.InstallSnapshot:
		s.onInstallSnapshot(m)
	case notch.TimeoutNow:
		if m.Term == s.hardState.Term && s.isVoter() && !s.stopping {
			s.transferTarget = true
			s.campaign(roleCandidate)
		}
	case notch.LeaderQuery:
		s.send(from, s.leaderHint(m))
	case notch.LeaderHint:
		s.observeTerm(m.Term)
	}
}

func (s *stepper) tick() {
	s.excludeStall()
	if s.role == roleLeader {
		s.leaderTick()
		return
	}
	if s.electionDue == 0 {
		s.resetElection()
	}
	if s.now.Before(s.electionDue) || !s.isVoter() || s.stopping || s.journalFailing() || s.awaitsOwnVote() {
		return
	}
	s.campaign(rolePreCandidate)
}

// excludeStall postpones the timeouts by the time for which this replica didn't run. It sent
// nothing in that time, and may not have received yet what the others sent. No timeout ends later
// than one that begins now could.
func (s *stepper) excludeStall() {
	stall := s.now.Sub(s.lastTickAt) - s.timing.HeartbeatInterval
	firstTick := s.lastTickAt == 0
	s.lastTickAt = s.now
	if firstTick || stall <= 0 {
		return
	}
	s.electionDue = min(s.electionDue.Add(stall), s.now.Add(2*s.timing.ElectionTimeout))
	s.quorumDue = min(s.quorumDue.Add(stall), s.now.Add(s.timing.ElectionTimeout))
}

// resetElection restarts the randomized election timeout.
func (s *stepper) resetElection() {
	span := uint64(s.timing.ElectionTimeout)
	jitter := notch.HashSeed(s.seed^s.self.Storage) % span
	s.electionDue = s.now.Add(s.timing.ElectionTimeout + time.Duration(jitter))
}

// onRecovered restores the state that the journal held.
func (s *stepper) onRecovered(r notch.Recovered) {
	s.recoveredAt = s.now
	s.hardState = r.Hard
	if r.Snapshot != nil {
		s.restoreSnapshot(*r.Snapshot)
	}
	for _, e := range r.Entries {
		s.appendEntry(e)
	}
	s.persistedIndex = s.log.lastIndex() - uint64(r.Unsynced)
	s.emitReplicas()
	s.resetElection()
	// A single voter is a quorum by itself and needn't wait for the election timeout.
	if s.isVoter() && len(s.replicaSet().Voters) == 1 {
		s.campaign(rolePreCandidate)
	}
}

// persist passes the hard state and entries to the journal, which sends the messages once they are
// synced.
func (s *stepper) persist(entries []notch.LogEntry, then ...notch.Send) {
	s.lastWrite++
	s.effects = append(s.effects, notch.Persist{Hard: s.hardState, Entries: entries, Then: then, Write: s.lastWrite})
}

// onPersisted counts the entries of a write as synced, unless the log has lost some of them since: even
// if it holds the same entries again, a later write first removes them from the disk.
func (s *stepper) onPersisted(b notch.Persisted) {
	if b.Write < s.validWrite || s.log.term(b.Index) != b.Term {
		return
	}
	s.persistedIndex = max(s.persistedIndex, b.Index)
	if s.role == roleLeader {
		s.advanceCommit()
	}
}

// apply passes newly committed entries to the other parts, and requests a snapshot if
// one is due.
func (s *stepper) apply() {
	for s.appliedIndex < s.commitIndex {
		s.appliedIndex++
		s.emit(notch.Committed{Entry: s.log.entryAt(s.appliedIndex)})
	}
	if s.snapshotIndex()+uint64(s.limits.SnapshotEntries) <= s.appliedIndex {
		s.emitSnapshotDue()
	}
}

func (s *stepper) emitReplicas() { s.emit(notch.ReplicasChanged{Set: s.replicaSet()}) }

// IsLeader reports whether the replica believes that it is the leader. Another replica may
// already have been elected in a later term.
func (p Part) IsLeader() bool { return p.role == roleLeader && !p.failed }

// Term returns the latest term that the replica has seen.
func (p Part) Term() uint64 { return p.hardState.Term }

// CommitIndex returns the index of the last entry known to be committed.
func (p Part) CommitIndex() uint64 { return p.commitIndex }

// ReplicaSet returns the replica set in force.
func (p Part) ReplicaSet() notch.ReplicaSet { return p.replicaSet() }
