// Package gateway forwards commands, queries and worker heartbeats from the front
// ends of a daemon to the leader, and returns the results. It resends a call that isn't
// answered until the call's deadline. That is safe because commands are idempotent: a
// command that arrives twice gets the result of its first arrival.
package gateway

import (
	"time"

	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// The time after which an unanswered call is sent again doubles with each send to the same
// leader, because a leader that is slow to answer is probably overloaded.
const (
	minResendInterval = 400 * time.Millisecond
	maxResendInterval = 1600 * time.Millisecond
)

// Counters of the calls that ended at their deadline.
const (
	metricUnanswered    = "calls-unanswered"     // by a leader to which they were sent
	metricWithoutLeader = "calls-without-leader" // no leader was known until then
)

// call is a command, query or worker heartbeat that waits for its result.
type call struct {
	body     notch.Body // CommandSubmitted, HeartbeatSubmitted or QuerySubmitted
	deadline notch.Time
	sent     bool          // to any leader
	resendAt notch.Time    // when it is sent to the leader again; zero: at once
	interval time.Duration // between the last send and resendAt
}

// withSend returns the call after it was sent.
func (c call) withSend(now notch.Time) call {
	c.interval = min(max(2*c.interval, minResendInterval), maxResendInterval)
	c.sent, c.resendAt = true, now.Add(c.interval)
	return c
}

// withNewLeader returns the call as it is sent to a new leader: at once.
func (c call) withNewLeader() call {
	c.resendAt, c.interval = 0, 0
	return c
}

// Part is the gateway state of one daemon.
type Part struct {
	self       string
	leader     string
	lastLeader notch.LeaderChanged // the latest one that names a leader
	leading    bool
	replicas   notch.ReplicaSet
	calls      *immutable.SortedMap[uint64, call]
	results    results // of calls of all daemons; on replicas only
}

// New returns the gateway of the daemon named self.
func New(self string) Part {
	return Part{self: self, calls: immutable.NewSortedMap[uint64, call](nil), results: newResults()}
}

// Step implements [notch.Part].
func (p Part) Step(e notch.Event) (notch.Part, []notch.Effect) {
	switch b := e.Body.(type) {
	case notch.CommandSubmitted:
		return p.startCall(e.At, b.Ticket, call{body: b, deadline: b.Deadline})
	case notch.HeartbeatSubmitted:
		return p.startCall(e.At, b.Ticket, call{body: b, deadline: b.Deadline})
	case notch.QuerySubmitted:
		return p.startCall(e.At, b.Ticket, call{body: b, deadline: b.Deadline})
	case notch.LeaderChanged:
		return p.leaderChanged(e.At, b)
	case notch.Leadership:
		if b.Leading == p.leading {
			return nil, nil
		}
		p.leading = b.Leading
		return p, nil
	case notch.ReplicasChanged:
		p.replicas = b.Set
		return p, nil
	case notch.Tick:
		if p.calls.Len() == 0 {
			return nil, nil
		}
		p, out := p.expire(e.At)
		next, more := p.resend(e.At)
		return next, append(out, more...)
	case notch.Applied:
		return p.applied(e.At, b)
	case notch.HeartbeatAnswered:
		return p.heartbeatAnswered(b)
	case notch.QueryAnswered:
		return p.queryAnswered(b)
	case notch.MessageReceived:
		return p.receive(b.From, b.Message)
	}
	return nil, nil
}

func (p Part) startCall(now notch.Time, ticket uint64, c call) (notch.Part, []notch.Effect) {
	out := p.sendToLeader(ticket, c)
	if len(out) > 0 {
		c = c.withSend(now)
	}
	p.calls = p.calls.Set(ticket, c)
	return p, out
}

// sendToLeader returns the effects that send a call to the leader, or none if the leader
// is unknown.
func (p Part) sendToLeader(ticket uint64, c call) []notch.Effect {
	if p.leading {
		return []notch.Effect{notch.Emit{Body: localEvent(p.self, ticket, c)}}
	}
	if p.leader == "" || p.leader == p.self {
		return nil
	}
	return []notch.Effect{notch.Send{To: p.leader, Message: remoteMessage(ticket, c)}}
}

// localEvent returns the event for a call if this daemon is the leader.
func localEvent(origin string, ticket uint64, c call) notch.Body {
	switch b := c.body.(type) {
	case notch.HeartbeatSubmitted:
		return notch.HeartbeatReceived{Origin: origin, Ticket: ticket, Beat: b.Beat}
	case notch.QuerySubmitted:
		return notch.QueryReceived{Origin: origin, Ticket: ticket, Question: b.Question}
	default:
		return notch.Proposal{Origin: origin, Ticket: ticket, Command: c.body.(notch.CommandSubmitted).Command}
	}
}

// remoteMessage returns the message for a call if another daemon is the leader.
func remoteMessage(ticket uint64, c call) notch.Message {
	switch b := c.body.(type) {
	case notch.HeartbeatSubmitted:
		return notch.WorkerRequest{Ticket: ticket, Beat: b.Beat}
	case notch.QuerySubmitted:
		return notch.QueryRequest{Ticket: ticket, Question: b.Question}
	default:
		return notch.Forward{Ticket: ticket, Command: c.body.(notch.CommandSubmitted).Command}
	}
}

// leaderChanged sends the calls to a new leader. If the leader of the same term is only known
// again, the calls wait as long as if it had been known all the time.
func (p Part) leaderChanged(now notch.Time, b notch.LeaderChanged) (notch.Part, []notch.Effect) {
	p.leader = b.Leader
	if b.Leader != "" && b != p.lastLeader {
		p.lastLeader = b
		p = p.withNewLeader()
	}
	return p.resend(now)
}

// withNewLeader returns p with every call due to be sent.
func (p Part) withNewLeader() Part {
	for it := p.calls.Iterator(); !it.Done(); {
		ticket, c, _ := it.Next()
		p.calls = p.calls.Set(ticket, c.withNewLeader())
	}
	return p
}

// resend sends the calls that are due.
func (p Part) resend(now notch.Time) (notch.Part, []notch.Effect) {
	var out []notch.Effect
	for it := p.calls.Iterator(); !it.Done(); {
		ticket, c, _ := it.Next()
		if now.Before(c.resendAt) {
			continue
		}
		sent := p.sendToLeader(ticket, c)
		if len(sent) == 0 {
			continue
		}
		out = append(out, sent...)
		p.calls = p.calls.Set(ticket, c.withSend(now))
	}
	return p, out
}

// expire ends the calls whose deadline has passed.
func (p Part) expire(now notch.Time) (Part, []notch.Effect) {
	var out []notch.Effect
	for it := p.calls.Iterator(); !it.Done(); {
		ticket, c, _ := it.Next()
		if now.Before(c.deadline) {
			continue
		}
		p.calls = p.calls.Delete(ticket)
		out = append(out, timeoutAnswer(ticket, c), notch.Count{Name: timeoutMetric(c), Delta: 1})
	}
	return p, out
}

// timeoutMetric returns the name of the counter for a call whose deadline has passed.
func timeoutMetric(c call) string {
	if c.sent {
		return metricUnanswered
	}
	return metricWithoutLeader
}

// timeoutAnswer returns the effect that ends a call whose deadline has passed.
func timeoutAnswer(ticket uint64, c call) notch.Effect {
	switch c.body.(type) {
	case notch.HeartbeatSubmitted:
		return notch.AnswerWorker{Ticket: ticket}
	case notch.QuerySubmitted:
		return notch.AnswerQuery{Ticket: ticket, Err: notch.ErrResultUnknown}
	}
	if !c.sent {
		return notch.Answer{Ticket: ticket, Err: notch.ErrNotRun}
	}
	return notch.Answer{Ticket: ticket, Err: notch.ErrResultUnknown}
}

func (p Part) applied(now notch.Time, b notch.Applied) (notch.Part, []notch.Effect) {
	if b.Origin == p.self {
		return p.answer(b.Ticket, b.Result)
	}
	if b.Origin == "" {
		return nil, nil
	}
	p.results = p.results.with(now, callID{b.Origin, b.Ticket}, b.Result)
	if !p.leading {
		return p, nil
	}
	return p, p.sendResult(b)
}

// sendResult returns the effects that bring a result to the daemon that waits for it.
func (p Part) sendResult(b notch.Applied) []notch.Effect {
	if p.learnsFromLog(b) {
		return nil
	}
	return []notch.Effect{notch.Send{To: b.Origin, Message: notch.Outcome{Ticket: b.Ticket, Result: b.Result}}}
}

// learnsFromLog reports whether the daemon that waits for a result gets it when it applies the log
// entry itself. The tables are large, and a replica has them.
func (p Part) learnsFromLog(b notch.Applied) bool {
	_, large := b.Result.(notch.TablesResult)
	return large && p.replicas.HasNamed(b.Origin)
}

func (p Part) answer(ticket uint64, r notch.Result) (notch.Part, []notch.Effect) {
	if _, ok := p.calls.Get(ticket); !ok {
		return nil, nil
	}
	p.calls = p.calls.Delete(ticket)
	return p, []notch.Effect{notch.Answer{Ticket: ticket, Result: r}}
}

func (p Part) heartbeatAnswered(b notch.HeartbeatAnswered) (notch.Part, []notch.Effect) {
	if b.Origin != p.self {
		return nil, []notch.Effect{notch.Send{To: b.Origin, Message: notch.WorkerReply{Ticket: b.Ticket, Reply: b.Reply}}}
	}
	if _, ok := p.calls.Get(b.Ticket); !ok {
		return nil, nil
	}
	p.calls = p.calls.Delete(b.Ticket)
	return p, []notch.Effect{notch.AnswerWorker{Ticket: b.Ticket, Reply: b.Reply}}
}

func (p Part) queryAnswered(b notch.QueryAnswered) (notch.Part, []notch.Effect) {
	if b.Origin != p.self {
		return nil, []notch.Effect{notch.Send{To: b.Origin, Message: notch.QueryReply{Ticket: b.Ticket, View: b.View}}}
	}
	if _, ok := p.calls.Get(b.Ticket); !ok {
		return nil, nil
	}
	p.calls = p.calls.Delete(b.Ticket)
	return p, []notch.Effect{notch.AnswerQuery{Ticket: b.Ticket, View: b.View}}
}

func (p Part) receive(from string, m notch.Message) (notch.Part, []notch.Effect) {
	switch m := m.(type) {
	case notch.Outcome:
		return p.answer(m.Ticket, m.Result)
	case notch.WorkerReply:
		return p.heartbeatAnswered(notch.HeartbeatAnswered{Origin: p.self, Ticket: m.Ticket, Reply: m.Reply})
	case notch.QueryReply:
		return p.queryAnswered(notch.QueryAnswered{Origin: p.self, Ticket: m.Ticket, View: m.View})
	}
	body := leaderRequest(from, m)
	if body == nil {
		return nil, nil
	}
	if !p.leading {
		return nil, []notch.Effect{notch.Send{To: from, Message: notch.LeaderHint{Leader: p.leader}}}
	}
	if r, ok := p.resultOf(body); ok {
		return nil, p.sendResult(r)
	}
	return nil, []notch.Effect{notch.Emit{Body: body}}
}

// resultOf returns the result of a request, if it is a command that was applied recently.
func (p Part) resultOf(request notch.Body) (notch.Applied, bool) {
	c, ok := request.(notch.Proposal)
	if !ok {
		return notch.Applied{}, false
	}
	result, ok := p.results.get(callID{c.Origin, c.Ticket})
	return notch.Applied{Origin: c.Origin, Ticket: c.Ticket, Result: result}, ok
}

// leaderRequest returns the event for a message that is a request to the leader, or nil for
// other messages.
func leaderRequest(from string, m notch.Message) notch.Body {
	switch m := m.(type) {
	case notch.Forward:
		return notch.Proposal{Origin: from, Ticket: m.Ticket, Command: m.Command}
	case notch.WorkerRequest:
		return notch.HeartbeatReceived{Origin: from, Ticket: m.Ticket, Beat: m.Beat}
	case notch.QueryRequest:
		return notch.QueryReceived{Origin: from, Ticket: m.Ticket, Question: m.Question}
	}
	return nil
}
