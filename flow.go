package notch

import (
	"fmt"
	"slices"
	"time"
)

// Flow is a job made of stages, as a caller handed it in through a route to a pool
// of workers. Its tasks are started by orders that the leader sends to agents.
type Flow struct {
	ID     string // chosen by the caller; the same id is the same job
	Route  string // name of the route that it came through
	Pool   string // of that route when the job was accepted
	Terms  Route  // that route when the job was accepted, for when it is removed
	Spec   string // handed to agents unread
	Stages []Stage
	Rounds int           // how often the stages run; 0: once, at once
	First  int64         // when the first round is due, Unix time in ms
	Every  time.Duration // between the due times of rounds
}

// RoundCount returns how often the stages run.
func (f Flow) RoundCount() int { return max(1, f.Rounds) }

// Stage is a number of like tasks.
type Stage struct {
	Count    int
	Size     Resources     // declared, of each task
	Estimate time.Duration // declared run time of a task; may be far off
	After    []int         // earlier stages whose tasks have to be done first
	Saves    bool          // the tasks checkpoint their progress
	Gang     bool          // the tasks run together or not at all
	OneRack  bool          // the tasks are slower when they run on several racks
	Label    string        // that the agent must have; empty: none
	Rack     string        // where the tasks' data is; empty: anywhere
	PerAgent int           // most tasks of a round that may run on one agent; 0: any number
	Copies   bool          // several runs of one task may go on at once
	Lasts    bool          // the tasks run until the job is cancelled
	Image    string        // tasks of one image behave alike
	Target   time.Duration // for the tail of the responses of a task that lasts
	Fills    bool          // the processors declared aren't reserved
	MostAway int           // tasks that the system may have unavailable at once; 0: any number
}

// Reserved returns what a task of the stage takes of an agent's room.
func (s Stage) Reserved() Resources {
	r := s.Size
	if s.Fills {
		r.MilliCPU = 0
	}
	return r
}

// TaskRef names one task of a flow.
type TaskRef struct {
	Flow  string
	Round int
	Stage int
	Index int
}

// String returns the parts of the name, separated by dots.
func (t TaskRef) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Flow, t.Round, t.Stage, t.Index)
}

// RunRef names one run of a task. Runs of a task are numbered from 1.
type RunRef struct {
	Task   TaskRef
	Number uint64
}

// Life names one life of an agent: its id and when it was born.
type Life struct {
	Agent string
	Born  int64 // Unix time in ms, by the agent's clock
}

// Agent is a worker that takes orders, in one of its lives.
type Agent struct {
	ID       string
	Born     int64
	Pool     string
	Address  string // IP number and port
	Host     string
	Domain   string
	Rack     string
	Labels   []string
	Size     Resources
	Draining bool // takes no new work
	Left     bool // has said goodbye
}

// Life returns the agent's life.
func (a Agent) Life() Life { return Life{Agent: a.ID, Born: a.Born} }

// Run is one run of a task on an agent.
type Run struct {
	Number uint64
	Life   Life
	Token  uint64 // of the leader that placed it
	Since  Time   // when it was committed, by the proposing leader's clock
}

// RunEndKind says how a run ended.
type RunEndKind string

// The ways in which a run ends.
const (
	RunDone    RunEndKind = "done"
	RunFailed  RunEndKind = "failed"
	RunStopped RunEndKind = "stopped" // by order
	RunLapsed  RunEndKind = "lapsed"  // its lease ran out
	RunBroken  RunEndKind = "broken"  // another member of its gang ended
	RunAlone   RunEndKind = "alone"   // the other members of its gang never came
	RunNever   RunEndKind = "never"   // it provably didn't begin and can't any more
	RunLost    RunEndKind = "lost"    // its agent's life is over
)

// RunEnd is the end of one run.
type RunEnd struct {
	Run   RunRef
	Kind  RunEndKind
	Saved string // last checkpoint; empty: none is known
}

// ListedEnd is an end as an agent lists it until it is acknowledged.
type ListedEnd struct {
	N   uint64 // position in the agent's list, from 1 in each life
	End RunEnd
}

