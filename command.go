package notch

import "time"

// Command is a change of the replicated state. Every command is idempotent:
// applied twice, the second has no effect and gives the first one's result.
type Command interface{ command() }

// Noop changes nothing. A new leader commits one to learn what is committed.
type Noop struct{}

// Barrier changes nothing and returns the tables as of its commit.
type Barrier struct{}

// EditTable replaces the content of one table.
type EditTable struct {
	ID     string // unique to the operator's intent; resends carry the same
	Table  TableName
	Base   uint64 // version that the edit is based on
	Routes []Route
	Pools  []Pool
	By     string
}

// Replica identifies one life of a data folder.
type Replica struct {
	Name    string
	Storage uint64 // drawn when the data folder was created
}

// ChangeReplicas replaces the replica set. It differs from the previous one by
// a single voter, so that any two quorums of neighbouring sets intersect.
type ChangeReplicas struct{ Set ReplicaSet }

// ReplicaSet lists who votes and who only receives the log.
type ReplicaSet struct {
	Voters   []Replica
	Learners []Replica
}

// ClaimRequest claims a non-idempotent request before it is sent.
type ClaimRequest struct {
	ID    string // route name, a slash and the caller's request id
	Entry string // daemon that claims
	Token uint64 // of this claim, so that a resent claim is recognised
}

// ReleaseClaim gives up a claim whose request provably did not run.
type ReleaseClaim struct {
	ID    string
	Token uint64
}

// SubmitJob adds a job and its tasks.
type SubmitJob struct{ Job Job }

// CancelJobs cancels every task of the jobs that hasn't ended.
type CancelJobs struct{ Jobs []string }

// RegisterWorker adds a worker or replaces its registration. Tasks of an
// earlier incarnation keep their reservations until they are released.
type RegisterWorker struct{ Worker Worker }

// Placement assigns a task to one incarnation of a worker.
type Placement struct {
	Task        TaskID
	Epoch       uint64 // epoch that the task had when the placement was planned
	Worker      string
	Incarnation uint64
}

// PlaceTasks commits placements. One that no longer fits is skipped.
type PlaceTasks struct{ Placements []Placement }

// ReportTasks records what a worker said about attempts.
type ReportTasks struct {
	Worker      string
	Incarnation uint64
	Reports     []TaskReport
}

// ReleaseWorker frees the tasks of a worker incarnation whose lease has
// certainly run out.
type ReleaseWorker struct {
	Worker      string
	Incarnation uint64
}

// StopTasks asks for the stop of running attempts, to be queued again.
type StopTasks struct{ Tasks []TaskEpoch }

// TaskEpoch names one attempt.
type TaskEpoch struct {
	Task  TaskID
	Epoch uint64
}

// QuarantineWorker takes a worker out of placement, or back.
type QuarantineWorker struct {
	Worker string
	On     bool
}

// ReplaceTables sets both tables from one document whose own version decides: a
// version that isn't above the one in force changes nothing.
type ReplaceTables struct {
	Version  uint64
	Routes   []Route
	Pools    []Pool // the pool ControlPool is kept as it is
	Limits   CallerLimits
	Document string // what the operator sent, to be given back unread
}

// SubmitFlow adds a job made of stages.
type SubmitFlow struct{ Flow Flow }

// CancelFlow cancels a job made of stages.
type CancelFlow struct{ ID string }

// AdmitAgent adds an agent, or replaces what is known of it. Runs of an earlier
// life end with it.
type AdmitAgent struct{ Agent Agent }

// RunPlacement places the next run of a task.
type RunPlacement struct {
	Task  TaskRef
	After uint64 // number of the task's latest run when this was planned
	Life  Life
}

// PlaceRuns commits placements. One that no longer fits is skipped. Token is that
// of the leader that sends the starts.
type PlaceRuns struct {
	Token      uint64
	Placements []RunPlacement
}

// EndRuns records ends of runs in one life of an agent. Ends up to position UpTo of
// the agent's list may be forgotten there once this is committed.
type EndRuns struct {
	Life Life
	Ends []RunEnd
	UpTo uint64
}

func (Noop) command()             {}
func (Barrier) command()          {}
func (EditTable) command()        {}
func (ChangeReplicas) command()   {}
func (ClaimRequest) command()     {}
func (ReleaseClaim) command()     {}
func (SubmitJob) command()        {}
func (CancelJobs) command()       {}
func (RegisterWorker) command()   {}
func (PlaceTasks) command()       {}
func (ReportTasks) command()      {}
func (ReleaseWorker) command()    {}
func (StopTasks) command()        {}
func (QuarantineWorker) command() {}
func (ReplaceTables) command()    {}
func (SubmitFlow) command()       {}
func (CancelFlow) command()       {}
func (AdmitAgent) command()       {}
func (PlaceRuns) command()        {}
func (EndRuns) command()          {}

// Entry is one position of the replicated log.
type Entry struct {
	Index   uint64
	Term    uint64
	At      Time   // proposing leader's clock
	Origin  string // daemon that waits for the result; empty for none
	Ticket  uint64 // of the waiting request at Origin
	Command Command
}

// Result is the outcome of an applied command.
type Result interface{ result() }

// Done is the result of a command that has nothing to say.
type Done struct{}

// EditOutcome says what became of an edit.
type EditOutcome string

// The outcomes of an edit.
const (
	EditAccepted EditOutcome = "accepted"
	EditConflict EditOutcome = "conflict"
	EditInvalid  EditOutcome = "invalid"
)

// EditResult answers an EditTable command.
type EditResult struct {
	Outcome  EditOutcome
	Version  uint64 // of the table, after the edit
	Revision uint64 // of both tables, after the edit
	By       string // author of Version
	At       Time   // when Version was accepted, by the leader's clock
	Fields   []FieldError
}

// TablesResult answers a Barrier command.
type TablesResult struct{ Tables Tables }

// JobResult answers commands on jobs. Reason is empty if the command was accepted.
type JobResult struct {
	Job    string
	Reason string
}

// ClaimResult answers a ClaimRequest command.
type ClaimResult struct {
	Granted bool
	Entry   string // daemon that holds the claim
}

// FlowOutcome says what became of a command on a job made of stages.
type FlowOutcome string

// The outcomes.
const (
	FlowAccepted FlowOutcome = "accepted"
	FlowNoRoute  FlowOutcome = "no route" // there is no such queue
	FlowUnknown  FlowOutcome = "unknown"  // there is no such job
	FlowInvalid  FlowOutcome = "invalid"
)

// FlowResult answers commands on jobs made of stages.
type FlowResult struct {
	ID      string
	Outcome FlowOutcome
	Reason  string
}

func (Done) result()         {}
func (FlowResult) result()   {}
func (EditResult) result()   {}
func (TablesResult) result() {}
func (JobResult) result()    {}
func (ClaimResult) result()  {}

// ClaimTTL is how long a claim is remembered. A caller may resend a request
// with the same id for that long.
const ClaimTTL = 10 * time.Minute

// EditTTL is how long the outcome of an edit is remembered.
const EditTTL = 24 * time.Hour
