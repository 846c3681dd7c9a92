package fake

import (
	"slices"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/drive"
)

// Agent is a stand-in for a worker that takes orders.
type Agent struct {
	notch.Agent
	Up     bool
	CutOff bool    // no call and no answer passes
	Late   float64 // share of the orders that get no answer and are carried out late
	Broken bool    // fails everything that it starts
	Drift  float64 // of its clock
	Work   func(ref notch.TaskRef) time.Duration

	life     int
	started  time.Duration // when this life began
	token    uint64
	deadline int64 // end of the lease by its clock in ms
	runs     map[notch.RunRef]*agentRun
	shut     map[notch.TaskRef]uint64 // highest run that was stopped or has ended
	ends     []listedEnd
	next     uint64
	waiting  []func() // holds that wait for an end
}

type agentRun struct{ since time.Duration }

// listedEnd is an end that wasn't acknowledged yet. After a lapse of the lease it
// counts for nothing any more.
type listedEnd struct {
	notch.ListedEnd
	void bool
}

// The behaviour of stand-ins for agents.
const (
	agentBeat   = time.Second
	agentDelay  = 4 * time.Millisecond // one way between a daemon and an agent
	agentStop   = 50 * time.Millisecond
	longestRun  = 24 * time.Hour   // of a task that lasts
	latestCall  = 12 * time.Second // of an order that is carried out late
	soonestCall = 2 * time.Second
)

// AddAgent starts an agent. Work tells how long a run takes.
func (s *Site) AddAgent(a notch.Agent, work func(notch.TaskRef) time.Duration) *Agent {
	x := &Agent{Agent: a, Work: work}
	s.Agents[a.ID] = x
	s.StartAgent(x)
	return x
}

// StartAgent begins another life of an agent, which runs nothing.
func (s *Site) StartAgent(a *Agent) {
	a.Up, a.Draining = true, false
	a.life++
	a.Born = int64(a.life)
	a.started = s.Now()
	a.token, a.deadline, a.next = 0, 0, 0
	a.runs, a.shut = map[notch.RunRef]*agentRun{}, map[notch.TaskRef]uint64{}
	a.ends, a.waiting = nil, nil
	s.saying(a, a.life)
	s.lapsing(a, a.life)
}

// KillAgent ends an agent without a word.
func (s *Site) KillAgent(a *Agent) {
	a.Up = false
	a.life++
	for ref := range a.runs {
		s.account.ended(ref, false)
	}
}

// agentClock returns the agent's time in ms.
func (s *Site) agentClock(a *Agent) int64 {
	return int64(float64((s.Now() - a.started).Milliseconds()) * (1 + a.Drift))
}

// saying repeats what the agent says of itself, to any replica.
func (s *Site) saying(a *Agent, life int) {
	if a.life != life {
		return
	}
	var replicas []*drive.Node
	for _, n := range s.Up() {
		if n.Self.Replica {
			replicas = append(replicas, n)
		}
	}
	if len(replicas) > 0 && !a.CutOff {
		n := replicas[s.Rand.IntN(len(replicas))]
		s.tickets++
		s.Post(n, notch.AgentSaid{Ticket: s.tickets, Agent: a.Agent, Deadline: s.Time(n).Add(agentBeat)})
	}
	s.After(agentBeat, func() { s.saying(a, life) })
}

// lapsing ends everything when the lease is over.
func (s *Site) lapsing(a *Agent, life int) {
	if a.life != life {
		return
	}
	if s.agentClock(a) > a.deadline {
		for i := range a.ends {
			a.ends[i].void = true
		}
		for _, ref := range s.refsOf(a) {
			s.endRun(a, ref, notch.RunLapsed)
		}
	}
	s.After(20*time.Millisecond, func() { s.lapsing(a, life) })
}

// refsOf lists the runs of an agent in a stable order.
func (s *Site) refsOf(a *Agent) []notch.RunRef {
	var out []notch.RunRef
	for ref := range a.runs {
		out = append(out, ref)
	}
	slices.SortFunc(out, func(x, y notch.RunRef) int {
		return slices.Compare([]string{x.Task.String()}, []string{y.Task.String()})
	})
	return out
}

// callAgent carries an order to its agent and the answer back.
func (s *Site) callAgent(n *drive.Node, f notch.CallAgent) {
	sent, done := s.Time(n), false
	answer := func(ans notch.AgentAnswer) {
		if !done {
			done = true
			s.Post(n, notch.AgentAnswered{Life: f.Agent.Life(), Order: f.Order, SentAt: sent, Answer: ans})
		}
	}
	s.After(f.Timeout, func() { answer(notch.AgentAnswer{Kind: notch.AgentSilent}) })
	a := s.Agents[f.Agent.ID]
	if a == nil {
		return
	}
	late := time.Duration(0)
	back := func(ans notch.AgentAnswer) {
		s.After(agentDelay, func() {
			if !a.CutOff {
				answer(ans)
			}
		})
	}
	if s.Rand.Float64() < a.Late {
		late = soonestCall + time.Duration(s.Rand.Float64()*float64(latestCall-soonestCall))
		back = func(notch.AgentAnswer) {}
	}
	s.After(agentDelay, func() {
		// Whatever reached a life ends with it.
		life := a.life
		if !a.Up || a.CutOff {
			return
		}
		s.After(late, func() {
			if a.life == life {
				s.obeyOrder(a, f.Order, back)
			}
		})
	})
}

