package notch

import "time"

// Event is something that happened. Everything the reducer may depend on
// besides its state is in it.
type Event struct {
	At   Time
	Wall int64  // Unix time in ms, which may jump; only due times rest on it
	Seed uint64 // the event's share of randomness
	Body Body
}

// Body is the kind and the content of an event.
type Body interface{ body() }

// Tick says that time has passed.
type Tick struct{}

// Flush ends a batch of events. Parts that gather work for a batch, such as
// log entries for one sync, send it off now.
type Flush struct{}

// MessageReceived is a message from another daemon.
type MessageReceived struct {
	From    string
	Message Message
}

// PeerDown says that the link to a daemon broke.
type PeerDown struct{ Name string }

// PeerUp says that the link to a daemon stands, and what it said of itself.
type PeerUp struct{ Hello Hello }

// Recovered is what the journal held at the start.
type Recovered struct {
	Hard     HardState
	Snapshot *Snapshot
	Entries  []Entry
}

// Persisted says that the log is synced up to Index in Term.
type Persisted struct {
	Term  uint64
	Index uint64
}

// PersistFailed says that the journal refused; nothing more can be synced.
type PersistFailed struct{ Reason string }

// SnapshotSaved says that the snapshot at Index is synced.
type SnapshotSaved struct{ Index uint64 }

// ShutdownStarted says that the process was asked to stop gracefully.
type ShutdownStarted struct{}

// Submitted is a command from a front end of this daemon.
type Submitted struct {
	Ticket   uint64
	Command  Command
	Deadline Time
}

// WorkerCalled is a heartbeat that reached this daemon.
type WorkerCalled struct {
	Ticket   uint64
	Beat     Heartbeat
	Deadline Time
}

// Asked is a question for the leader that reached this daemon.
type Asked struct {
	Ticket   uint64
	Question Question
	Deadline Time
}

// Announced is a backend server's call that reached this daemon.
type Announced struct{ Server BackendServer }

// Beat is a heartbeat that reached the leader, through Origin.
type Beat struct {
	Origin string
	Ticket uint64
	Beat   Heartbeat
}

// BeatAnswered is the leader's answer to a Beat.
type BeatAnswered struct {
	Origin string
	Ticket uint64
	Reply  HeartbeatReply
}

// QuestionArrived is a question that reached the leader, through Origin.
type QuestionArrived struct {
	Origin   string
	Ticket   uint64
	Question Question
}

// QuestionAnswered is the leader's answer to QuestionArrived.
type QuestionAnswered struct {
	Origin string
	Ticket uint64
	View   View
}

// Proposal asks consensus to append a command. It is ignored unless leading.
type Proposal struct {
	Origin  string
	Ticket  uint64
	Command Command
}

// Committed is an entry that every part now applies.
type Committed struct{ Entry Entry }

// Restored replaces the replicated state of every part.
type Restored struct{ Snapshot Snapshot }

// SnapshotDue asks for the images of all parts as of Index. [Step] answers it
// with SnapshotTaken.
type SnapshotDue struct {
	Index    uint64
	Term     uint64
	Replicas ReplicaSet
}

// SnapshotTaken is the replicated state of every part.
type SnapshotTaken struct{ Snapshot Snapshot }

// Applied is the result of a committed command.
type Applied struct {
	Origin string
	Ticket uint64
	Result Result
}

// LeaderChanged says who leads, as far as this daemon knows.
type LeaderChanged struct {
	Leader string // empty: unknown
	Term   uint64
}

// Leadership says whether this replica leads. It is repeated as Contact grows.
type Leadership struct {
	Leading bool
	Term    uint64
	Ready   Time // when the leader's first entry of the term was committed; zero before
	Contact Time // a quorum answered a message sent at this instant
}

// AgentSaid is an agent's word about itself that reached this daemon. It is
// answered with AnswerAgent.
type AgentSaid struct {
	Ticket   uint64
	Agent    Agent
	Deadline Time
}

// AgentAnswered is the answer to a CallAgent.
type AgentAnswered struct {
	Life   Life
	Order  AgentOrder
	SentAt Time
	Answer AgentAnswer
}

