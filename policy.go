package notch

import "time"

// Candidate is a backend server on which this entry has a free slot.
type Candidate struct {
	Server   ServerID
	InFlight int
	Slots    int           // slots that the entry may use now
	Mean     time.Duration // recent mean latency
	Tail     time.Duration // recent estimate of the 95th percentile
	Samples  int           // number of latencies behind Mean and Tail
	Local    bool          // the backend server is in the entry's failure domain
}

// Candidates is an indexed view of the backend servers of a pool.
type Candidates interface {
	// Len returns the number of backend servers, available or not.
	Len() int
	// At returns candidate i. If ok is false, that backend server isn't
	// available.
	At(i int) (c Candidate, ok bool)
}

// Picker chooses a backend server for a request.
type Picker interface {
	// Pick returns an index of candidates, or -1 if none is available.
	Pick(candidates Candidates, seed uint64) int
}

// QueuedRequest describes a request that waits at an entry.
type QueuedRequest struct {
	Class    Class
	Arrived  Time
	Deadline Time
	Expected time.Duration // expected latency from the history of the request's kind; zero: no history
}

// QueueOrder decides which waiting request is sent next.
type QueueOrder interface {
	// Rank ranks the requests of one pool; the lowest rank goes first. It depends
	// on the request alone, so that a sorted queue stays sorted as time passes.
	Rank(r QueuedRequest) int64
}

// QueueLoad describes the queue that a request would join.
type QueueLoad struct {
	Length      int           // requests waiting at this entry, of any class
	Ahead       int           // those of them that go before the request
	Limit       int           // most requests that may wait
	Slots       int           // slots of the pool that the entry may use
	MeanLatency time.Duration // mean latency of the pool
	Deadline    time.Duration // time left until the request's deadline
}

// Admitter decides whether a request may join the queue.
type Admitter interface {
	// Admit reports whether the request may join the queue and, if not, why it is
	// refused.
	Admit(q QueueLoad) (ok bool, reason RefusalReason)
}

// RetryState is the input of a retry decision.
type RetryState struct {
	Attempts   int            // number of sends so far
	Outcome    AttemptOutcome // of the latest send
	Repeatable bool           // another send is safe: the request is idempotent, or provably did not run
	Remaining  time.Duration  // time left until the request's deadline
	Tokens     float64        // tokens in the retry budget; a retry or a hedge costs 1
}

// Retrier decides whether a request is sent again.
type Retrier interface {
	// Retry reports whether the request is sent again.
	Retry(s RetryState) bool
	// TokensPerRequest returns the tokens that the first send of each request adds to the
	// retry budget. A retry or a hedge costs 1 token.
	TokensPerRequest() float64
	// Hedge returns how long to wait for an answer before a request that may be
	// repeated is also sent to a second backend server. If ok is false, no hedge
	// is sent. Tail is the 95th percentile of the latencies of the request's
	// kind, estimated from the given number of samples.
	Hedge(tail time.Duration, samples int) (after time.Duration, ok bool)
}

// ServerShare is a backend server whose slots are to be divided.
type ServerShare struct {
	Server ServerID
	Domain string
	Slots  int
}

// EntryShare is an entry that takes part in the division of a pool's slots.
type EntryShare struct {
	Entry  string
	Domain string
	Demand int   // slots that it could use
	Held   []int // slots allocated to it now, in the order of the servers
}

// Divider divides the slots of a pool between entries.
type Divider interface {
	// Divide returns the slots of each entry. The result has a row per server and a
	// column per entry. The sum of a row is at most the number of the server's slots.
	Divide(servers []ServerShare, entries []EntryShare) [][]int
}

// PlaceRequest is a task to be placed.
type PlaceRequest struct {
	Task Task
	Job  Job
	Size Resources // amount to reserve
}

// WorkerView is a worker as a placer sees it.
type WorkerView struct {
	Worker   Worker
	Free     Resources // free resources; negative if the worker must not take the task
	Pressure float64   // latest reported Usage.Pressure
	Kinds    []string  // kinds of the tasks that run on the worker, one element per task
}

// WorkerViews is an indexed view of the workers of a pool that accept tasks.
type WorkerViews interface {
	// Len returns the number of workers.
	Len() int
	// At returns worker i.
	At(i int) WorkerView
}

// Placer chooses a worker for a task.
type Placer interface {
	// Place returns an index of workers, or -1 if the task fits on no worker now.
	Place(r PlaceRequest, workers WorkerViews, seed uint64) int
}

// TaskOrder decides which queued task of a team is placed next.
type TaskOrder interface {
	// Band ranks the tasks of a class by their expected run time. The lowest band
	// goes first; tasks of equal bands go in the order of submission.
	Band(expected time.Duration) int
}

// Interference is an immutable model of how much the kinds of tasks slow down the
// services on the same host.
type Interference interface {
	// WithSample returns the model after one more measurement: the kinds of the
	// tasks that ran when the pressure was measured, one element per task.
	WithSample(kinds []string, pressure float64) Interference
	// Pressure estimates the pressure on a host where tasks of the given kinds
	// run together. It has the unit of Usage.Pressure.
	Pressure(kinds []string) float64
}

