package flow

import (
	"slices"
	"strings"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/graph"
)

// The limits of a task that may crash the agents that start it.
const (
	maxSuspectedCrashes  = 3                // agents in a row that ended or fell silent under a task that is given up
	maxCrashesOfOneAgent = 4                // the same, where all of them were at one address
	minCertainCrashes    = 2                // of those, agents that have certainly ended
	probation            = 3 * time.Second  // a run that its agent survives for so long clears its task
	noteWithin           = 2 * probation    // since the placement or the leader's election, in which a listed run is noted as at work
	suspectPause         = 10 * time.Second // between the runs of a task with maxSuspectedCrashes, for its agents to come back

	promptCrash = 500 * time.Millisecond // between the confirmation of a run and the loss of its agent, if others are lost without the task
	promptBreak = 100 * time.Millisecond // from the sending of a start to the end of its connection, if its agent ended while it had the start
)

// suspicionAfter judges a run that is abandoned because its agent's incarnation has ended or is
// silent. CommonCause reports whether the agent was lost together with others.
func (s *stepper) suspicionAfter(session agentSession, placed agentRun, commonCause func() bool) notch.Suspicion {
	r, ok := s.run(placed.ref)
	a, known := s.agent(session.incarnation.Agent)
	if !ok || !known {
		return notch.SuspicionNone
	}
	lastSign := session.lastAnsweredAt
	if r.Life != session.incarnation {
		lastSign = session.predecessorAnsweredAt
	}
	t, _ := s.task(placed.ref.Task)
	orders, _ := s.runOrders.Get(placed.ref)
	announced := a.Draining && a.Incarnation() == r.Life
	switch {
	case orders.atWorkSince != 0 && lastSign.Sub(orders.atWorkSince) >= probation:
		return notch.SuspicionCleared
	case announced || commonCause() || !s.mayBeCause(t, r, orders, a):
		return notch.SuspicionNone
	}
	if len(t.Suspects) > 0 {
		s.logMessage("suspects a task of crashing its agent again", append(runFields(placed.ref, r.Life.Agent, string(notch.SuspicionRaised)),
			notch.IntField("agents", len(t.Suspects)+1))...)
	}
	return notch.SuspicionRaised
}

// mayBeCause reports whether a run on probation may be why its agent was lost. The agent must have received
// its start, unless an earlier leader sent it, which alone knew. While agents are lost without the task as well,
// the loss must have followed at once.
func (s *stepper) mayBeCause(t notch.WorkflowTask, r notch.Run, orders runOrders, a notch.Agent) bool {
	lostAt, known := s.lostAt(a)
	switch {
	case orders.atWorkSince == 0 && !s.placedHere(r):
		return s.leadership.Ready.Sub(r.Since) < noteWithin
	case orders.atWorkSince == 0:
		return known && orders.brokenByLoss(lostAt)
	case known && lostAt.Sub(orders.atWorkSince).Abs() < promptCrash:
		return true
	}
	return !s.lostElsewhere(a, t)
}

// isSuspect reports whether there is more against a run than that nobody knows what became of it: this leader sent its
// start, or other agents were lost under its task.
func (s *stepper) isSuspect(ref notch.RunRef, r notch.Run) bool {
	t, _ := s.task(ref.Task)
	return s.placedHere(r) || len(t.Suspects) > 0
}

// brokenByLoss reports whether the connection of a start ended with its agent, which was lost at the given time and
// so had received the start. That of a start to an agent that was lost before ends late, if at all.
func (o runOrders) brokenByLoss(lostAt notch.Time) bool {
	return o.brokenSentAt != 0 && !lostAt.Before(o.brokenSentAt) && lostAt.Sub(o.brokenSentAt) < promptBreak
}

// withBrokenStart returns o after an answer to the start that arrived at the given time. It notes when the start was
// sent if its connection ended at once.
func (o runOrders) withBrokenStart(b notch.AgentAnswered, at notch.Time) runOrders {
	if b.Answer.Reason == notch.ReasonBroken && at.Sub(b.SentAt) < promptBreak {
		o.brokenSentAt = b.SentAt
	}
	return o
}

