package fake

import (
	"slices"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/drive"
)

// Agent simulates a worker that takes orders.
type Agent struct {
	notch.Agent
	Up          bool
	CutOff      bool                                  // all its calls and answers are lost
	AnswersLost bool                                  // it carries out orders, and all its answers are lost
	Dark        bool                                  // its host goes dark when it ends: open calls to it time out instead of breaking off, and orders wait for its next incarnation
	Deaf        bool                                  // no orders reach it; what it announces arrives
	LateShare   float64                               // fraction of the orders that get no answer and are carried out late
	LateKind    notch.AgentOrderKind                  // the only kind of orders that are late; empty: each kind
	Broken      bool                                  // every run fails
	Fails       func(ref notch.RunRef) bool           // whether a run fails; nil: only those of a broken agent do
	Unguarded   bool                                  // it starts whatever it is ordered to, also beyond its size
	Crashes     func(ref notch.TaskRef) bool          // whether a task crashes the agent soon after its start; nil: none does
	NewID       bool                                  // after a crash by a task, it comes back under a new id at its address
	Drift       float64                               // relative error of its clock
	ClockStart  time.Duration                         // what its clock reads at the start of its next incarnation
	FirstReport time.Duration                         // from its next start to its first announcement
	RunTime     func(ref notch.TaskRef) time.Duration // duration of a run
	Report      func(ref notch.RunRef) notch.LiveRun  // what it reports about a run in progress; nil: half of it is done

	refuses         bool          // it is down, and its host refuses connections to it
	generation      int           // grows at every start and kill; timers of an earlier one do nothing
	startedAt       time.Duration // when this incarnation started
	clockStart      time.Duration // what its clock read then
	token           uint64        // highest fencing token that it has seen
	leaseEnd        int64         // in ms by its clock
	runs            map[notch.RunRef]*agentRun
	highestEnded    map[notch.TaskRef]uint64 // highest number of a run that was stopped or has ended
	formerSizes     []formerSize             // sizes that still count, as the leader may not know of the change
	ends            []listedEnd              // not acknowledged yet
	openCalls       []*agentCall             // that it has received and not answered
	heldOrders      []func()                 // receive the orders that arrived while its host was dark
	lastEnd         uint64                   // position of the latest end in the list
	pendingRenewals []func()                 // answer the lease renewals that wait for a run to end
}

// agentRun is a run in progress on an agent.
type agentRun struct{ startedAt time.Duration }

// listedEnd is an end that is not acknowledged yet. It is invalid if the lease has
// expired under a run since: its acknowledgement then no longer counts.
type listedEnd struct {
	notch.ListedEnd
	invalid bool
}

// formerSize is a size that an agent had until a change.
type formerSize struct {
	size  notch.Resources
	until time.Duration // from then on it no longer counts
}

// The timing of simulated agents.
const (
	agentAnnouncePeriod = time.Second
	agentNetworkDelay   = 4 * time.Millisecond // one-way delay between a daemon and an agent
	agentStopTime       = 50 * time.Millisecond
	maxAgentLease       = 10 * time.Second // agents shorten longer leases
	longRunTime         = 24 * time.Hour   // run time of a long-running task
	maxOrderDelay       = 12 * time.Second // of a late order
	minOrderDelay       = 2 * time.Second
	maxCrashDelay       = 20 * time.Millisecond // from the start of a task that crashes its agent
	agentRestartTime    = 3200 * time.Millisecond
	maxSizeChangeDelay  = 4 * time.Second // after which the leader has to know of a change of an agent's size: contact and one announcement
)

// AddAgent adds and starts an agent. RunTime returns the duration of a run.
func (s *Testbed) AddAgent(a notch.Agent, runTime func(notch.TaskRef) time.Duration) *Agent {
	x := &Agent{Agent: a, RunTime: runTime}
	s.Agents[a.ID] = x
	if s.Inventory != nil {
		x.Host = hostOf(a.ID)
		s.addHost(x.Host)
	}
	s.StartAgent(x)
	return x
}

// StartAgent starts a new incarnation of an agent, without runs.
func (s *Testbed) StartAgent(a *Agent) {
	a.Up, a.Draining, a.refuses = true, false, false
	a.generation++
	a.Born = int64(a.generation)
	a.startedAt, a.clockStart = s.Now(), a.ClockStart
	a.token, a.leaseEnd, a.lastEnd = 0, 0, 0
	a.runs, a.highestEnded = map[notch.RunRef]*agentRun{}, map[notch.TaskRef]uint64{}
	a.ends, a.pendingRenewals = nil, nil
	if generation := a.generation; a.FirstReport > 0 {
		s.After(a.FirstReport, func() { s.announceAgent(a, generation) })
	} else {
		s.announceAgent(a, generation)
	}
	s.checkAgentLease(a, a.generation)
	a.receiveHeldOrders()
}

// KillAgent crashes an agent. Its runs end without a report.
func (s *Testbed) KillAgent(a *Agent) {
	for ref := range a.runs {
		s.workflowChecker.crashes[ref.Task]++
	}
	s.endAgent(a)
}