// LateFactor is the multiple of its objective that a workflow may take and still be worth something to its caller.
const LateFactor = 3

// ReadyTask describes a task of a workflow that could start now.
type ReadyTask struct {
	Priority      int           // of the route; 0 is the highest
	LongRunning   bool          // the task runs until its workflow is cancelled
	Interrupted   bool          // the task is long-running and has had a run
	Opportunistic bool          // the task uses only processors that are not reserved
	Accepted      Time          // when its workflow was accepted
	Due           Time          // when its workflow must be complete to meet its objective
	Remaining     time.Duration // declared run time of the longest chain of stages that starts with this task
	Begun         bool          // a task of its workflow has had a run
	MilliCPU      int64         // of each of the tasks
	Left          float64       // share of the tasks of its workflow that are not done
	Overloaded    bool          // more starts are asked for than the leader can send
}

// WorkflowTaskOrder decides which ready task of a workflow starts first.
type WorkflowTaskOrder interface {
	// Rank ranks ready tasks; the lowest rank goes first.
	Rank(t ReadyTask, now Time) int64
}

// AgentView is an agent as a placer sees it.
type AgentView struct {
	Agent                 Agent
	Free                  Resources      // resources that aren't reserved
	OpportunisticMilliCPU int64          // milli-cpu declared by the opportunistic tasks
	ServiceMilliCPU       int64          // milli-cpu reserved by the service tasks
	ServiceImages         []ServiceImage // the service tasks, grouped by image
}

// ServiceImage is the service tasks of one image on an agent, as a placer sees them.
type ServiceImage struct {
	Image         string
	SpareHeadroom float64 // latency headroom that all opportunistic tasks on the agent together may use up
	TakenHeadroom float64 // estimate of what the opportunistic tasks on the agent use up, by their declared CPU use
}

// AgentViews is an indexed view of the agents of a pool that accept runs.
type AgentViews interface {
	// Len returns the number of agents.
	Len() int
	// Candidates returns the ascending indexes of the agents that may run the requested task. The
	// others are known to lack free resources or headroom, or have as many runs of the stage as it
	// allows. The caller must not modify it.
	Candidates() []int
	// At returns agent i, which the caller must not modify. If ok is false, the agent can't run
	// the requested task.
	At(i int) (v *AgentView, ok bool)
	// ReservedShare returns the reserved share of the processors of all agents.
	ReservedShare() float64
}

// RunPlacer chooses agents for the runs of a stage.
type RunPlacer interface {
	// Score rates the agents for tasks of the stage. The tasks are alike, so that the scores
	// serve all of them.
	Score(st Stage, agents AgentViews) AgentScores
}

// AgentScores chooses agents for the tasks of one stage, one task after the other. It is used
// during one plan only.
type AgentScores interface {
	// Next returns the index of an agent for one more task, or -1 if the task fits on no agent
	// now. Waited is the time since its workflow was accepted, so that a task which lost its
	// run doesn't begin to wait anew.
	Next(waited time.Duration, seed uint64) int
	// Rescore rates agent i again, after a task was placed there.
	Rescore(i int)
	// HasCapacity reports whether an agent has the free resources for one more task, even if
	// it keeps them for other tasks.
	HasCapacity() bool
}

// OpportunisticLoad is the CPU use, measured or declared, of opportunistic tasks of
// one image on an agent.
type OpportunisticLoad struct {
	Image    string
	CPUShare float64 // fraction of the agent's processors
}

// HeadroomMeasurement is the measured latency headroom of one service task.
type HeadroomMeasurement struct {
	Group    TaskRef // stage of the task, as a TaskRef with Index 0; the tasks of a stage share one load of requests
	Image    string
	Headroom float64 // target divided by tail latency: 1 at the target, above 1 while the latency is below it
}

// ColocationObservation is one observation of the colocated tasks on an agent: the
// headroom of its service tasks and the CPU use of its opportunistic tasks.
type ColocationObservation struct {
	At         Time
	Headrooms  []HeadroomMeasurement
	Loads      []OpportunisticLoad
	LoadChange float64 // sum of the absolute changes of the loads since the previous observation, as a fraction of the agent's processors
}

// ColocationModel estimates the latency headroom that service tasks have without
// opportunistic tasks, and how much of that headroom colocated opportunistic tasks use
// up. Its values are immutable.
type ColocationModel interface {
	// WithObservation returns the model after one more observation.
	WithObservation(o ColocationObservation) ColocationModel
	// WithoutGroup returns the model without a stage whose tasks have ended.
	WithoutGroup(group TaskRef) ColocationModel
	// HeadroomAlone returns a lower estimate of the headroom that the tasks of a
	// stage will have at the given instant if no opportunistic task runs on their
	// agent.
	HeadroomAlone(group TaskRef, at Time) float64
	// InterferenceCoefficient returns an upper estimate of the headroom that a
	// service task of the image service loses when opportunistic tasks of the image
	// opportunistic use all processors of the agent.
	InterferenceCoefficient(service, opportunistic string) float64
}
