package notch

import "time"

// Message is a message from one daemon to another. The packages wire and link
// encode and carry messages.
type Message interface{ message() }

// VoteRequest asks for a vote. If Pre is set, it asks whether a vote would be
// granted.
type VoteRequest struct {
	Pre       bool
	Term      uint64
	Candidate Replica
	LastIndex uint64
	LastTerm  uint64
	HandOver  bool // the current leader asked for this election
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Pre     bool
	Term    uint64
	Voter   Replica
	Granted bool
}

// AppendRequest carries log entries that follow the entry (PrevIndex, PrevTerm).
// Without entries it is a heartbeat.
type AppendRequest struct {
	Term      uint64
	Leader    string // name of the replica
	PrevIndex uint64
	PrevTerm  uint64
	Commit    uint64 // index up to which the log is committed
	SentAt    Time   // leader's clock; the reply echoes it
	Entries   []LogEntry
	Contact   bool // a heartbeat that follows an entry which the receiver has confirmed
}

// AppendReply answers AppendRequest and InstallSnapshot. If OK is set, Match is
// the last index up to which the logs agree and are synced; otherwise it is the
// index to try next.
type AppendReply struct {
	Term   uint64
	From   Replica
	OK     bool
	Match  uint64
	SentAt Time
}

// InstallSnapshot replaces the replicated state of the receiver.
type InstallSnapshot struct {
	Term     uint64
	Leader   string
	SentAt   Time
	Snapshot Snapshot
}

// TimeoutNow asks the receiver to start an election at once.
type TimeoutNow struct{ Term uint64 }

// Forward asks the leader to propose a command.
type Forward struct {
	Ticket  uint64
	Command Command
}

// Outcome answers a Forward once the command has been applied.
type Outcome struct {
	Ticket uint64
	Result Result
}

// LeaderHint informs a daemon that isn't a replica which replica leads. It answers
// a LeaderQuery, or a message that only the leader can handle.
type LeaderHint struct {
	Term   uint64
	Leader string // name of the leader; empty: none is known
	SentAt Time   // echoed from LeaderQuery; zero otherwise
	// LatestRevision is the latest revision of the tables that the sender's log may
	// lead to, committed or not. Zero: not known, as the sender isn't a voter, has just
	// started and may not have heard the leader yet, or only passes on the leader's name.
	LatestRevision uint64
	// Voters are the names of the voters in the sender's latest replica set, if LatestRevision is set.
	Voters []string
}

// LeaderQuery asks a replica which replica leads.
type LeaderQuery struct{ SentAt Time }

// Hello is the first message on a link. When the sender learns of other daemons later, another one
// follows that lists only these.
type Hello struct {
	Daemon  Daemon
	Storage uint64   // id of the sender's data folder; zero: it has none
	Cluster uint64   // id of the cluster; zero: the sender belongs to none yet
	Known   []Daemon // other daemons that the sender knows; of a daemon that isn't a replica, only the replicas
}

// LeaveMessage announces that the sender stops and returns its slots. None of its requests is in flight;
// while some are, EntryReport.Leaving takes its place.
type LeaveMessage struct {
	Incarnation uint64 // of the sender; 0: an earlier build, which doesn't tell it
}

// Announcements passes on what backend servers announced. Announcements that are
// new or changed are sent whole, the others by their identity alone.
type Announcements struct {
	Servers []Announcement
	Renewed []ServerID
	TTL     time.Duration // of the announcements in Renewed
	Hops    int           // how many more times the message may be relayed
}

// AnnouncementRequest asks for the whole announcements of backend servers of which the sender
// knows only the identity.
type AnnouncementRequest struct{ Servers []ServerID }

// Announcement is a backend server's announcement and the time for which it stays
// valid.
type Announcement struct {
	Server BackendServer
	TTL    time.Duration
}

// SlotAllocation is a number of slots of one backend server.
type SlotAllocation struct {
	Server ServerID
	Slots  int
}

// Demand is the number of slots of a pool that an entry could use.
type Demand struct {
	Pool  string
	Slots int // requests in flight and queued
}

// EntryReport asks the leader to renew the entry's lease, and reports the slots
// and the demand of the entry.
type EntryReport struct {
	Incarnation uint64
	Domain      string
	Revision    uint64 // revision of the tables in force at the entry
	Term        uint64 // term of the last grant that the entry applied
	Seq         uint64 // sequence number of the last grant applied
	SentAt      Time   // entry's clock; the grant echoes it
	Demand      []Demand
	// Holds are the slots that the entry may still use or has in use. If Full is
	// set, they are all of them; otherwise only those that differ from the slots
	// of grant Seq.
	Holds []SlotAllocation
	Full  bool
	// AcceptsChanges is set if the entry understands EntryGrant.Changes. An earlier build
	// gets whole tables.
	AcceptsChanges bool
	// LatestGrantFor is the SentAt of the latest grant that the entry has got, applied or
	// not. Grants arrive in the order in which they are sent, unless they are lost.
	LatestGrantFor Time
	// Leaving is set if the entry stops and returns its slots except for Holds, which are the
	// slots of its requests in flight. It needs no grant. An earlier build of the leader takes
	// the message for a report and keeps the slots of the entry until its lease has ended.
	Leaving bool
}

