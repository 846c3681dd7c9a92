// Package gateway is the part that carries commands and questions from the
// front ends of a daemon to the leader, and the outcomes back. What isn't
// answered is sent again until its deadline: commands are idempotent, so a second
// arrival gets the first one's result.
package gateway

import (
	"time"

	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// resendAfter is how long an outcome is awaited before the call is sent again.
const resendAfter = 400 * time.Millisecond

// call is a command or question that waits for its outcome.
type call struct {
	body     notch.Body // Submitted, WorkerCalled or Asked
	deadline notch.Time
	sent     notch.Time // zero: not yet
}

// Part is the gateway of one daemon.
type Part struct {
	self    string
	leader  string
	leading bool
	calls   *immutable.SortedMap[uint64, call]
}

// New returns the gateway of the daemon called self.
func New(self string) Part {
	return Part{self: self, calls: immutable.NewSortedMap[uint64, call](nil)}
}

// Step implements [notch.Part].
func (p Part) Step(e notch.Event) (notch.Part, []notch.Effect) {
	switch b := e.Body.(type) {
	case notch.Submitted:
		return p.start(e.At, b.Ticket, call{body: b, deadline: b.Deadline})
	case notch.WorkerCalled:
		return p.start(e.At, b.Ticket, call{body: b, deadline: b.Deadline})
	case notch.Asked:
		return p.start(e.At, b.Ticket, call{body: b, deadline: b.Deadline})
	case notch.LeaderChanged:
		p.leader = b.Leader
		return p.resend(e.At, 0)
	case notch.Leadership:
		p.leading = b.Leading
		return p, nil
	case notch.Tick:
		p, out := p.expire(e.At)
		next, more := p.resend(e.At, resendAfter)
		return next, append(out, more...)
	case notch.Applied:
		return p.applied(b)
	case notch.BeatAnswered:
		return p.beatAnswered(b)
	case notch.QuestionAnswered:
		return p.found(b)
	case notch.MessageReceived:
		return p.receive(b.From, b.Message)
	}
	return p, nil
}

func (p Part) start(now notch.Time, ticket uint64, c call) (notch.Part, []notch.Effect) {
	out := p.pass(ticket, c)
	if len(out) > 0 {
		c.sent = now
	}
	p.calls = p.calls.Set(ticket, c)
	return p, out
}

// pass sends a call towards the leader. It returns nothing if none is known.
func (p Part) pass(ticket uint64, c call) []notch.Effect {
	if p.leading {
		return []notch.Effect{notch.Emit{Body: localBody(p.self, ticket, c)}}
	}
	if p.leader == "" || p.leader == p.self {
		return nil
	}
	return []notch.Effect{notch.Send{To: p.leader, Message: remoteMessage(ticket, c)}}
}

func localBody(origin string, ticket uint64, c call) notch.Body {
	switch b := c.body.(type) {
	case notch.WorkerCalled:
		return notch.Beat{Origin: origin, Ticket: ticket, Beat: b.Beat}
	case notch.Asked:
		return notch.QuestionArrived{Origin: origin, Ticket: ticket, Question: b.Question}
	default:
		return notch.Proposal{Origin: origin, Ticket: ticket, Command: c.body.(notch.Submitted).Command}
	}
}

func remoteMessage(ticket uint64, c call) notch.Message {
	switch b := c.body.(type) {
	case notch.WorkerCalled:
		return notch.WorkerRequest{Ticket: ticket, Beat: b.Beat}
	case notch.Asked:
		return notch.Query{Ticket: ticket, Question: b.Question}
	default:
		return notch.Forward{Ticket: ticket, Command: c.body.(notch.Submitted).Command}
	}
}

// resend passes every call on that was last sent at least age ago.
func (p Part) resend(now notch.Time, age time.Duration) (notch.Part, []notch.Effect) {
	var out []notch.Effect
	for it := p.calls.Iterator(); !it.Done(); {
		ticket, c, _ := it.Next()
		if c.sent != 0 && now.Sub(c.sent) < age {
			continue
		}
		sent := p.pass(ticket, c)
		if len(sent) == 0 {
			continue
		}
		out = append(out, sent...)
		c.sent = now
		p.calls = p.calls.Set(ticket, c)
	}
	return p, out
}

func (p Part) expire(now notch.Time) (Part, []notch.Effect) {
	var out []notch.Effect
	for it := p.calls.Iterator(); !it.Done(); {
		ticket, c, _ := it.Next()
		if now.Before(c.deadline) {
			continue
		}
		p.calls = p.calls.Delete(ticket)
		out = append(out, timedOut(ticket, c))
	}
	return p, out
}

func timedOut(ticket uint64, c call) notch.Effect {
	switch c.body.(type) {
	case notch.WorkerCalled:
		return notch.AnswerWorker{Ticket: ticket}
	case notch.Asked:
		return notch.AnswerQuery{Ticket: ticket, Err: notch.ErrNotKnown}
	default:
		return notch.Answer{Ticket: ticket, Err: notch.ErrNotKnown}
	}
}

func (p Part) applied(b notch.Applied) (notch.Part, []notch.Effect) {
	if b.Origin == p.self {
		return p.answer(b.Ticket, b.Result)
	}
	if b.Origin == "" || !p.leading {
		return p, nil
	}
	return p, []notch.Effect{notch.Send{To: b.Origin, Message: notch.Outcome{Ticket: b.Ticket, Result: b.Result}}}
}

func (p Part) answer(ticket uint64, r notch.Result) (notch.Part, []notch.Effect) {
	if _, ok := p.calls.Get(ticket); !ok {
		return p, nil
	}
	p.calls = p.calls.Delete(ticket)
	return p, []notch.Effect{notch.Answer{Ticket: ticket, Result: r}}
}

func (p Part) beatAnswered(b notch.BeatAnswered) (notch.Part, []notch.Effect) {
	if b.Origin != p.self {
		return p, []notch.Effect{notch.Send{To: b.Origin, Message: notch.WorkerReply{Ticket: b.Ticket, Reply: b.Reply}}}
	}
	if _, ok := p.calls.Get(b.Ticket); !ok {
		return p, nil
	}
	p.calls = p.calls.Delete(b.Ticket)
	return p, []notch.Effect{notch.AnswerWorker{Ticket: b.Ticket, Reply: b.Reply}}
}

func (p Part) found(b notch.QuestionAnswered) (notch.Part, []notch.Effect) {
	if b.Origin != p.self {
		return p, []notch.Effect{notch.Send{To: b.Origin, Message: notch.QueryAnswer{Ticket: b.Ticket, View: b.View}}}
	}
	if _, ok := p.calls.Get(b.Ticket); !ok {
		return p, nil
	}
	p.calls = p.calls.Delete(b.Ticket)
	return p, []notch.Effect{notch.AnswerQuery{Ticket: b.Ticket, View: b.View}}
}

func (p Part) receive(from string, m notch.Message) (notch.Part, []notch.Effect) {
	switch m := m.(type) {
	case notch.Outcome:
		return p.answer(m.Ticket, m.Result)
	case notch.WorkerReply:
		return p.beatAnswered(notch.BeatAnswered{Origin: p.self, Ticket: m.Ticket, Reply: m.Reply})
	case notch.QueryAnswer:
		return p.found(notch.QuestionAnswered{Origin: p.self, Ticket: m.Ticket, View: m.View})
	}
	body := calledFor(from, m)
	if body == nil {
		return p, nil
	}
	if !p.leading {
		return p, []notch.Effect{notch.Send{To: from, Message: notch.LeaderHint{Leader: p.leader}}}
	}
	return p, []notch.Effect{notch.Emit{Body: body}}
}

// calledFor returns what a message asks of the leader, or nil.
func calledFor(from string, m notch.Message) notch.Body {
	switch m := m.(type) {
	case notch.Forward:
		return notch.Proposal{Origin: from, Ticket: m.Ticket, Command: m.Command}
	case notch.WorkerRequest:
		return notch.Beat{Origin: from, Ticket: m.Ticket, Beat: m.Beat}
	case notch.Query:
		return notch.QuestionArrived{Origin: from, Ticket: m.Ticket, Question: m.Question}
	}
	return nil
}