// noteAtWork records when an agent first listed a run as live. It looks only at recent runs, as
// agents list all runs each second or two.
func (s *stepper) noteAtWork(ref notch.RunRef, r notch.Run) {
	if s.now.Sub(r.Since) >= noteWithin && s.now.Sub(s.leadership.Ready) >= noteWithin {
		return
	}
	if orders, _ := s.runOrders.Get(ref); orders.atWorkSince == 0 {
		orders.atWorkSince = s.now
		s.runOrders = s.runOrders.Set(ref, orders)
	}
}

// unfoundedSuspicions returns the withdrawals of the suspicions that an incarnation disproves by its
// answer: it was silent, but hadn't crashed.
func (s *stepper) unfoundedSuspicions(session agentSession) []notch.RunEnd {
	var out []notch.RunEnd
	tasks, _ := s.suspectedTasks.Get(session.incarnation.Agent)
	for _, ref := range tasks {
		if t, ok := s.task(ref); ok && slices.Contains(t.Suspects, session.incarnation) {
			out = append(out, notch.RunEnd{Run: notch.RunRef{Task: ref}, Suspicion: notch.SuspicionWithdrawn})
		}
	}
	return out
}

// withdrawSuspicion applies the withdrawal of a suspicion.
func (s *stepper) withdrawSuspicion(incarnation notch.AgentIncarnation, ref notch.TaskRef, at notch.Time) {
	s.suspectedTasks = s.suspectedTasks.Delete(incarnation.Agent)
	w, ok := s.workflows.Get(ref.Flow)
	if !ok {
		return
	}
	if t, ok := w.Task(ref); ok {
		s.putWorkflow(w.WithTask(ref, t.WithoutSuspect(incarnation), at))
	}
}

// indexSuspect records that an incarnation of an agent is a suspected crash of a task.
func (s *stepper) indexSuspect(incarnation notch.AgentIncarnation, ref notch.TaskRef) {
	if s.replaced(incarnation) {
		return
	}
	tasks, _ := s.suspectedTasks.Get(incarnation.Agent)
	if !slices.Contains(tasks, ref) {
		s.suspectedTasks = s.suspectedTasks.Set(incarnation.Agent, append(slices.Clip(tasks), ref))
	}
}

// successorAdmitted gives up the tasks that certainly crashed too many agents, now that an earlier
// incarnation is known to have ended.
func (s *stepper) successorAdmitted(agent string, at notch.Time) {
	tasks, ok := s.suspectedTasks.Get(agent)
	if !ok {
		return
	}
	s.suspectedTasks = s.suspectedTasks.Delete(agent)
	for _, ref := range tasks {
		w, known := s.workflows.Get(ref.Flow)
		t, ok := s.task(ref)
		if !known || !ok || w.State.Ended() {
			continue
		}
		next := s.withJudgedTask(w, ref, t, at)
		s.putWorkflow(next)
		if next.State.Ended() {
			s.stopUnwanted(next)
		}
	}
}

// withJudgedTask returns a workflow with one task replaced, which fails if it crashes its agents.
func (s *stepper) withJudgedTask(w *graph.Workflow, ref notch.TaskRef, t notch.WorkflowTask, at notch.Time) *graph.Workflow {
	if !w.MayRun(t) || !s.crashesAgents(t) {
		return w.WithTask(ref, t, at)
	}
	t.State = notch.TaskFailed
	reason := s.giveUp(ref, t)
	return w.WithTask(ref, t, at).WithReason(reason)
}

// giveUp counts and logs that a task is given up, and returns the reason.
func (s *stepper) giveUp(ref notch.TaskRef, t notch.WorkflowTask) string {
	var agents []string
	for _, life := range t.Suspects {
		agents = append(agents, life.Agent)
	}
	s.count("tasks-given-up", 1)
	if s.leads() {
		s.logMessage("job failed: a task crashes the agents that start it", notch.TextField("request-id", ref.Flow),
			notch.TextField("task", ref.String()), notch.TextField("agents", strings.Join(agents, " ")))
	}
	return "task " + ref.String() + " crashes the agents that start it: " + strings.Join(agents, ", ")
}

