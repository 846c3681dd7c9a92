package engine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	notch "tamaracknotch"
)

// tickEvery is the period of ticks: the resolution of every timeout.
const tickEvery = 50 * time.Millisecond

// Sink takes counters and state changes for metrics and logs.
type Sink interface {
	Count(name string, delta int64)
	Notice(n notch.Notice)
}

// Config says what an engine runs.
type Config struct {
	Self    notch.Daemon
	Control notch.State
	Lanes   []notch.State
	Clock   notch.Clock
	Seed    uint64
	Link    notch.Link
	Journal notch.Journal // nil without a data folder
	Agents  notch.Agents  // nil if no agents take orders
	Sink    Sink
}

// Engine runs the control loop and the lanes of one daemon.
type Engine struct {
	cfg      Config
	control  *loop
	lanes    []*loop
	journal  *journaler
	tickets  atomic.Uint64
	requests atomic.Uint64
	tables   atomic.Pointer[notch.Tables]
	until    atomic.Int64 // end of the entry's lease

	mu      sync.Mutex
	waiting map[uint64]chan notch.Effect // by ticket
	callers map[uint64]chan notch.Effect // by request
}

// New starts the loops. The journal has to be loaded; recovered is what it held.
func New(cfg Config, recovered *notch.Recovered) *Engine {
	e := &Engine{cfg: cfg, waiting: map[uint64]chan notch.Effect{}, callers: map[uint64]chan notch.Effect{}}
	e.tables.Store(&notch.Tables{})
	// An answer that is under way to an earlier process of this name must not
	// match a call of this one.
	e.tickets.Store(notch.Mix(cfg.Seed) >> 1)
	if cfg.Journal != nil {
		e.journal = newJournaler(cfg.Journal, e.Post, e.send)
	}
	e.control = newLoop(cfg.Control, cfg.Clock, notch.Mix(cfg.Seed), tickEvery, e.runControl)
	for i, s := range cfg.Lanes {
		run := func(f notch.Effect) { e.runLane(i, f) }
		e.lanes = append(e.lanes, newLoop(s, cfg.Clock, notch.Mix(cfg.Seed+uint64(i)+1), tickEvery, run))
	}
	if recovered != nil {
		e.Post(*recovered)
	}
	return e
}

// Post hands an event to the control loop. It never blocks.
func (e *Engine) Post(b notch.Body) { e.control.post(b) }

func (e *Engine) send(s notch.Send) {
	if s.To == e.cfg.Self.Name {
		e.Post(notch.MessageReceived{From: s.To, Message: s.Message})
		return
	}
	e.cfg.Link.Send(s.To, s.Message)
}

func (e *Engine) runControl(f notch.Effect) {
	switch f := f.(type) {
	case notch.Send:
		e.send(f)
	case notch.Connect:
		e.cfg.Link.Connect(f.Daemon)
	case notch.SetHello:
		e.cfg.Link.SetHello(f.Hello)
	case notch.Persist, notch.SaveSnapshot, notch.AdoptCluster:
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
	case notch.ToLanes:
		e.toLanes(f.Body)
	default:
		e.report(f)
	}
}

// callAgent has an order carried out on a goroutine of its own; the number of calls
// under way is bounded by the runs and agents that the state holds.
func (e *Engine) callAgent(f notch.CallAgent) {
	if e.cfg.Agents == nil {
		return
	}
	sent := e.cfg.Clock.Now()
	go func() {
		a := e.cfg.Agents.Call(f)
		e.Post(notch.AgentAnswered{Life: f.Agent.Life(), Order: f.Order, SentAt: sent, Answer: a})
	}()
}

func (e *Engine) toLanes(b notch.Body) {
	switch b := b.(type) {
	case notch.TablesApplied:
		t := b.Tables
		e.tables.Store(&t)
	case notch.SlotsGranted:
		e.until.Store(int64(b.Until))
	case notch.LeaseExtended:
		e.until.Store(int64(b.Until))
	}
	for _, l := range e.lanes {
		l.post(b)
	}
}

func (e *Engine) runLane(lane int, f notch.Effect) {
	switch f := f.(type) {
	case notch.Wake:
		time.AfterFunc(f.After, func() { e.lanes[lane].post(f.Body) })
	case notch.Dispatch:
		e.toCaller(f.Request, f)
	case notch.Refuse:
		e.toCaller(f.Request, f)
	case notch.ToControl:
		e.Post(f.Body)
	default:
		e.report(f)
	}
}

func (e *Engine) report(f notch.Effect) {
	switch f := f.(type) {
	case notch.Count:
		e.cfg.Sink.Count(f.Name, f.Delta)
	case notch.Notice:
		e.cfg.Sink.Notice(f)
	}
}

