package notch

import "time"

// Effect names something to be done. The runner carries it out and feeds the
// outcome back as an event. Effects are carried out in order.
type Effect interface{ effect() }

// Emit hands an event to every part within the same step.
type Emit struct{ Body Body }

// Send passes a message to another daemon. It may be lost.
type Send struct {
	To      string
	Message Message
}

// Connect opens a link to a daemon.
type Connect struct{ Daemon Daemon }

// SetHello replaces what new links open with.
type SetHello struct{ Hello Hello }

// AdoptCluster syncs which cluster the data folder belongs to.
type AdoptCluster struct{ Cluster uint64 }

// Persist syncs the hard state and entries, replacing what the log held from
// the first of them on. Then is sent after the sync.
type Persist struct {
	Hard    HardState
	Entries []Entry
	Then    []Send
}

// SaveSnapshot syncs a snapshot and drops the log up to KeepFrom. If Replace is
// set, the whole log is dropped.
type SaveSnapshot struct {
	Snapshot Snapshot
	KeepFrom uint64
	Replace  bool
	Then     []Send
}

// Answer completes a front end's call.
type Answer struct {
	Ticket uint64
	Result Result
	Err    error
}

// AnswerWorker completes a worker's call.
type AnswerWorker struct {
	Ticket uint64
	Reply  HeartbeatReply
}

// AnswerQuery completes a question to the leader.
type AnswerQuery struct {
	Ticket uint64
	View   View
	Err    error
}

// CallAgent sends an order to an agent. The answer comes back as AgentAnswered.
type CallAgent struct {
	Agent   Agent
	Order   AgentOrder
	Timeout time.Duration
}

// AnswerAgent completes an agent's call: what it said is in force. Next is the
// operators' address that it should call from now on, if one is known.
type AnswerAgent struct {
	Ticket uint64
	Next   string
}

// ToLanes hands an event to every lane.
type ToLanes struct{ Body Body }

// ToControl hands an event of a lane to the control loop.
type ToControl struct{ Body Body }

// Dispatch lets a request be sent to a backend server.
type Dispatch struct {
	Request  uint64
	Attempt  int // 1 for the first send
	Server   BackendServer
	Idle     int // idle connections that may be kept to the backend server
	Deadline Time
}

// Wake hands a lane the event after a time.
type Wake struct {
	After time.Duration
	Body  Body
}

// RefusalReason says why a request got no answer from a backend server.
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

// Refuse ends a request without an answer from a backend server.
type Refuse struct {
	Request    uint64
	Reason     RefusalReason
	NotRun     bool
	RetryAfter time.Duration
}

// Count adds to a counter.
type Count struct {
	Name  string
	Delta int64
}

// Notice is a log line for a change of state.
type Notice struct {
	Text   string
	Fields []Field
}

// Field is a named value of a notice.
type Field struct {
	Name  string
	Value string
}

func (Emit) effect()         {}
func (Send) effect()         {}
func (Connect) effect()      {}
func (SetHello) effect()     {}
func (AdoptCluster) effect() {}
func (Persist) effect()      {}
func (SaveSnapshot) effect() {}
func (Answer) effect()       {}
func (AnswerWorker) effect() {}
func (AnswerQuery) effect()  {}
func (CallAgent) effect()    {}
func (AnswerAgent) effect()  {}
func (ToLanes) effect()      {}
func (ToControl) effect()    {}
func (Dispatch) effect()     {}
func (Wake) effect()         {}
func (Refuse) effect()       {}
func (Count) effect()        {}
func (Notice) effect()       {}