// obeyOrder carries an order out.
func (s *Site) obeyOrder(a *Agent, o notch.AgentOrder, back func(notch.AgentAnswer)) {
	life := a.life
	refuse := func(r notch.AgentReason) {
		back(notch.AgentAnswer{Kind: notch.AgentRefused, Reason: r, Clock: s.agentClock(a), Born: a.Born})
	}
	if o.Token < a.token {
		refuse(notch.ReasonFence)
		return
	}
	a.token = o.Token
	switch o.Kind {
	case notch.AgentStart:
		if o.Deadline < s.agentClock(a) {
			refuse(notch.ReasonLate)
			return
		}
		a.deadline = max(a.deadline, o.Deadline)
		if reason := s.begin(a, o); reason != "" {
			refuse(reason)
			return
		}
	case notch.AgentStop:
		a.shut[o.Run.Task] = max(a.shut[o.Run.Task], o.Run.Number)
		s.After(agentStop, func() {
			if a.life == life && a.runs[o.Run] != nil {
				s.endRun(a, o.Run, notch.RunStopped)
			}
		})
	case notch.AgentHold:
		a.deadline = max(a.deadline, o.Deadline)
		s.forget(a, o.Ack)
		s.wait(a, o, back)
		return
	}
	back(notch.AgentAnswer{Kind: notch.AgentOK, Clock: s.agentClock(a), Born: a.Born})
}

// begin starts a run, or returns why not.
func (s *Site) begin(a *Agent, o notch.AgentOrder) notch.AgentReason {
	if a.runs[o.Run] != nil {
		return ""
	}
	if a.shut[o.Run.Task] >= o.Run.Number {
		return notch.ReasonOld
	}
	st, ok := s.account.stage(o.Run.Task)
	used := notch.Resources{}
	for ref := range a.runs {
		other, _ := s.account.stage(ref.Task)
		used = used.Plus(other.Reserved())
	}
	if ok && !st.Reserved().Fits(a.Size.Minus(used)) {
		return notch.ReasonRoom
	}
	s.account.began(s, a, o)
	r := &agentRun{since: s.Now()}
	a.runs[o.Run] = r
	life, kind := a.life, notch.RunDone
	if a.Broken {
		kind = notch.RunFailed
	}
	took := a.Work(o.Run.Task)
	if st.Lasts {
		took = longestRun
	}
	s.After(took, func() {
		if a.life == life && a.runs[o.Run] == r {
			s.endRun(a, o.Run, kind)
		}
	})
	return ""
}

// endRun ends a run and lists the end.
func (s *Site) endRun(a *Agent, ref notch.RunRef, kind notch.RunEndKind) {
	delete(a.runs, ref)
	a.shut[ref.Task] = max(a.shut[ref.Task], ref.Number)
	s.account.ended(ref, kind == notch.RunDone)
	a.next++
	a.ends = append(a.ends, listedEnd{ListedEnd: notch.ListedEnd{N: a.next, End: notch.RunEnd{Run: ref, Kind: kind}}})
	waiting := a.waiting
	a.waiting = nil
	for _, w := range waiting {
		w()
	}
}

// forget drops acknowledged ends, which count from then on.
func (s *Site) forget(a *Agent, upTo uint64) {
	for len(a.ends) > 0 && a.ends[0].N <= upTo {
		if !a.ends[0].void {
			s.account.noted(a.ends[0].End)
		}
		a.ends = a.ends[1:]
	}
}

// wait answers a hold at once if ends are listed, else at the next end or in time.
func (s *Site) wait(a *Agent, o notch.AgentOrder, back func(notch.AgentAnswer)) {
	life, done := a.life, false
	answer := func() {
		if done || a.life != life {
			return
		}
		done = true
		ans := notch.AgentAnswer{Kind: notch.AgentOK, Clock: s.agentClock(a), Born: a.Born}
		for _, ref := range s.refsOf(a) {
			ans.Live = append(ans.Live, notch.LiveRun{Run: ref, Progress: 50})
		}
		for _, e := range a.ends {
			ans.Ends = append(ans.Ends, e.ListedEnd)
		}
		back(ans)
	}
	if len(a.ends) > 0 || o.Wait == 0 {
		answer()
		return
	}
	a.waiting = append(a.waiting, answer)
	s.After(o.Wait, answer)
}