// LiveRun is what an agent says of a run that goes on.
type LiveRun struct {
	Run      RunRef
	Saved    string
	Progress int // percent
	Reading  int // the tail in ms of a task that serves, else milli-cpu in use
}

// AgentOrderKind says what an agent is asked.
type AgentOrderKind string

// The orders to an agent.
const (
	AgentStart AgentOrderKind = "start"
	AgentStop  AgentOrderKind = "stop"
	AgentHold  AgentOrderKind = "hold" // prolongs the lease and reads the lists
	AgentPace  AgentOrderKind = "pace"
)

// AgentOrder is one call to an agent.
type AgentOrder struct {
	Kind       AgentOrderKind
	Token      uint64 // an agent that has seen a higher one does nothing
	Run        RunRef // but for AgentHold
	Spec       string // for AgentStart
	Checkpoint string // for AgentStart: where to resume
	Deadline   int64  // end of the lease by the agent's clock in ms; 0: leaves it
	Ack        uint64 // for AgentHold: ends up to this position are forgotten
	Wait       time.Duration
	Percent    int // for AgentPace
}

// AgentAnswerKind says what became of an order.
type AgentAnswerKind string

// The outcomes of an order.
const (
	AgentOK      AgentAnswerKind = "ok"
	AgentRefused AgentAnswerKind = "refused" // it did nothing; Reason tells why
	AgentBusy    AgentAnswerKind = "busy"    // it did nothing and is unwell
	AgentOther   AgentAnswerKind = "other"   // another life is at the address; nothing was done
	AgentSilent  AgentAnswerKind = "silent"  // it may have been done, or be done later
)

// AgentReason says why an agent refused an order.
type AgentReason string

// The reasons of agents.
const (
	ReasonFence  AgentReason = "fence"  // a higher token was seen
	ReasonOld    AgentReason = "old"    // the run, or a higher one, was stopped or has ended there
	ReasonLate   AgentReason = "late"   // the deadline had passed
	ReasonRoom   AgentReason = "room"   // it doesn't fit
	ReasonTicket AgentReason = "ticket" // the ticket isn't valid
)

// AgentAnswer is the answer to an order.
type AgentAnswer struct {
	Kind    AgentAnswerKind
	Reason  AgentReason
	Clock   int64 // of the agent in ms; 0: not told
	Born    int64 // of the life that answered; 0: not told
	Live    []LiveRun
	Ends    []ListedEnd
	Partial bool // more ends are listed than the answer holds
}

// TaskState is the state of a task of a flow.
type TaskState uint8

// The states of a task.
const (
	TaskOpen TaskState = iota // it has a run, waits for one, or for earlier stages
	TaskDone
	TaskFailed
	TaskCancelled
)

// FlowTask is one task of a flow.
type FlowTask struct {
	State    TaskState
	Latest   uint64 // number of its latest run; 0: none was placed
	Runs     []Run  // that aren't known to have ended; never modified in place
	Failures int    // runs that failed
	Saved    string // latest checkpoint that is known for certain
	Idle     Time   // when it last came to be without a run
}

// WithRun returns t with one more run.
func (t FlowTask) WithRun(r Run) FlowTask {
	t.Latest = r.Number
	t.Runs = append(t.Runs[:len(t.Runs):len(t.Runs)], r)
	return t
}

// WithoutRun returns t without the numbered run.
func (t FlowTask) WithoutRun(number uint64) FlowTask {
	t.Runs = slices.DeleteFunc(slices.Clone(t.Runs), func(r Run) bool { return r.Number == number })
	return t
}

// Run returns the numbered run, if it isn't known to have ended.
func (t FlowTask) Run(number uint64) (Run, bool) {
	i := slices.IndexFunc(t.Runs, func(r Run) bool { return r.Number == number })
	if i < 0 {
		return Run{}, false
	}
	return t.Runs[i], true
}

// FlowRecord is a job made of stages with its tasks. Once it has ended and nothing
// of it runs, its stages and tasks are dropped.
type FlowRecord struct {
	Flow  Flow
	At    Time // when it was accepted, by the proposing leader's clock
	Ended Time
	State FlowState
	Tasks [][]FlowTask // by round and stage, then by index
}
