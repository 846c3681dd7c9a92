package notch

import "time"

// Message is what one daemon sends to another. The encoding belongs to the
// packages wire and link.
type Message interface{ message() }

// VoteRequest asks for a vote, or with Pre whether one would be given.
type VoteRequest struct {
	Pre       bool
	Term      uint64
	Candidate Replica
	LastIndex uint64
	LastTerm  uint64
	HandOver  bool // the leader itself asked for this election
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Pre     bool
	Term    uint64
	Voter   Replica
	Granted bool
}

// AppendRequest carries entries after (PrevIndex, PrevTerm); without entries
// it is a heartbeat.
type AppendRequest struct {
	Term      uint64
	Leader    string
	PrevIndex uint64
	PrevTerm  uint64
	Commit    uint64
	SentAt    Time // leader's clock, echoed by the reply
	Entries   []Entry
}

// AppendReply answers AppendRequest and InstallSnapshot. Match is the last
// index known to agree and be synced; if OK is false it is where to try next.
type AppendReply struct {
	Term   uint64
	From   Replica
	OK     bool
	Match  uint64
	SentAt Time
}

// InstallSnapshot replaces the receiver's state.
type InstallSnapshot struct {
	Term     uint64
	Leader   string
	SentAt   Time
	Snapshot Snapshot
}

// TimeoutNow asks the receiver to campaign at once.
type TimeoutNow struct{ Term uint64 }

// Forward asks the leader to propose a command.
type Forward struct {
	Ticket  uint64
	Command Command
}

// Outcome answers a Forward once the command is applied.
type Outcome struct {
	Ticket uint64
	Result Result
}

// LeaderHint tells a daemon that isn't a replica who leads. It is sent in
// answer to a message that only the leader can serve.
type LeaderHint struct {
	Term   uint64
	Leader string // empty: none is known
	SentAt Time   // echoed from LeaderQuery, zero otherwise
}

// LeaderQuery asks a replica who leads.
type LeaderQuery struct{ SentAt Time }

// Hello opens a link and is repeated when the sender's view changes.
type Hello struct {
	Daemon  Daemon
	Storage uint64 // zero without a data folder
	Cluster uint64 // zero if the sender belongs to no cluster yet
	Known   []Daemon
}

// Goodbye says that the sender stops and gives back what it holds.
type Goodbye struct{}

// Announcements spreads what backend servers said: those that are new or changed
// in full, the others by their identity alone.
type Announcements struct {
	Servers []Announcement
	Renewed []ServerID
	TTL     time.Duration // of what is renewed
	Hops    int           // relays that the message may still pass
}

// Resend asks for announcements of which only the identity was told.
type Resend struct{ Servers []ServerID }

// Announcement is a backend server's word and how long it still holds.
type Announcement struct {
	Server BackendServer
	TTL    time.Duration
}

// Hold is a number of slots of one backend server.
type Hold struct {
	Server ServerID
	Slots  int
}

// Demand is what one entry could use of a pool.
type Demand struct {
	Pool  string
	Slots int // in flight and queued
}

// EntryReport asks the leader to renew the entry's lease.
type EntryReport struct {
	Incarnation uint64
	Domain      string
	Revision    uint64 // of the tables in force at the entry
	Term        uint64 // leader's term that the entry last obeyed
	Seq         uint64 // of the last grant applied
	SentAt      Time   // entry's clock, echoed by the grant
	Demand      []Demand
	// Holds are the slots that the entry may still use or has in use: all of them
	// if Full is set, else those that differ from the slots of grant Seq.
	Holds []Hold
	Full  bool
}

// EntryGrant renews an entry's lease and sets its slots.
type EntryGrant struct {
	Incarnation uint64 // echoed: a grant to an earlier process of the same name isn't obeyed
	Term        uint64
	Seq         uint64 // equal to Base if the slots stay as they are
	Base        uint64 // the grant that Slots change; 0: Slots are all there are
	AskFull     bool   // the leader doesn't know grant Seq of the report; no lease is given
	SentAt      Time   // echoed
	Lease       time.Duration
	Entries     int      // live entries, to divide idle connections by
	Voters      []string // names of the control replicas
	Revision    uint64   // current revision
	Tables      *Tables  // set if the entry's revision is older
	Slots       []Hold
}