// EntryGrant renews an entry's lease and sets the entry's slots.
type EntryGrant struct {
	Incarnation uint64 // echoed from the report; an entry ignores a grant to an earlier incarnation of its name
	Term        uint64
	Seq         uint64 // sequence number of the grant; equal to Base if the slots are unchanged
	Base        uint64 // sequence number of the grant that Slots change; 0: Slots is the whole set
	AskFull     bool   // the leader doesn't know grant Seq of the report and needs a full one; the lease isn't renewed
	SentAt      Time   // echoed from the report
	Lease       time.Duration
	Entries     int      // number of live entries, by which the idle connections are divided
	Voters      []string // names of the control replicas
	Revision    uint64   // current revision of the tables; an entry without them doesn't apply the grant
	Tables      *Tables  // for an entry that doesn't accept changes, if its revision is older
	Slots       []SlotAllocation
	// Changes lead to the current tables from those that the entry has, or from those
	// that are on their way to it. The first one may contain the whole tables.
	Changes []*TablesChange
}

// WorkerRequest forwards a worker's heartbeat to the leader, from the daemon that
// received it.
type WorkerRequest struct {
	Ticket uint64
	Beat   Heartbeat
}

// WorkerReply answers a WorkerRequest.
type WorkerReply struct {
	Ticket uint64
	Reply  HeartbeatReply
}

// Heartbeat is a worker's periodic call. The first heartbeat registers the
// worker.
type Heartbeat struct {
	Worker  Worker
	Usage   Usage
	Reports []TaskReport // repeated until acknowledged
	Running []TaskEpoch  // every attempt that holds resources on the host
}

// HeartbeatReply answers a Heartbeat.
type HeartbeatReply struct {
	Known   bool          // false: no leader is known, and the worker should try again
	Lease   time.Duration // length of the lease, from the sending of the heartbeat
	Orders  []Order
	Settled []Settlement
}

// Settlement acknowledges a report, so that the worker stops repeating it. A
// worker publishes the results of an attempt only if Counted is set: otherwise
// another attempt may have finished the task, and its results count.
type Settlement struct {
	Task    TaskID
	Epoch   uint64
	Counted bool // this attempt finished the task
}

// QueryKind is the subject of a query.
type QueryKind string

// The kinds of query.
const (
	QueryJobs     QueryKind = "jobs"    // all jobs, without their tasks
	QueryJob      QueryKind = "job"     // the named job with its tasks
	QueryWorkers  QueryKind = "workers" // all workers
	QueryEntries  QueryKind = "entries" // all entries and the revision of the tables that each uses
	QueryWorkflow QueryKind = "flow"    // the named workflow
	QueryPending  QueryKind = "pending" // number of workflows of the named route of which no task has started
)

// Query is the content of a query to the leader.
type Query struct {
	Kind QueryKind
	Name string // for QueryJob, QueryWorkflow and QueryPending
}

// QueryRequest forwards a query to the leader.
type QueryRequest struct {
	Ticket   uint64
	Question Query
}

// QueryReply answers a QueryRequest.
type QueryReply struct {
	Ticket uint64
	View   QueryResult
}

// QueryResult is the result of a query. The fields that the query isn't about are empty.
type QueryResult struct {
	Jobs     []JobRecord
	Tasks    []Task
	Waits    string // for QueryJob: why the next task of the job waits
	Workers  []Worker
	Entries  []EntryStatus
	Flow     WorkflowStatus
	Pending  int    // for QueryPending
	Revision uint64 // for QueryEntries: current revision of the tables
	Complete bool   // for QueryEntries: no entry outside the list can hold a lease
}

// WorkflowState is the state of a workflow.
type WorkflowState string

// The states of a workflow.
const (
	WorkflowQueued    WorkflowState = "queued" // no task has started
	WorkflowRunning   WorkflowState = "running"
	WorkflowCompleted WorkflowState = "completed"
	WorkflowFailed    WorkflowState = "failed"
	WorkflowCancelled WorkflowState = "cancelled"
)

// Ended reports whether s is final.
func (s WorkflowState) Ended() bool {
	return s == WorkflowCompleted || s == WorkflowFailed || s == WorkflowCancelled
}

// WorkflowStatus is the result of a query about a workflow. Its state is empty if there
// is no such workflow.
type WorkflowStatus struct {
	ID     string
	State  WorkflowState
	Reason string `cbor:",omitempty"` // why it failed, unless runs of a task did
}

// EntryStatus describes one entry as the leader knows it.
type EntryStatus struct {
	Name     string
	Revision uint64        // of the tables in force at the entry
	Lease    time.Duration // time left of the lease; zero or negative once it has expired
}

func (VoteRequest) message()         {}
func (VoteReply) message()           {}
func (AppendRequest) message()       {}
func (AppendReply) message()         {}
func (InstallSnapshot) message()     {}
func (TimeoutNow) message()          {}
func (Forward) message()             {}
func (Outcome) message()             {}
func (LeaderHint) message()          {}
func (LeaderQuery) message()         {}
func (Hello) message()               {}
func (LeaveMessage) message()        {}
func (Announcements) message()       {}
func (AnnouncementRequest) message() {}
func (EntryReport) message()         {}
func (EntryGrant) message()          {}
func (WorkerRequest) message()       {}
func (WorkerReply) message()         {}
func (QueryRequest) message()        {}
func (QueryReply) message()          {}
