// Package engine runs the reducers of a daemon: one goroutine for the control state,
// one for each lane and one for the journal. It carries out the effects and reports
// their outcomes as events.
package engine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	notch "tamaracknotch"
	"tamaracknotch/usage"
)

// tickInterval is the time between two ticks, and thus the resolution of every
// timeout.
const tickInterval = 50 * time.Millisecond

// Sink receives the counts and log messages that the reducers produce, and what the
// engine measures. Its methods may be called from several goroutines at once.
type Sink interface {
	// Count adds delta to a counter.
	Count(name string, delta int64)
	// Value adds a value to a distribution.
	Value(name string, v int64)
	// Log writes a log message.
	Log(m notch.LogMessage)
}

// Config holds what an engine is built from.
type Config struct {
	Self    notch.Daemon
	Control notch.State
	Lanes   []notch.State
	Clock   notch.Clock
	Seed    uint64
	Link    notch.Link
	Journal notch.Journal       // nil if the daemon has no data folder
	Agents  notch.Agents        // nil if the protocol sends no orders to agents
	Hosts   notch.HostInventory // nil if there is none
	Sink    Sink
}

// Engine runs the control loop and the lanes of one daemon.
type Engine struct {
	cfg         Config
	control     *loop
	meter       *loopMeter // of the control loop
	lanes       []*loop
	journal     *journaler
	lastTicket  atomic.Uint64
	lastRequest atomic.Uint64
	tables      atomic.Pointer[notch.Tables]
	leaseUntil  atomic.Int64 // end of the entry's lease
	closeOnce   sync.Once

	mu       sync.Mutex
	calls    map[uint64]chan notch.Effect // by ticket
	requests map[uint64]chan notch.Effect // by request
}

// New starts the loops. The journal must be loaded already; recovered is what it
// held, or nil.
func New(cfg Config, recovered *notch.Recovered) *Engine {
	e := &Engine{cfg: cfg, calls: map[uint64]chan notch.Effect{}, requests: map[uint64]chan notch.Effect{}}
	e.meter = newLoopMeter(cfg.Sink, cfg.Clock.Now(), usage.Read)
	e.tables.Store(&notch.Tables{})
	// Tickets start at a random value, so that a late answer to an earlier process
	// of this daemon doesn't match a call of this one.
	e.lastTicket.Store(notch.HashSeed(cfg.Seed) >> 1)
	if cfg.Journal != nil {
		e.journal = newJournaler(cfg.Journal, cfg.Clock, e.Post, e.send)
	}
	e.control = newLoop(cfg.Control, cfg.Clock, notch.HashSeed(cfg.Seed), tickInterval, e.meter, e.executeControl)
	for i, state := range cfg.Lanes {
		execute := func(f notch.Effect) { e.executeLane(i, f) }
		e.lanes = append(e.lanes, newLoop(state, cfg.Clock, notch.HashSeed(cfg.Seed+uint64(i)+1), tickInterval, nil, execute))
	}
	if recovered != nil {
		e.Post(*recovered)
	}
	return e
}

// Post queues an event for the control loop. It never blocks.
func (e *Engine) Post(b notch.Body) { e.control.post(b) }

// send sends a message to a daemon. A message to this daemon itself doesn't pass
// through the link.
func (e *Engine) send(s notch.Send) {
	if s.To == e.cfg.Self.Name {
		e.Post(notch.MessageReceived{From: s.To, Message: s.Message})
		return
	}
	e.cfg.Link.Send(s.To, s.Message)
}

// executeControl carries out an effect of the control loop.
func (e *Engine) executeControl(f notch.Effect) {
	switch f := f.(type) {
	case notch.Send:
		e.send(f)
	case notch.Connect:
		e.cfg.Link.Connect(f.Daemon)
	case notch.SetHello:
		e.cfg.Link.SetHello(f.Hello)
	case notch.Persist, notch.SaveSnapshot, notch.SetCluster:
		if e.journal != nil {
			e.journal.put(f)
		}
	case notch.Answer:
		e.answer(f.Ticket, f)
	case notch.AnswerWorker:
		e.answer(f.Ticket, f)
	case notch.AnswerQuery:
		e.answer(f.Ticket, f)
	case notch.AnswerAgent:
		e.answer(f.Ticket, f)
	case notch.CallAgent:
		e.callAgent(f)
	case notch.ListHosts:
		e.listHosts(f)
	case notch.ToLanes:
		e.postToLanes(f.Body)
	case notch.PlanMade:
		e.meter.planMade(f)
	default:
		e.observe(f)
	}
}