// TablesCommitted is a revision as the replicated log gives it, on a replica.
type TablesCommitted struct{ Tables Tables }

// TablesApplied says that a revision of the tables is in force here: the latest
// that the log gave or the leader told.
type TablesApplied struct{ Tables Tables }

// TablesLearned is a revision that the leader told.
type TablesLearned struct{ Tables Tables }

// ReplicasChanged says who the voters are.
type ReplicasChanged struct{ Set ReplicaSet }

// ReplicaSeen says that a daemon with a data folder is linked.
type ReplicaSeen struct{ Replica Replica }

// ServersChanged lists every backend server that is currently announced.
type ServersChanged struct{ Servers []BackendServer }

// SlotsGranted tells the lanes what this entry may use and until when.
type SlotsGranted struct {
	Seq     uint64
	Until   Time
	Entries int
	Slots   []Hold
}

// LeaseExtended tells the lanes that what they were granted holds for longer.
type LeaseExtended struct{ Until Time }

// LaneLoad tells the control loop what the pools of a lane use and want.
type LaneLoad struct {
	Lane   int
	Seq    uint64 // of the last SlotsGranted that the lane obeys
	Demand []Demand
	InUse  []Hold
}

// RequestArrived is a caller's request that was matched to a route.
type RequestArrived struct {
	Request Request
}

// Request is what the traffic decisions know of a caller's request.
type Request struct {
	ID         uint64 // unique in this process
	Route      Route
	Kind       string // requests of a kind take about as long
	Idempotent bool
	Replayable bool // the body is held, so that it can be sent again
	Deadline   Time
}

// AttemptOutcome says how one send of a request ended.
type AttemptOutcome uint8

// The outcomes of a send.
const (
	AttemptOK       AttemptOutcome = iota // a whole answer
	AttemptNotSent                        // provably nothing reached the backend server
	AttemptRefused                        // the backend server said that it did not run the request
	AttemptFailed                         // failed before any part of the answer was passed on
	AttemptCut                            // failed after a part of the answer was passed on
	AttemptCanceled                       // the caller went away
)

// AttemptEnded says how a dispatched attempt ended.
type AttemptEnded struct {
	Request uint64
	Attempt int
	Server  ServerID
	Outcome AttemptOutcome
	Latency time.Duration
}

// HedgeDue says that a request has waited long for the answer to its first send.
type HedgeDue struct{ Request uint64 }

// CallerGone says that the caller of a waiting request went away.
type CallerGone struct{ Request uint64 }

func (Tick) body()             {}
func (Flush) body()            {}
func (MessageReceived) body()  {}
func (PeerDown) body()         {}
func (PeerUp) body()           {}
func (Recovered) body()        {}
func (Persisted) body()        {}
func (PersistFailed) body()    {}
func (SnapshotSaved) body()    {}
func (ShutdownStarted) body()  {}
func (Submitted) body()        {}
func (WorkerCalled) body()     {}
func (Asked) body()            {}
func (Announced) body()        {}
func (Beat) body()             {}
func (BeatAnswered) body()     {}
func (QuestionArrived) body()  {}
func (QuestionAnswered) body() {}
func (Proposal) body()         {}
func (Committed) body()        {}
func (Restored) body()         {}
func (SnapshotDue) body()      {}
func (SnapshotTaken) body()    {}
func (Applied) body()          {}
func (LeaderChanged) body()    {}
func (Leadership) body()       {}
func (AgentSaid) body()        {}
func (AgentAnswered) body()    {}
func (TablesCommitted) body()  {}
func (TablesApplied) body()    {}
func (TablesLearned) body()    {}
func (ReplicasChanged) body()  {}
func (ReplicaSeen) body()      {}
func (ServersChanged) body()   {}
func (SlotsGranted) body()     {}
func (LeaseExtended) body()    {}
func (LaneLoad) body()         {}
func (RequestArrived) body()   {}
func (AttemptEnded) body()     {}
func (HedgeDue) body()         {}
func (CallerGone) body()       {}