// crashAgent crashes an agent, which comes back after agentRestartTime.
func (s *Testbed) crashAgent(a *Agent) {
	s.KillAgent(a)
	generation := a.generation
	s.After(agentRestartTime, func() {
		if a.generation != generation {
			return
		}
		if a.NewID {
			s.renameAgent(a)
		}
		s.StartAgent(a)
	})
}

// crashProcess crashes an agent whose host runs on, and refuses connections to it.
func (s *Testbed) crashProcess(a *Agent) {
	s.crashAgent(a)
	a.refuses = true
}

// ResizeAgent changes the size of an agent while it runs. What it announces next shows it.
func (s *Testbed) ResizeAgent(a *Agent, size notch.Resources) {
	a.formerSizes = append(a.formerSizes, formerSize{size: a.Size, until: s.Now() + maxSizeChangeDelay})
	a.Size = size
}

// countsAsFitting reports whether resources fit into the size of an agent, or into one of which the
// leader may not have known that it had changed when it sent an order.
func (a *Agent) countsAsFitting(used notch.Resources, sentAt time.Duration) bool {
	return used.Fits(a.Size) || slices.ContainsFunc(a.formerSizes, func(f formerSize) bool {
		return sentAt < f.until && used.Fits(f.size)
	})
}

// agentAt returns the running agent at an address, or nil.
func (s *Testbed) agentAt(address string) *Agent {
	for _, a := range s.Agents {
		if a.Up && a.Address == address {
			return a
		}
	}
	return nil
}

// agentClock returns the reading of the agent's clock in ms.
func (s *Testbed) agentClock(a *Agent) int64 {
	return a.clockStart.Milliseconds() + int64(float64((s.Now()-a.startedAt).Milliseconds())*(1+a.Drift))
}

// announceAgent announces the agent's state to a random replica, and repeats this
// in every period.
func (s *Testbed) announceAgent(a *Agent, generation int) {
	if a.generation != generation {
		return
	}
	s.sendAnnouncement(a, a.Agent, nil)
	s.After(agentAnnouncePeriod, func() { s.announceAgent(a, generation) })
}

// sendAnnouncement sends what an agent says of itself to a random replica, unless it is cut off. Heard is
// called with the answer, unless it is nil.
func (s *Testbed) sendAnnouncement(a *Agent, announced notch.Agent, heard func(notch.Effect)) {
	var replicas []*drive.Node
	for _, n := range s.Up() {
		if n.Self.Replica {
			replicas = append(replicas, n)
		}
	}
	if len(replicas) == 0 || a.CutOff {
		return
	}
	n := replicas[s.Rand.IntN(len(replicas))]
	s.lastTicket++
	if heard != nil {
		s.pendingCalls[s.lastTicket] = heard
	}
	s.Post(n, notch.AgentAnnounced{Ticket: s.lastTicket, Agent: announced, Deadline: s.Time(n).Add(agentAnnouncePeriod)})
}

// checkAgentLease ends all runs once the lease has expired. It repeats every 20 ms.
func (s *Testbed) checkAgentLease(a *Agent, generation int) {
	if a.generation != generation {
		return
	}
	if s.agentClock(a) > a.leaseEnd && len(a.runs) > 0 {
		for i := range a.ends {
			a.ends[i].invalid = true
		}
		for _, ref := range s.sortedRuns(a) {
			s.endRun(a, ref, notch.RunLeaseExpired)
		}
	}
	s.After(20*time.Millisecond, func() { s.checkAgentLease(a, generation) })
}

// sortedRuns returns the runs of an agent in an order that depends only on their
// tasks, so that the same seed gives the same run.
func (s *Testbed) sortedRuns(a *Agent) []notch.RunRef {
	var out []notch.RunRef
	for ref := range a.runs {
		out = append(out, ref)
	}
	slices.SortFunc(out, func(x, y notch.RunRef) int {
		return slices.Compare([]string{x.Task.String()}, []string{y.Task.String()})
	})
	return out
}

// executeOrder carries out or refuses an order that was sent at the given time. Only answers that hold the
// agent's lists name its incarnation.
func (s *Testbed) executeOrder(a *Agent, o notch.AgentOrder, sentAt time.Duration, reply func(notch.AgentAnswer)) {
	generation := a.generation
	refuse := func(r notch.AgentReason) {
		reply(notch.AgentAnswer{Kind: notch.AgentRefused, Reason: r, Clock: s.agentClock(a)})
	}
	if o.Token < a.token {
		refuse(notch.ReasonFenced)
		return
	}
	a.token = o.Token
	switch o.Kind {
	case notch.AgentStart:
		if o.Deadline < s.agentClock(a) {
			refuse(notch.ReasonDeadlinePassed)
			return
		}
		s.extendLease(a, o.Deadline)
		if reason := s.startRun(a, o, sentAt); reason != "" {
			refuse(reason)
			return
		}
	case notch.AgentStop:
		a.highestEnded[o.Run.Task] = max(a.highestEnded[o.Run.Task], o.Run.Number)
		s.After(agentStopTime, func() {
			if a.generation == generation && a.runs[o.Run] != nil {
				s.endRun(a, o.Run, notch.RunStopped)
			}
		})
	case notch.AgentRenew:
		s.extendLease(a, o.Deadline)
		s.acknowledgeEnds(a, o.Ack)
		s.answerRenewal(a, o, reply)
		return
	}
	reply(notch.AgentAnswer{Kind: notch.AgentOK, Clock: s.agentClock(a)})
}