// crashesAgents reports whether a task is given up because of the agents that crashed under it. If it
// was one agent again and again, more crashes are needed: it may have a reason of its own.
func (s *stepper) crashesAgents(t notch.WorkflowTask) bool {
	needed := maxSuspectedCrashes
	if len(s.suspectAddresses(t)) == 1 {
		needed = maxCrashesOfOneAgent
	}
	return len(t.Suspects) >= needed && s.certainCrashes(t) >= minCertainCrashes
}

// certainCrashes returns how many of the agents that were lost under a task have certainly ended.
func (s *stepper) certainCrashes(t notch.WorkflowTask) int {
	n := 0
	for _, life := range t.Suspects {
		if s.replaced(life) {
			n++
		}
	}
	return n
}

// suspectAddresses returns the addresses of the agents that were lost under a task.
func (s *stepper) suspectAddresses(t notch.WorkflowTask) map[string]bool {
	addresses := map[string]bool{}
	for _, life := range t.Suspects {
		addresses[s.addressOf(life)] = true
	}
	return addresses
}

// addressOf returns the address of an incarnation's agent, which its successor under another id has
// as well.
func (s *stepper) addressOf(incarnation notch.AgentIncarnation) string {
	a, ok := s.agent(incarnation.Agent)
	if !ok {
		return incarnation.Agent
	}
	return a.Address
}

// replaced reports whether an incarnation has certainly ended, because a later one has its id or its
// address.
func (s *stepper) replaced(incarnation notch.AgentIncarnation) bool {
	a, ok := s.agent(incarnation.Agent)
	if !ok {
		return false
	}
	return a.Born > incarnation.Born || s.addressTaken(incarnation)
}

// holdAddress records the holder of an agent's address, and returns the one before.
func (s *stepper) holdAddress(a notch.Agent) notch.AgentIncarnation {
	before, ok := s.addressHolders.Get(a.Address)
	if !ok || precedes(before, a.Incarnation()) {
		s.addressHolders = s.addressHolders.Set(a.Address, a.Incarnation())
	}
	return before
}

// precedes reports whether a began before b. Two that began in the same millisecond have an order
// too, so that all replicas agree.
func precedes(a, b notch.AgentIncarnation) bool {
	return a.Born < b.Born || a.Born == b.Born && a.Agent < b.Agent
}

// heldBack reports whether a suspected task waits for its agents to come back before its next run. Agents
// that are merely gone don't show that it crashes them.
func (s *stepper) heldBack(t notch.WorkflowTask) bool {
	idle := s.now.Sub(t.Idle)
	return len(t.Suspects) >= maxSuspectedCrashes && idle >= 0 && idle < suspectPause && s.certainCrashes(t) > 0
}

// task returns a task of a known workflow.
func (s *stepper) task(ref notch.TaskRef) (notch.WorkflowTask, bool) {
	w, ok := s.workflows.Get(ref.Flow)
	if !ok {
		return notch.WorkflowTask{}, false
	}
	return w.Task(ref)
}

// hasSuspect reports whether a suspected task on probation runs on an agent.
func (s *stepper) hasSuspect(load *agentLoad) bool {
	return slices.ContainsFunc(load.runs, func(r agentRun) bool {
		if s.now.Sub(r.addedAt) >= probation {
			return false
		}
		t, ok := s.task(r.ref.Task)
		return ok && len(t.Suspects) > 0
	})
}

// indexSuspects records the suspected crashes of the tasks of a restored workflow.
func (s *stepper) indexSuspects(w *graph.Workflow) {
	w.EachTask(func(ref notch.TaskRef, t notch.WorkflowTask) {
		for _, life := range t.Suspects {
			s.indexSuspect(life, ref)
		}
	})
}
