package notch

import "time"

// Candidate is a backend server that has a free slot at this entry.
type Candidate struct {
	Server   ServerID
	InFlight int
	Slots    int           // what the entry may use now
	Mean     time.Duration // recent mean latency
	Tail     time.Duration // recent estimate of the 95th percentile
	Samples  int           // behind Mean and Tail
	Local    bool          // in the entry's failure domain
}

// Candidates is an indexed view of the backend servers of a pool.
type Candidates interface {
	Len() int
	// At returns candidate i. It isn't available if ok is false.
	At(i int) (c Candidate, ok bool)
}

// Picker chooses a backend server for a request.
type Picker interface {
	// Pick returns an index of cs, or -1 if none is available.
	Pick(cs Candidates, seed uint64) int
}

// Waiting describes a request that waits at an entry.
type Waiting struct {
	Class    Class
	Arrived  Time
	Deadline Time
	Expected time.Duration // by the history of its kind; zero if there is none
}

// QueueOrder decides which waiting request goes next.
type QueueOrder interface {
	// Rank orders requests of one pool; the lowest goes first. It depends on
	// the request alone, so that a queue stays sorted as time passes.
	Rank(w Waiting) int64
}

// QueueLoad describes the queue that a request would join.
type QueueLoad struct {
	Length   int           // requests waiting at this entry, of any class
	Ahead    int           // of these, those that go before it
	Limit    int           // most that may wait
	Slots    int           // what the entry may use of the pool
	Service  time.Duration // mean latency of the pool
	Deadline time.Duration // left to the request
}

// Admitter decides whether a request may wait.
type Admitter interface {
	Admit(q QueueLoad) (ok bool, reason RefusalReason)
}

// RetryState is what a retry decision knows.
type RetryState struct {
	Attempts  int // sends so far
	Outcome   AttemptOutcome
	Repeat    bool // sending again is safe: idempotent, or provably not run
	Remaining time.Duration
	Tokens    float64 // of the retry budget
}

// Retrier decides whether a request is sent again.
type Retrier interface {
	Retry(s RetryState) bool
	// Earn is added to the budget for each first send; a retry or a hedge costs 1.
	Earn() float64
	// Hedge returns after which time without an answer a request that may be
	// repeated is sent to a second backend server as well, if at all. Tail is the
	// 95th percentile of its kind, by so many samples.
	Hedge(tail time.Duration, samples int) (after time.Duration, ok bool)
}

// ServerShare is a backend server whose slots are to be divided.
type ServerShare struct {
	Server ServerID
	Domain string
	Slots  int
}

// EntryShare is an entry's claim on a pool.
type EntryShare struct {
	Entry  string
	Domain string
	Demand int
	Held   []int // slots that it holds now, by server
}

// Divider divides the slots of a pool between entries. The result has a row per
// server and a column per entry; no row sums to more than the server's slots.
type Divider interface {
	Divide(servers []ServerShare, entries []EntryShare) [][]int
}

// PlaceRequest is a task to be placed.
type PlaceRequest struct {
	Task Task
	Job  Job
	Size Resources
}

// WorkerView is a worker as a placer sees it.
type WorkerView struct {
	Worker   Worker
	Free     Resources
	Pressure float64  // latest report of the services' suffering
	Kinds    []string // kinds that run there, one entry a task
}

// WorkerViews is an indexed view of the workers of a pool that take work.
type WorkerViews interface {
	Len() int
	At(i int) WorkerView
}

// Placer chooses a worker for a task.
type Placer interface {
	// Place returns an index of ws, or -1 if the task fits nowhere now.
	Place(r PlaceRequest, ws WorkerViews, seed uint64) int
}

// TaskOrder decides which queued task of a team goes next.
type TaskOrder interface {
	// Band ranks tasks of a class by their expected run time; the lowest goes
	// first, equal ones in the order of submission.
	Band(expected time.Duration) int
}

// Interference is what is known of the harm that kinds of tasks do to the
// services beside them. It is immutable.
type Interference interface {
	// WithSample returns it with one more report: the kinds that ran when the
	// pressure was measured, one entry a task.
	WithSample(kinds []string, pressure float64) Interference
	// Pressure estimates the pressure where tasks of these kinds run together.
	Pressure(kinds []string) float64
}

// ReadyTask is what an order of tasks of flows knows of one that could start now.
type ReadyTask struct {
	Priority  int           // of the route; 0 comes first
	Lasts     bool          // it runs until its job is cancelled
	Fills     bool          // it takes only the processors that others leave
	Accepted  Time          // when its job was accepted
	Due       Time          // when its job has to be complete to meet its objective
	Remaining time.Duration // longest chain of work from this task on
}

// FlowOrder decides which task of a flow starts first.
type FlowOrder interface {
	// Rank orders ready tasks; the lowest goes first.
	Rank(t ReadyTask, now Time) int64
}

// RunRequest is a task of a flow that is to be placed.
type RunRequest struct {
	Task   TaskRef
	Stage  Stage
	Waited time.Duration // since the task was last without a run
}

// AgentView is an agent as a placer sees it.
type AgentView struct {
	Agent   Agent
	Free    Resources // not reserved
	Filling int64     // milli-cpu declared by the tasks that fill
	Serving int64     // milli-cpu reserved by the tasks that serve users of their own
	Served  []Served  // the images that serve, each once
	Filled  []Load    // of the tasks that fill, as declared
	Same    int       // runs of the same stage and round
}

// Served is the tasks of one image that serve on an agent, as a placer sees them.
type Served struct {
	Image string
	Spare float64 // headroom that tasks that fill beside them may take in all
}

// AgentViews is an indexed view of the agents that take a task.
type AgentViews interface {
	Len() int
	// At returns agent i. It takes no task of the request if ok is false.
	At(i int) (v AgentView, ok bool)
}

// RunPlacer chooses an agent for a run.
type RunPlacer interface {
	// Place returns an index of as, or -1 if the task fits nowhere now.
	Place(r RunRequest, as AgentViews, seed uint64) int
}

// Load is what the tasks of one image that fill an agent use, or would at full pace.
type Load struct {
	Image string
	Share float64 // of the agent's processors
}

// Tail is a task that serves, in a look at its agent.
type Tail struct {
	Group    TaskRef // its task with Index 0: the tasks of a stage share their users
	Image    string
	Headroom float64 // its target over its tail: 1 at the target, more below it
}

// Look is what was seen of an agent on which tasks fill beside tasks that serve.
type Look struct {
	At    Time
	Tails []Tail
	Loads []Load
	Moved float64 // of the loads since the look before, in shares of the agent's processors
}

// Interplay is what is known of the tails of tasks that serve: the headroom that they
// have by themselves, and what tasks that fill beside them take of it. Values are
// immutable.
type Interplay interface {
	// WithLook returns it with one more look.
	WithLook(l Look) Interplay
	// WithoutGroup forgets a stage whose tasks have ended.
	WithoutGroup(group TaskRef) Interplay
	// Alone returns the headroom that tasks of a group will at least have at an instant
	// if nothing fills beside them.
	Alone(group TaskRef, at Time) float64
	// Weight returns the headroom that an image which fills takes of a task that serves,
	// when it uses all processors of the agent.
	Weight(serving, filling string) float64
}