// extendLease extends the lease of an agent up to the deadline, by its clock in ms.
func (s *Testbed) extendLease(a *Agent, deadline int64) {
	a.leaseEnd = max(a.leaseEnd, min(deadline, s.agentClock(a)+maxAgentLease.Milliseconds()))
}

// startRun starts a run. It returns a reason if it refuses to, and does nothing if
// the run is already in progress.
func (s *Testbed) startRun(a *Agent, o notch.AgentOrder, sentAt time.Duration) notch.AgentReason {
	if a.runs[o.Run] != nil {
		return ""
	}
	if a.highestEnded[o.Run.Task] >= o.Run.Number {
		return notch.ReasonStaleRun
	}
	st, ok := s.workflowChecker.stage(o.Run.Task)
	used := notch.Resources{}
	for ref := range a.runs {
		other, _ := s.workflowChecker.stage(ref.Task)
		used = used.Plus(other.Reserved())
	}
	if ok && !a.Unguarded && !st.Reserved().Fits(a.Size.Minus(used)) {
		return notch.ReasonNoCapacity
	}
	s.workflowChecker.checkStart(s, a, o, sentAt)
	s.workflowChecker.checkLimit(s, a, o.Run.Task, used.Plus(st.Reserved()), sentAt)
	r := &agentRun{startedAt: s.Now()}
	a.runs[o.Run] = r
	generation, kind := a.generation, notch.RunDone
	if a.Broken || a.Fails != nil && a.Fails(o.Run) {
		kind = notch.RunFailed
	}
	runTime := a.RunTime(o.Run.Task)
	if st.Lasts {
		runTime = longRunTime
	}
	s.After(runTime, func() {
		if a.generation == generation && a.runs[o.Run] == r {
			s.endRun(a, o.Run, kind)
		}
	})
	if a.Crashes != nil && a.Crashes(o.Run.Task) {
		s.workflowChecker.deadly[o.Run.Task] = true
		s.After(time.Duration(s.Rand.Int64N(int64(maxCrashDelay))), func() {
			if a.generation == generation {
				s.crashProcess(a)
			}
		})
	}
	return ""
}

// endRun ends a run, adds the end to the list, and answers the lease renewals that
// wait for an end.
func (s *Testbed) endRun(a *Agent, ref notch.RunRef, kind notch.RunEndKind) {
	delete(a.runs, ref)
	a.highestEnded[ref.Task] = max(a.highestEnded[ref.Task], ref.Number)
	s.workflowChecker.runEnded(a.Incarnation(), ref, kind, s.Now())
	if kind == notch.RunFailed {
		s.workflowChecker.failures[ref.Task]++
	}
	a.lastEnd++
	a.ends = append(a.ends, listedEnd{ListedEnd: notch.ListedEnd{N: a.lastEnd, End: notch.RunEnd{Run: ref, Kind: kind}}})
	waiting := a.pendingRenewals
	a.pendingRenewals = nil
	for _, w := range waiting {
		w()
	}
}

// acknowledgeEnds removes the ends up to a position from the list, and records the
// valid ones as acknowledged.
func (s *Testbed) acknowledgeEnds(a *Agent, upTo uint64) {
	for len(a.ends) > 0 && a.ends[0].N <= upTo {
		if !a.ends[0].invalid {
			s.workflowChecker.endAcknowledged(a.Incarnation(), a.ends[0].End, s.Now())
		}
		a.ends = a.ends[1:]
	}
}

// answerRenewal answers a lease renewal with the lists of runs and ends. It answers
// at once if ends are listed, else at the next end or after the order's Wait.
func (s *Testbed) answerRenewal(a *Agent, o notch.AgentOrder, reply func(notch.AgentAnswer)) {
	generation, done := a.generation, false
	answer := func() {
		if done || a.generation != generation {
			return
		}
		done = true
		ans := notch.AgentAnswer{Kind: notch.AgentOK, Clock: s.agentClock(a), Born: a.Born}
		for _, ref := range s.sortedRuns(a) {
			ans.Live = append(ans.Live, a.reportRun(ref))
		}
		for _, e := range a.ends {
			ans.Ends = append(ans.Ends, e.ListedEnd)
		}
		reply(ans)
	}
	if len(a.ends) > 0 || o.Wait == 0 {
		answer()
		return
	}
	a.pendingRenewals = append(a.pendingRenewals, answer)
	s.After(o.Wait, answer)
}

func (a *Agent) reportRun(ref notch.RunRef) notch.LiveRun {
	if a.Report == nil {
		return notch.LiveRun{Run: ref, Progress: 50}
	}
	return a.Report(ref)
}
