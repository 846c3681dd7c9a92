package notch

// Image is one part's replicated state at an index of the log.
type Image interface{ image() }

// EditRecord remembers the outcome of an edit for resends.
type EditRecord struct {
	ID     string
	At     Time
	Result EditResult
}

// TablesImage is the replicated state of the tables.
type TablesImage struct {
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
	At    Time
}

// ClaimsImage is the replicated state of the claims, oldest first.
type ClaimsImage struct{ Claims []ClaimRecord }

// JobRecord is a job and how many of its tasks are in each phase.
type JobRecord struct {
	Job    Job
	At     Time
	Ended  Time // zero while a task is left
	Counts [Cancelled + 1]int
}

// RunTime is what is known of the run time of tasks of one kind, in seconds.
type RunTime struct {
	Kind  string
	Mean  float64
	Count int
}

// BatchImage is the replicated state of jobs and workers.
type BatchImage struct {
	Seq     uint64
	Jobs    []JobRecord
	Tasks   []Task
	Workers []Worker
	Times   []RunTime
}

func (TablesImage) image() {}
func (ClaimsImage) image() {}
func (BatchImage) image()  {}

// Snapshot is the whole replicated state after the entry at Index.
type Snapshot struct {
	Index    uint64
	Term     uint64
	Replicas ReplicaSet
	Images   []Image
}

// HardState is what a replica must not forget before it answers.
type HardState struct {
	Term uint64
	Vote string // name of the replica that got this term's vote
}

// WithVote returns h with the term's vote given to name.
func (h HardState) WithVote(name string) HardState {
	h.Vote = name
	return h
}

// FlowsImage is the replicated state of jobs made of stages, and of agents.
type FlowsImage struct {
	Flows  []FlowRecord
	Agents []Agent
}

func (FlowsImage) image() {}
