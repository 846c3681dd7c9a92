package notch

// PartSnapshot is the snapshot of one part: its replicated state at an index of the log.
type PartSnapshot interface{ partSnapshot() }

// EditRecord holds the outcome of an edit, so that a resent edit gets the same
// answer.
type EditRecord struct {
	ID     string
	At     Time // of the log entry
	Result EditResult
}

// TablesSnapshot is the snapshot of the tables.
type TablesSnapshot struct {
	Tables   Tables
	RoutesBy string
	RoutesAt Time
	PoolsBy  string
	PoolsAt  Time
	Edits    []EditRecord // oldest first
}

// ClaimRecord is one claimed request.
type ClaimRecord struct {
	ID    string
	Entry string
	Token uint64
	At    Time // of the log entry
}

// ClaimsSnapshot is the snapshot of the claims, oldest first.
type ClaimsSnapshot struct{ Claims []ClaimRecord }

// JobRecord is a job and the number of its tasks in each phase.
type JobRecord struct {
	Job    Job
	At     Time               // when the job was accepted
	Ended  Time               // zero while a task hasn't ended
	Counts [Cancelled + 1]int // indexed by TaskPhase
}

// RunTime is the history of the run times of the tasks of one kind.
type RunTime struct {
	Kind  string
	Mean  float64 // seconds
	Count int     // weight of Mean: the number of run times, up to a limit
}

// BatchSnapshot is the snapshot of jobs and workers.
type BatchSnapshot struct {
	Seq     uint64 // sequence number of the task submitted last
	Jobs    []JobRecord
	Tasks   []Task
	Workers []Worker
	Times   []RunTime
}

func (TablesSnapshot) partSnapshot() {}
func (ClaimsSnapshot) partSnapshot() {}
func (BatchSnapshot) partSnapshot()  {}

// Snapshot is the whole replicated state after the log entry at Index.
type Snapshot struct {
	Index    uint64
	Term     uint64
	Replicas ReplicaSet
	Images   []PartSnapshot
}

// HardState is the part of a replica's consensus state that must be on disk
// before the replica answers a message.
type HardState struct {
	Term uint64
	Vote string // name of the replica that this replica voted for in Term; empty: none
}

// WithVote returns h with the vote of its term given to the named replica.
func (h HardState) WithVote(name string) HardState {
	h.Vote = name
	return h
}

// WorkflowsSnapshot is the snapshot of workflows and agents.
type WorkflowsSnapshot struct {
	Flows  []WorkflowRecord
	Agents []Agent
}

func (WorkflowsSnapshot) partSnapshot() {}