// callAgent sends an order to an agent on a separate goroutine and posts the
// answer. The number of calls at the same time is bounded by the number of runs and
// agents in the state.
func (e *Engine) callAgent(f notch.CallAgent) {
	if e.cfg.Agents == nil {
		return
	}
	sent := e.cfg.Clock.Now()
	e.cfg.Sink.Count(metricCallsUnderWay, 1)
	go func() {
		a := e.cfg.Agents.Call(f)
		e.Post(notch.AgentAnswered{Life: f.Agent.Incarnation(), Order: f.Order, SentAt: sent, ReceivedAt: e.cfg.Clock.Now(), Answer: a})
		e.cfg.Sink.Count(metricCallsUnderWay, -1)
		e.cfg.Sink.Value(metricCallTimePrefix+string(f.Order.Kind), e.cfg.Clock.Now().Sub(sent).Microseconds())
	}()
}

// listHosts asks the inventory on a separate goroutine and posts the outcome.
func (e *Engine) listHosts(f notch.ListHosts) {
	if e.cfg.Hosts == nil {
		return
	}
	asked := e.cfg.Clock.Now()
	go func() {
		hosts, err := e.cfg.Hosts.Hosts(f.Timeout)
		listed := notch.HostsListed{AskedAt: asked, ReceivedAt: e.cfg.Clock.Now(), Hosts: hosts}
		if err != nil {
			listed.Failure = err.Error()
		}
		e.Post(listed)
	}()
}

// The names of the metrics of calls to agents.
const (
	metricCallsUnderWay  = "agent-calls-under-way"
	metricCallTimePrefix = "agent-call-us-" // and the kind of order; from the effect to the answer
)

// postToLanes queues an event for every lane. It keeps what Tables and Leased
// return up to date.
func (e *Engine) postToLanes(b notch.Body) {
	switch b := b.(type) {
	case notch.TablesInForce:
		t := b.Tables
		e.tables.Store(&t)
	case notch.SlotsGranted:
		e.leaseUntil.Store(int64(b.Until))
	case notch.LeaseExtended:
		e.leaseUntil.Store(int64(b.Until))
	}
	for _, l := range e.lanes {
		l.post(b)
	}
}

// executeLane carries out an effect of a lane.
func (e *Engine) executeLane(lane int, f notch.Effect) {
	switch f := f.(type) {
	case notch.Wake:
		time.AfterFunc(f.After, func() { e.lanes[lane].post(f.Body) })
	case notch.Dispatch:
		e.deliver(f.Request, f)
	case notch.Refuse:
		e.deliver(f.Request, f)
	case notch.ToControl:
		e.Post(f.Body)
	default:
		e.observe(f)
	}
}

// observe passes counts and log messages to the sink.
func (e *Engine) observe(f notch.Effect) {
	switch f := f.(type) {
	case notch.Count:
		e.cfg.Sink.Count(f.Name, f.Delta)
	case notch.LogMessage:
		e.cfg.Sink.Log(f)
	}
}

// answer completes the call with the given ticket. It does nothing if that call has
// already ended.
func (e *Engine) answer(ticket uint64, f notch.Effect) {
	e.mu.Lock()
	ch := e.calls[ticket]
	delete(e.calls, ticket)
	e.mu.Unlock()
	if ch != nil {
		ch <- f
	}
}

// call posts the event that makeEvent builds for a new ticket, and waits for the
// answer with that ticket.
func (e *Engine) call(ctx context.Context, makeEvent func(ticket uint64, deadline notch.Time) notch.Body) (notch.Effect, error) {
	ticket := e.lastTicket.Add(1)
	deadline := e.cfg.Clock.Now().Add(defaultCallTimeout)
	if d, ok := ctx.Deadline(); ok {
		deadline = notch.TimeOf(d).Add(-answerMargin)
	}
	ch := make(chan notch.Effect, 1)
	e.mu.Lock()
	e.calls[ticket] = ch
	e.mu.Unlock()
	e.Post(makeEvent(ticket, deadline))
	select {
	case f := <-ch:
		return f, nil
	case <-ctx.Done():
		e.mu.Lock()
		delete(e.calls, ticket)
		e.mu.Unlock()
		return nil, notch.ErrResultUnknown
	case <-e.control.done:
		return nil, errors.Wrap(notch.ErrResultUnknown, "daemon stopped")
	}
}

// answerMargin is how long before the deadline of its context a call ends. The reducer, which
// ends it at a tick, knows whether the command was sent; the expired context doesn't tell.
const answerMargin = 2 * tickInterval

// defaultCallTimeout sets the deadline of a call whose context has none.
const defaultCallTimeout = 10 * time.Second

