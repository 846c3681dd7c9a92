package notch

import (
	"slices"
	"time"
)

// Command changes the replicated state. Every command is idempotent: applying it
// a second time has no effect and returns the result of the first time.
type Command interface{ command() }

// Noop changes nothing. A new leader commits one in order to learn how far the
// log is committed.
type Noop struct{}

// Barrier changes nothing and returns the tables as they were when it was
// committed.
type Barrier struct{}

// EditTable replaces the content of one table.
type EditTable struct {
	ID     string // chosen by the operator's client; a resent edit carries the same id
	Table  TableName
	Base   uint64 // version of the table that the edit is based on
	Routes []Route
	Pools  []Pool
	By     string // author of the edit
}

// Replica identifies a control replica by its name and data folder. A replica
// that starts with a new data folder is another replica.
type Replica struct {
	Name    string
	Storage uint64 // random number drawn when the data folder was created
}

// ChangeReplicas replaces the replica set. The new set differs from the previous
// one by a single voter, so that any two quorums of consecutive sets intersect.
type ChangeReplicas struct{ Set ReplicaSet }

// ReplicaSet lists the replicas that vote and those that only receive the log.
type ReplicaSet struct {
	Voters   []Replica
	Learners []Replica
}

// HasNamed reports whether a voter or learner has the given name.
func (s ReplicaSet) HasNamed(name string) bool {
	named := func(r Replica) bool { return r.Name == name }
	return slices.ContainsFunc(s.Voters, named) || slices.ContainsFunc(s.Learners, named)
}

// ClaimRequest claims a non-idempotent request for one entry before the request
// is sent to a backend server.
type ClaimRequest struct {
	ID    string // route name, a slash and the request id that the caller chose
	Entry string // name of the daemon that claims the request
	Token uint64 // identifies this claim, so that a resent claim is recognised
}

// ReleaseClaim removes the claim of a request that provably did not run.
type ReleaseClaim struct {
	ID    string
	Token uint64
}

// SubmitJob adds a job and its tasks.
type SubmitJob struct{ Job Job }

// CancelJobs cancels every task of the named jobs that hasn't ended.
type CancelJobs struct{ Jobs []string }

// RegisterWorker adds a worker or replaces its registration. Tasks that were
// placed on an earlier incarnation keep their reservations until they are
// released.
type RegisterWorker struct{ Worker Worker }

// Placement assigns a task to one incarnation of a worker.
type Placement struct {
	Task        TaskID
	Epoch       uint64 // epoch of the task when the placement was planned
	Worker      string
	Incarnation uint64
}

// PlaceTasks commits placements. A placement that no longer fits is skipped.
type PlaceTasks struct{ Placements []Placement }

// ReportTasks records a worker's reports about attempts.
type ReportTasks struct {
	Worker      string
	Incarnation uint64
	Reports     []TaskReport
}

// ReleaseWorker frees the tasks of a worker incarnation whose lease has certainly
// expired.
type ReleaseWorker struct {
	Worker      string
	Incarnation uint64
}

// StopTasks asks for the stop of running attempts. Their tasks are queued again once
// the stop is confirmed.
type StopTasks struct{ Tasks []TaskEpoch }

// TaskEpoch identifies one attempt at a task.
type TaskEpoch struct {
	Task  TaskID
	Epoch uint64
}

// QuarantineWorker excludes a worker from placement, or includes it again.
type QuarantineWorker struct {
	Worker string
	On     bool // false: the quarantine ends
}

// ReplaceTables sets both tables from one document, which carries its own
// version. A version that isn't higher than the current one changes nothing.
type ReplaceTables struct {
	Version  uint64
	Routes   []Route
	Pools    []Pool // without ControlPool, which stays as it is
	Limits   CallerLimits
	Document string // text that the operator sent, kept unparsed so that it can be returned
}

// SubmitWorkflow adds a workflow.
type SubmitWorkflow struct{ Flow Workflow }

