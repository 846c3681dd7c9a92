package notch

import "time"

// Event is something that happened. Besides its state, the reducer depends on
// nothing but the event.
type Event struct {
	At        Time
	UnixMilli int64  // Unix time in ms; may jump, so only the due times of workflows use it
	Seed      uint64 // random seed for the decisions of this event
	Body      Body
}

// Body is the kind and the content of an event.
//
// In events, effects and messages, Ticket is the correlation id of a call that waits
// for its result, Origin is the name of the daemon at which the call waits, and
// Deadline is the instant after which the caller no longer waits.
type Body interface{ body() }

// Tick reports that time has passed.
type Tick struct{}

// Flush ends a batch of events. Parts that collect work during a batch, such as
// log entries for one sync, emit it now.
type Flush struct{}

// MessageReceived reports that a message arrived from another daemon.
type MessageReceived struct {
	From    string
	Message Message
}

// PeerDown reports that the link to a daemon is lost.
type PeerDown struct{ Name string }

// PeerUp reports that the link to a daemon is established. Hello is the message by
// which that daemon opened the link.
type PeerUp struct{ Hello Hello }

// Recovered holds what the journal contained at the start of the process.
type Recovered struct {
	Hard     HardState
	Snapshot *Snapshot
	Entries  []LogEntry
	Unsynced int // number of the last entries that may not be synced before the next write is
}

// Persisted reports that the write with the given number is synced, and all before it. The last of its
// entries is the one at Index, which has the given Term.
type Persisted struct {
	Write uint64
	Term  uint64
	Index uint64
}

// PersistFailed reports that the journal is damaged. Nothing more can be synced.
type PersistFailed struct{ Reason string }

// JournalFailing reports that a write to the journal failed. The write is repeated until
// it succeeds, and nothing is synced before that.
type JournalFailing struct {
	Reason    string
	Waiting   int  // records that the journal was given and hasn't synced
	Exhausted bool // the process had no descriptor left; nothing is known to be wrong with the journal
}

// JournalRecovered reports that the write succeeded for which the journal was failing.
type JournalRecovered struct{}

// SnapshotSaved reports that the snapshot at Index is synced.
type SnapshotSaved struct{ Index uint64 }

// ShutdownStarted reports that the process was asked for a graceful stop and ends soon.
type ShutdownStarted struct{}

// CommandSubmitted reports that a front end of this daemon submitted a command.
type CommandSubmitted struct {
	Ticket   uint64
	Command  Command
	Deadline Time
}

// HeartbeatSubmitted reports that a worker's heartbeat arrived at this daemon.
type HeartbeatSubmitted struct {
	Ticket   uint64
	Beat     Heartbeat
	Deadline Time
}

// QuerySubmitted reports that a query for the leader arrived at this daemon.
type QuerySubmitted struct {
	Ticket   uint64
	Question Query
	Deadline Time
}

// ServerAnnounced reports that a backend server announced itself to this daemon.
type ServerAnnounced struct{ Server BackendServer }

// HeartbeatReceived reports that a worker's heartbeat arrived at the leader through the daemon
// Origin.
type HeartbeatReceived struct {
	Origin string
	Ticket uint64
	Beat   Heartbeat
}

// HeartbeatAnswered is the leader's reply to a HeartbeatReceived.
type HeartbeatAnswered struct {
	Origin string
	Ticket uint64
	Reply  HeartbeatReply
}

// QueryReceived reports that a query arrived at the leader through the daemon
// Origin.
type QueryReceived struct {
	Origin   string
	Ticket   uint64
	Question Query
}

// QueryAnswered is the leader's answer to a QueryReceived.
type QueryAnswered struct {
	Origin string
	Ticket uint64
	View   QueryResult
}

// Proposal asks consensus to append a command to the log. It is ignored unless
// this replica leads.
type Proposal struct {
	Origin  string
	Ticket  uint64
	Command Command
}

// Committed reports that a log entry is committed. Every part applies it.
type Committed struct{ Entry LogEntry }

// Restored replaces the replicated state of every part.
type Restored struct{ Snapshot Snapshot }

// SnapshotDue asks for a snapshot of all parts as of Index. [Step] answers it
// with SnapshotTaken.
type SnapshotDue struct {
	Index    uint64
	Term     uint64
	Replicas ReplicaSet
}

// SnapshotTaken holds the replicated state of every part.
type SnapshotTaken struct{ Snapshot Snapshot }

// Applied is the result of a committed command.
type Applied struct {
	Origin string
	Ticket uint64
	Result Result
}

// LeaderChanged reports which replica leads, as far as this daemon knows.
type LeaderChanged struct {
	Leader string // name of the replica; empty: unknown
	Term   uint64
}

// Leadership reports whether this replica leads. It is emitted again whenever
// Contact grows.
type Leadership struct {
	Leading bool
	Term    uint64
	Ready   Time // when the leader's first entry of the term was committed; zero before that
	Contact Time // a quorum has answered messages that were sent at this instant or later
}

// AgentAnnounced reports that an agent announced its state to this daemon. It is answered
// with AnswerAgent.
type AgentAnnounced struct {
	Ticket   uint64
	Agent    Agent
	Deadline Time
}