// Submit has a command committed and returns its result. The error is
// [notch.ErrResultUnknown] if the outcome isn't known before the deadline.
func (e *Engine) Submit(ctx context.Context, c notch.Command) (notch.Result, error) {
	f, err := e.call(ctx, func(ticket uint64, deadline notch.Time) notch.Body {
		return notch.CommandSubmitted{Ticket: ticket, Command: c, Deadline: deadline}
	})
	if err != nil {
		return nil, err
	}
	a := f.(notch.Answer)
	return a.Result, a.Err
}

// Query returns the leader's answer to a query.
func (e *Engine) Query(ctx context.Context, q notch.Query) (notch.QueryResult, error) {
	f, err := e.call(ctx, func(ticket uint64, deadline notch.Time) notch.Body {
		return notch.QuerySubmitted{Ticket: ticket, Question: q, Deadline: deadline}
	})
	if err != nil {
		return notch.QueryResult{}, err
	}
	a := f.(notch.AnswerQuery)
	return a.View, a.Err
}

// Heartbeat passes a worker's heartbeat to the leader.
func (e *Engine) Heartbeat(ctx context.Context, h notch.Heartbeat) (notch.HeartbeatReply, error) {
	f, err := e.call(ctx, func(ticket uint64, deadline notch.Time) notch.Body {
		return notch.HeartbeatSubmitted{Ticket: ticket, Beat: h, Deadline: deadline}
	})
	if err != nil {
		return notch.HeartbeatReply{}, err
	}
	return f.(notch.AnswerWorker).Reply, nil
}

// AnnounceAgent passes on an agent's announcement of its state and waits until that
// state is in force. It returns the operators' address of the daemon that the agent
// should call next; empty if none is known.
func (e *Engine) AnnounceAgent(ctx context.Context, a notch.Agent) (address string, err error) {
	f, err := e.call(ctx, func(ticket uint64, deadline notch.Time) notch.Body {
		return notch.AgentAnnounced{Ticket: ticket, Agent: a, Deadline: deadline}
	})
	if err != nil {
		return "", err
	}
	if k, ok := f.(notch.AnswerAgent); ok {
		return k.Next, nil
	}
	return "", f.(notch.Answer).Err
}

// AnnounceServer passes on the announcement of a backend server.
func (e *Engine) AnnounceServer(b notch.BackendServer) { e.Post(notch.ServerAnnounced{Server: b}) }

// Tables returns the revision of the tables in force.
func (e *Engine) Tables() notch.Tables { return *e.tables.Load() }

// LeasedTables returns the revision of the tables in force. The error is
// [notch.ErrNoLease] if the entry holds no lease.
func (e *Engine) LeasedTables() (notch.Tables, error) {
	// The tables of a grant are stored before its lease, so they are read after it.
	if !e.Leased() {
		return notch.Tables{}, notch.ErrNoLease
	}
	return e.Tables(), nil
}

// Leased reports whether the entry holds a lease and so may send requests.
func (e *Engine) Leased() bool { return e.cfg.Clock.Now() < notch.Time(e.leaseUntil.Load()) }

// Now returns the engine's time.
func (e *Engine) Now() notch.Time { return e.cfg.Clock.Now() }

// Close stops the lanes, then the control loop after it has processed the events
// that the lanes posted, then the journaler after it has synced the records that
// the control loop left, then the connections to agents. Every call returns once they have ended.
func (e *Engine) Close() { e.closeOnce.Do(e.closeAll) }

func (e *Engine) closeAll() {
	for _, l := range e.lanes {
		l.close()
	}
	e.control.close()
	if e.journal != nil {
		e.journal.close()
	}
	if e.cfg.Agents != nil {
		e.cfg.Agents.Close()
	}
	if e.cfg.Hosts != nil {
		e.cfg.Hosts.Close()
	}
}

// Dump returns the state of the parts of every loop, without parts that don't
// implement [notch.Dumper].
func (e *Engine) Dump() Dump {
	var d Dump
	e.control.inspect(func(s notch.State) { d.Control = dumpParts(s) })
	for _, l := range e.lanes {
		l.inspect(func(s notch.State) { d.Lanes = append(d.Lanes, dumpParts(s)) })
	}
	return d
}

// Dump holds the dumped parts of the control loop and of each lane.
type Dump struct {
	Control []any   `json:"control"`
	Lanes   [][]any `json:"lanes"`
}

func dumpParts(s notch.State) []any {
	var out []any
	for _, p := range s.Parts() {
		if d, ok := p.(notch.Dumper); ok {
			out = append(out, d.Dump())
		}
	}
	return out
}