// CancelWorkflow cancels a workflow.
type CancelWorkflow struct{ ID string }

// AdmitAgent adds an agent or replaces its registration. The runs of earlier
// incarnations of the agent end.
type AdmitAgent struct{ Agent Agent }

// RunPlacement places the next run of a task on one incarnation of an agent.
type RunPlacement struct {
	Task  TaskRef
	After uint64 // number of the task's latest run when the placement was planned
	Life  AgentIncarnation

	// Throttled is that of the run.
	Throttled bool `cbor:",omitempty"`
}

// PlaceRuns commits placements. A placement that no longer fits is skipped. Token
// is the fencing token of the leader that sends the start orders.
type PlaceRuns struct {
	Token      uint64
	Placements []RunPlacement

	Renewed []RunRef `cbor:",omitempty"` // runs whose placements are renewed, see Run.RenewedAt
}

// EndRuns records the ends of runs on one incarnation of an agent. Once it is
// committed, the agent may forget the ends up to position UpTo of its list.
type EndRuns struct {
	Life  AgentIncarnation
	Ends  []RunEnd
	UpTo  uint64
	Clock int64 // the agent's clock in ms when it listed the ends; 0: not known

	Located []RunRef `cbor:",omitempty"` // long-running runs that this incarnation has started, see Run.Located
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
func (SubmitWorkflow) command()   {}
func (CancelWorkflow) command()   {}
func (AdmitAgent) command()       {}
func (PlaceRuns) command()        {}
func (EndRuns) command()          {}

// LogEntry is one entry of the replicated log. In other names of this package an
// entry is a daemon in its role towards callers.
type LogEntry struct {
	Index   uint64
	Term    uint64
	At      Time   // time of the proposal by the leader's clock
	Origin  string // name of the daemon that waits for the result; empty: none
	Ticket  uint64 // correlation id of the call that waits at Origin
	Command Command
}

// Result is the outcome of an applied command.
type Result interface{ result() }

// Done is the result of a command that returns nothing else.
type Done struct{}

// EditOutcome is the outcome of an edit.
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
	Version  uint64 // of the edited table, after the edit
	Revision uint64 // revision of both tables after the edit
	By       string // author of Version of the table
	At       Time   // when Version was accepted, by the clock of the leader at that time
	Fields   []FieldError
}

// TablesResult answers a Barrier command.
type TablesResult struct{ Tables Tables }

// JobResult answers commands on jobs. Reason states why the command was rejected;
// it is empty if the command was accepted.
type JobResult struct {
	Job    string // id of the job
	Reason string
}

// ClaimResult answers a ClaimRequest command.
type ClaimResult struct {
	Granted bool
	Entry   string // name of the daemon that holds the claim
}

// WorkflowOutcome is the outcome of a command on a workflow.
type WorkflowOutcome string

// The outcomes of a command on a workflow.
const (
	WorkflowAccepted WorkflowOutcome = "accepted"
	WorkflowNoRoute  WorkflowOutcome = "no route" // there is no route of that name
	WorkflowUnknown  WorkflowOutcome = "unknown"  // no workflow has that id
	WorkflowInvalid  WorkflowOutcome = "invalid"
)

// WorkflowResult answers commands on workflows.
type WorkflowResult struct {
	ID      string
	Outcome WorkflowOutcome
	Reason  string
}

func (Done) result()           {}
func (WorkflowResult) result() {}
func (EditResult) result()     {}
func (TablesResult) result()   {}
func (JobResult) result()      {}
func (ClaimResult) result()    {}

// ClaimTTL is how long a claim is remembered. Within that time a caller may
// resend a request with the same id without running it twice.
const ClaimTTL = 10 * time.Minute

// EditTTL is how long the outcome of an edit is remembered. A resent edit gets
// the same answer within that time.
const EditTTL = 24 * time.Hour