// AgentAnswered is the outcome of a CallAgent.
type AgentAnswered struct {
	Life       AgentIncarnation
	Order      AgentOrder
	SentAt     Time
	ReceivedAt Time // when the answer arrived, before it waited for the control loop; zero: not known
	Answer     AgentAnswer
}

// HostsListed is the outcome of a ListHosts. A host that exists and is down is listed as well.
type HostsListed struct {
	AskedAt    Time // before the first call
	ReceivedAt Time
	Hosts      []string // names of all hosts, in no order
	Failure    string   // why there is no list; empty: there is one
}

// TablesCommitted reports that the replicated log has set a revision of the tables.
// It occurs on replicas only.
type TablesCommitted struct{ Tables Tables }

// TablesInForce reports that a revision of the tables is in force at this daemon. It
// is the latest one, from the log or from the leader.
type TablesInForce struct{ Tables Tables }

// TablesReceived reports that the leader sent a revision of the tables.
type TablesReceived struct{ Tables Tables }

// TablesChanged reports that the leader sent changes of the tables.
type TablesChanged struct{ Changes []*TablesChange }

// ReplicasChanged reports that the replica set has changed.
type ReplicasChanged struct{ Set ReplicaSet }

// ReplicaLinked reports that a daemon with a data folder is connected.
type ReplicaLinked struct{ Replica Replica }

// ServersChanged lists every backend server whose announcement hasn't expired.
type ServersChanged struct{ Servers []BackendServer }

// SlotsGranted sets the slots that the lanes may use, and until when.
type SlotsGranted struct {
	Seq     uint64 // grows with every SlotsGranted
	Until   Time   // end of the lease
	Entries int    // number of live entries, by which the idle connections are divided
	Slots   []SlotAllocation
}

// LeaseExtended reports that the granted slots stay valid for longer.
type LeaseExtended struct{ Until Time }

// LaneLoad reports to the control loop which slots the pools of a lane use and
// how many they could use.
type LaneLoad struct {
	Lane   int
	Seq    uint64 // of the latest SlotsGranted that the lane has applied
	Demand []Demand
	InUse  []SlotAllocation
}

// RequestArrived reports that a caller's request arrived and matches a route.
type RequestArrived struct {
	Request Request
}

// Request describes a caller's request to the traffic decisions.
type Request struct {
	ID         uint64 // unique in this process
	Route      Route
	Kind       string // requests of one kind have similar latencies
	Idempotent bool
	Replayable bool // the whole body is in memory, so that the request can be sent again
	Deadline   Time
}

// AttemptOutcome is the outcome of one send of a request to a backend server.
type AttemptOutcome uint8

// The outcomes of a send.
const (
	AttemptOK        AttemptOutcome = iota // the answer is complete
	AttemptNotSent                         // provably nothing was sent to the backend server
	AttemptRefused                         // the backend server answered that it did not run the request
	AttemptFailed                          // failed before any part of the answer was passed on
	AttemptTruncated                       // failed after a part of the answer was passed on
	AttemptCancelled                       // the caller abandoned the request
)

// AttemptEnded reports that a dispatched attempt has ended.
type AttemptEnded struct {
	Request uint64
	Attempt int
	Server  ServerID
	Outcome AttemptOutcome
	Latency time.Duration
}

// HedgeDue reports that the first send of a request has gone without an answer for
// the time after which a hedge is sent.
type HedgeDue struct{ Request uint64 }

// CallerGone reports that the caller of a waiting request abandoned it.
type CallerGone struct{ Request uint64 }

func (Tick) body()               {}
func (Flush) body()              {}
func (MessageReceived) body()    {}
func (PeerDown) body()           {}
func (PeerUp) body()             {}
func (Recovered) body()          {}
func (Persisted) body()          {}
func (PersistFailed) body()      {}
func (JournalFailing) body()     {}
func (JournalRecovered) body()   {}
func (SnapshotSaved) body()      {}
func (ShutdownStarted) body()    {}
func (CommandSubmitted) body()   {}
func (HeartbeatSubmitted) body() {}
func (QuerySubmitted) body()     {}
func (ServerAnnounced) body()    {}
func (HeartbeatReceived) body()  {}
func (HeartbeatAnswered) body()  {}
func (QueryReceived) body()      {}
func (QueryAnswered) body()      {}
func (Proposal) body()           {}
func (Committed) body()          {}
func (Restored) body()           {}
func (SnapshotDue) body()        {}
func (SnapshotTaken) body()      {}
func (Applied) body()            {}
func (LeaderChanged) body()      {}
func (Leadership) body()         {}
func (AgentAnnounced) body()     {}
func (AgentAnswered) body()      {}
func (HostsListed) body()        {}
func (TablesCommitted) body()    {}
func (TablesInForce) body()      {}
func (TablesReceived) body()     {}
func (TablesChanged) body()      {}
func (ReplicasChanged) body()    {}
func (ReplicaLinked) body()      {}
func (ServersChanged) body()     {}
func (SlotsGranted) body()       {}
func (LeaseExtended) body()      {}
func (LaneLoad) body()           {}
func (RequestArrived) body()     {}
func (AttemptEnded) body()       {}
func (HedgeDue) body()           {}
func (CallerGone) body()         {}
