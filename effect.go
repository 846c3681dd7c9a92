package notch

import (
	"strconv"
	"time"
)

// Effect is an action on the outside world, described as data. The runner carries
// out effects in order and reports their outcomes as events.
type Effect interface{ effect() }

// Emit passes an event to every part within the same step.
type Emit struct{ Body Body }

// Send sends a message to another daemon. The message may be lost.
type Send struct {
	To      string
	Message Message
}

// Connect opens a link to a daemon.
type Connect struct{ Daemon Daemon }

// SetHello replaces the message that opens new links, and tells the linked daemons what is new in it.
type SetHello struct{ Hello Hello }

// SetCluster records durably which cluster the data folder belongs to.
type SetCluster struct{ Cluster uint64 }

// Persist writes the hard state and log entries to disk and syncs them. The
// entries replace all that the log held from the index of the first one on. The
// messages in Then are sent after the sync.
type Persist struct {
	Hard    HardState
	Entries []LogEntry
	Then    []Send
	Write   uint64 // number of the write; ascending from 1 while the process runs
}

// SaveSnapshot writes a snapshot to disk, syncs it, and drops the log segments
// that end at or before index KeepFrom. If Replace is set, it drops the whole
// log. The messages in Then are sent after the sync.
type SaveSnapshot struct {
	Snapshot Snapshot
	KeepFrom uint64
	Replace  bool
	Then     []Send
}

// Answer completes a call of a front end.
type Answer struct {
	Ticket uint64
	Result Result
	Err    error
}

// AnswerWorker completes a call of a worker.
type AnswerWorker struct {
	Ticket uint64
	Reply  HeartbeatReply
}

// AnswerQuery completes a query to the leader.
type AnswerQuery struct {
	Ticket uint64
	View   QueryResult
	Err    error
}

// CallAgent sends an order to an agent. The answer arrives as an AgentAnswered
// event.
type CallAgent struct {
	Agent   Agent
	Order   AgentOrder
	Timeout time.Duration
	SendBy  Time // when the permission to send it ends; zero: it doesn't end
}

// ListHosts asks the inventory for the hosts that exist. The outcome arrives as a HostsListed event.
type ListHosts struct{ Timeout time.Duration }

// AnswerAgent completes an announcement of an agent; the announced state is in
// force. Next is the operators' address of the daemon that the agent should call
// from now on; empty if none is known.
type AnswerAgent struct {
	Ticket uint64
	Next   string
}

// ToLanes passes an event to every lane.
type ToLanes struct{ Body Body }

// ToControl passes an event from a lane to the control loop.
type ToControl struct{ Body Body }

// Dispatch sends a request to a backend server.
type Dispatch struct {
	Request  uint64
	Attempt  int // 1 for the first send
	Server   BackendServer
	Idle     int // idle connections that may be kept open to the backend server
	Deadline Time
}

// Wake delivers an event to the lane after a delay.
type Wake struct {
	After time.Duration
	Body  Body
}

// RefusalReason is the reason why a request ended without an answer from a backend server.
type RefusalReason string

// The reasons for a refusal.
const (
	RefusedQueueFull  RefusalReason = "queue full"
	RefusedDeadline   RefusalReason = "deadline passed while waiting"
	RefusedShed       RefusalReason = "can't be served within its deadline"
	RefusedNoServer   RefusalReason = "no backend server"
	RefusedNoLease    RefusalReason = "entry cut off from control"
	RefusedStopping   RefusalReason = "entry is stopping"
	RefusedAttempts   RefusalReason = "backend servers failed"
	RefusedOutcome    RefusalReason = "outcome unknown"
	RefusedCallerGone RefusalReason = "caller went away"
)

// Refuse ends a request without an answer from a backend server. NotRun reports that
// the request provably did not run on any backend server.
type Refuse struct {
	Request    uint64
	Reason     RefusalReason
	NotRun     bool
	RetryAfter time.Duration // when the caller may send the request again; 0: unknown
}

// Count adds Delta to a counter.
type Count struct {
	Name  string
	Delta int64
}

// LogMessage writes a log message about a change of state.
type LogMessage struct {
	Text   string
	Fields []LogField
}

// LogField is a named value of a log message.
type LogField struct {
	Name  string
	Value string
}

// TextField returns a field with a text.
func TextField(name, value string) LogField { return LogField{Name: name, Value: value} }

// IntField returns a field with a number.
func IntField(name string, n int) LogField { return TextField(name, strconv.Itoa(n)) }

// DurationField returns a field with a duration, rounded to milliseconds.
func DurationField(name string, d time.Duration) LogField {
	return TextField(name, d.Round(time.Millisecond).String())
}

// PlanMade describes a plan, which looked for an agent for each task that could start. It is for
// metrics and logs only.
type PlanMade struct {
	Ready              int  // tasks that could start
	Placed             int  // tasks that got an agent
	StagesWithoutAgent int  // stages with a task that no agent had room for
	AgentsExamined     int  // number of times that an agent was examined
	Incomplete         bool // the plan stopped at one of its limits
}

// Counts returns the counters that p adds to.
func (p PlanMade) Counts() []Count {
	return []Count{
		{"plans", 1}, {"plan-tasks-ready", int64(p.Ready)}, {"plan-tasks-placed", int64(p.Placed)},
		{"plan-stages-without-agent", int64(p.StagesWithoutAgent)}, {"plan-agents-examined", int64(p.AgentsExamined)},
	}
}

func (Emit) effect()         {}
func (Send) effect()         {}
func (Connect) effect()      {}
func (SetHello) effect()     {}
func (SetCluster) effect()   {}
func (Persist) effect()      {}
func (SaveSnapshot) effect() {}
func (Answer) effect()       {}
func (AnswerWorker) effect() {}
func (AnswerQuery) effect()  {}
func (CallAgent) effect()    {}
func (ListHosts) effect()    {}
func (AnswerAgent) effect()  {}
func (ToLanes) effect()      {}
func (ToControl) effect()    {}
func (Dispatch) effect()     {}
func (Wake) effect()         {}
func (Refuse) effect()       {}
func (Count) effect()        {}
func (LogMessage) effect()   {}
func (PlanMade) effect()     {}