// WorkerRequest carries a worker's call from the daemon that took it to the leader.
type WorkerRequest struct {
	Ticket uint64
	Beat   Heartbeat
}

// WorkerReply answers a WorkerRequest.
type WorkerReply struct {
	Ticket uint64
	Reply  HeartbeatReply
}

// Heartbeat is a worker's periodic call. Registration is the first one.
type Heartbeat struct {
	Worker  Worker
	Usage   Usage
	Reports []TaskReport // repeated until acknowledged
	Running []TaskEpoch  // every attempt that holds resources on the host
}

// HeartbeatReply answers a Heartbeat.
type HeartbeatReply struct {
	Known   bool          // false: the leader isn't known, the worker should try again
	Lease   time.Duration // from the sending of the heartbeat
	Orders  []Order
	Settled []Settlement
}

// Settlement says that a report needs no repetition. A worker publishes the
// results of an attempt only if its end was counted; another attempt's may be.
type Settlement struct {
	Task    TaskID
	Epoch   uint64
	Counted bool // this attempt finished the task
}

// QuestionKind says what a question is about.
type QuestionKind string

// The kinds of question.
const (
	AskJobs    QuestionKind = "jobs"    // all jobs, without their tasks
	AskJob     QuestionKind = "job"     // the named job with its tasks
	AskWorkers QuestionKind = "workers" // all workers
	AskEntries QuestionKind = "entries" // all entries and the revision each obeys
	AskFlow    QuestionKind = "flow"    // the named job made of stages
	AskPending QuestionKind = "pending" // jobs of the named route of which no task has started
)

// Question is something that the leader is asked.
type Question struct {
	Kind QuestionKind
	Name string // for AskJob, AskFlow and AskPending
}

// Query passes a question to the leader.
type Query struct {
	Ticket   uint64
	Question Question
}

// QueryAnswer answers a Query.
type QueryAnswer struct {
	Ticket uint64
	View   View
}

// View is the answer to a question; the fields that it isn't about are empty.
type View struct {
	Jobs     []JobRecord
	Tasks    []Task
	Waits    string // why the next task of the job waits
	Workers  []Worker
	Entries  []EntryStatus
	Flow     FlowView
	Pending  int    // for AskPending
	Revision uint64 // of the tables, for AskEntries
	Complete bool   // for AskEntries: no entry that isn't listed can hold a lease
}

// FlowState is the state of a job made of stages.
type FlowState string

// The states of a job made of stages.
const (
	FlowQueued    FlowState = "queued" // no task has started
	FlowRunning   FlowState = "running"
	FlowCompleted FlowState = "completed"
	FlowFailed    FlowState = "failed"
	FlowCancelled FlowState = "cancelled"
)

// Ended reports whether s is final.
func (s FlowState) Ended() bool {
	return s == FlowCompleted || s == FlowFailed || s == FlowCancelled
}

// FlowView is what is known of a job made of stages; its state is empty if there is
// no such job.
type FlowView struct {
	ID    string
	State FlowState
}

// EntryStatus is what the leader knows of one entry.
type EntryStatus struct {
	Name     string
	Revision uint64
	Lease    time.Duration // left; not positive once it has run out
}

func (VoteRequest) message()     {}
func (VoteReply) message()       {}
func (AppendRequest) message()   {}
func (AppendReply) message()     {}
func (InstallSnapshot) message() {}
func (TimeoutNow) message()      {}
func (Forward) message()         {}
func (Outcome) message()         {}
func (LeaderHint) message()      {}
func (LeaderQuery) message()     {}
func (Hello) message()           {}
func (Goodbye) message()         {}
func (Announcements) message()   {}
func (Resend) message()          {}
func (EntryReport) message()     {}
func (EntryGrant) message()      {}
func (WorkerRequest) message()   {}
func (WorkerReply) message()     {}
func (Query) message()           {}
func (QueryAnswer) message()     {}