func (e *Engine) answer(ticket uint64, f notch.Effect) {
	e.mu.Lock()
	ch := e.waiting[ticket]
	delete(e.waiting, ticket)
	e.mu.Unlock()
	if ch != nil {
		ch <- f
	}
}

// call posts what start makes of a ticket and waits for the answer to it.
func (e *Engine) call(ctx context.Context, start func(ticket uint64, deadline notch.Time) notch.Body) (notch.Effect, error) {
	ticket := e.tickets.Add(1)
	deadline := e.cfg.Clock.Now().Add(defaultPatience)
	if d, ok := ctx.Deadline(); ok {
		deadline = notch.TimeOf(d)
	}
	ch := make(chan notch.Effect, 1)
	e.mu.Lock()
	e.waiting[ticket] = ch
	e.mu.Unlock()
	e.Post(start(ticket, deadline))
	select {
	case f := <-ch:
		return f, nil
	case <-ctx.Done():
		e.mu.Lock()
		delete(e.waiting, ticket)
		e.mu.Unlock()
		return nil, notch.ErrNotKnown
	case <-e.control.done:
		return nil, errors.Wrap(notch.ErrNotKnown, "daemon stopped")
	}
}

// defaultPatience bounds a call whose context has no deadline.
const defaultPatience = 10 * time.Second

// Submit has a command committed and returns its result. The error is ErrNotKnown
// if the outcome couldn't be learned in time.
func (e *Engine) Submit(ctx context.Context, c notch.Command) (notch.Result, error) {
	f, err := e.call(ctx, func(ticket uint64, deadline notch.Time) notch.Body {
		return notch.Submitted{Ticket: ticket, Command: c, Deadline: deadline}
	})
	if err != nil {
		return nil, err
	}
	a := f.(notch.Answer)
	return a.Result, a.Err
}

// Ask returns the leader's answer to a question.
func (e *Engine) Ask(ctx context.Context, q notch.Question) (notch.View, error) {
	f, err := e.call(ctx, func(ticket uint64, deadline notch.Time) notch.Body {
		return notch.Asked{Ticket: ticket, Question: q, Deadline: deadline}
	})
	if err != nil {
		return notch.View{}, err
	}
	a := f.(notch.AnswerQuery)
	return a.View, a.Err
}

// Beat passes a worker's heartbeat to the leader.
func (e *Engine) Beat(ctx context.Context, h notch.Heartbeat) (notch.HeartbeatReply, error) {
	f, err := e.call(ctx, func(ticket uint64, deadline notch.Time) notch.Body {
		return notch.WorkerCalled{Ticket: ticket, Beat: h, Deadline: deadline}
	})
	if err != nil {
		return notch.HeartbeatReply{}, err
	}
	return f.(notch.AnswerWorker).Reply, nil
}

// Say passes on an agent's word about itself. It returns the operators' address that
// the agent should call next, if one is known, once the word is in force.
func (e *Engine) Say(ctx context.Context, a notch.Agent) (next string, err error) {
	f, err := e.call(ctx, func(ticket uint64, deadline notch.Time) notch.Body {
		return notch.AgentSaid{Ticket: ticket, Agent: a, Deadline: deadline}
	})
	if err != nil {
		return "", err
	}
	if k, ok := f.(notch.AnswerAgent); ok {
		return k.Next, nil
	}
	return "", f.(notch.Answer).Err
}

// Announce takes a backend server's word.
func (e *Engine) Announce(b notch.BackendServer) { e.Post(notch.Announced{Server: b}) }

// Tables returns the revision in force.
func (e *Engine) Tables() notch.Tables { return *e.tables.Load() }

// Leased reports whether the entry may send requests now.
func (e *Engine) Leased() bool { return e.cfg.Clock.Now() < notch.Time(e.until.Load()) }

// Now returns the engine's time.
func (e *Engine) Now() notch.Time { return e.cfg.Clock.Now() }

// Close ends the loops: lanes first, the control loop after what they posted,
// the journal after what that left to sync.
func (e *Engine) Close() {
	for _, l := range e.lanes {
		l.close()
	}
	e.control.close()
	if e.journal != nil {
		e.journal.close()
	}
}

// Dump returns the state of every part of every loop, for those that show it.
func (e *Engine) Dump() Dump {
	var d Dump
	e.control.look(func(s notch.State) { d.Control = dumpParts(s) })
	for _, l := range e.lanes {
		l.look(func(s notch.State) { d.Lanes = append(d.Lanes, dumpParts(s)) })
	}
	return d
}

// Dump is the state of a process.
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
