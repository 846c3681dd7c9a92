package flow

import (
	"strconv"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/graph"
)

// noLongerAccepts is why most runs are withdrawn.
const noLongerAccepts = "its agent no longer accepts it"

// startPriority returns the place in the queue of the tasks of a workflow: by the priority of its route, and behind those of equal
// priority if they are long-running, as a few hundred ms matter to short tasks only. Interrupted tasks go as those of the highest
// priority.
func (s *stepper) startPriority(w *graph.Workflow, lasts, interrupted bool) int {
	priority := 2 * s.routeOf(w).Priority
	if interrupted {
		priority = 0
	}
	if lasts {
		priority++
	}
	return priority
}

// queueStart queues the start of a run that was just committed, if this leader placed it.
func (s *stepper) queueStart(w *graph.Workflow, ref notch.RunRef, r notch.Run) {
	if !s.placedHere(r) {
		return
	}
	if !s.mayOrder() {
		s.withholdStart(ref)
		return
	}
	lasts := w.Flow.Stages[ref.Task.Stage].Lasts
	priority := s.startPriority(w, lasts, lasts && r.Number > 1)
	s.runOrders = s.runOrders.Set(ref, runOrders{queued: true})
	s.startQueue = s.startQueue.withRun(ref, priority, s.now)
}

// isQueued reports whether the start of a run wasn't sent yet and may still be.
func (s *stepper) isQueued(ref notch.RunRef) bool {
	orders, _ := s.runOrders.Get(ref)
	return orders.queued
}

// sendStarts sends queued starts, as many as may be under way.
func (s *stepper) sendStarts() {
	s.startsUnderWay = s.startsUnderWay.at(s.now)
	for s.startQueue.len() > 0 && s.mayOrder() && (s.startsUnderWay.room() > 0 || s.mayOvertake()) {
		var ref notch.RunRef
		s.startQueue, ref, _ = s.startQueue.withoutFirst(s.now)
		s.sendStart(ref)
	}
}

// urgentShare is the share of the limit of starts under way by which starts that overtake others may exceed it.
const urgentShare = 0.25

// mayOvertake reports whether the first queued start may be sent although the limit is reached.
func (s *stepper) mayOvertake() bool {
	return s.startQueue.overtakes() && -s.startsUnderWay.room() < int(urgentShare*float64(s.startsUnderWay.limit()))
}

// sendStart sends the start of a run that was queued, unless the run has ended, or withdraws it.
func (s *stepper) sendStart(ref notch.RunRef) {
	w, t, r, ok := s.queuedRun(ref)
	if !ok {
		return
	}
	if !w.MayRun(t) {
		s.withdrawRun("its task may not run any more", ref, r)
		return
	}
	a, _ := s.agent(r.Life.Agent)
	session, known := s.session(r.Life.Agent)
	if !known || a.Incarnation() != r.Life || a.Draining || a.Left || session.unanswered > 0 || session.hasStrays {
		s.withdrawRun(noLongerAccepts, ref, r)
		return
	}
	if !s.mayStillSend(r) {
		s.withdrawRun("it was placed too long ago", ref, r)
		return
	}
	if !mayOvertakeAck(session) {
		s.withdrawRun(noLongerAccepts, ref, r)
		return
	}
	s.runOrders = s.runOrders.Set(ref, runOrders{startSentAt: s.now})
	s.startsUnderWay = s.startsUnderWay.withSent(s.now)
	s.startWaits = s.startWaits.withSent(s.routeOf(w).Priority, r.Since, s.now)
	s.countSent(w, ref.Task)
	s.noteFirstStart(w, ref, r)
	deadline := session.lease.Deadline(s.now, s.timing.Lease)
	session = s.withStartSent(s.granted(session, deadline), ref, true)
	s.putSession(a.ID, session)
	s.sendOrder(a, notch.AgentOrder{
		Kind: notch.AgentStart, Token: session.token, Run: ref, Spec: w.Flow.Spec, Checkpoint: t.Saved, Deadline: deadline,
	})
}

// noteFirstStart records how long a stage has waited for the plan of its first start. Long-running tasks are in no hurry.
func (s *stepper) noteFirstStart(w *graph.Workflow, ref notch.RunRef, r notch.Run) {
	st := w.Flow.Stages[ref.Task.Stage]
	if ref.Number != 1 || ref.Task.Index != 0 || st.Lasts {
		return
	}
	priority := s.routeOf(w).Priority
	if len(st.After) == 0 {
		s.startWaits = s.startWaits.withBegun(priority, w.At, r.Since)
		return
	}
	s.startWaits = s.startWaits.withFollowed(priority, w.ReadySince(ref.Task), r.Since)
}

// startsLogInterval is the least time between log messages about queued starts.
const startsLogInterval = time.Second

// logQueuedStarts logs how many starts wait for others, and what limits them.
func (s *stepper) logQueuedStarts() {
	if s.startQueue.len() == 0 || s.now.Sub(s.startsLoggedAt) < startsLogInterval {
		return
	}
	waits, ended := s.startWaits, s.outcomes
	s.startsLoggedAt, s.startWaits, s.outcomes = s.now, startWaits{}, outcomes{}
	u := s.startsUnderWay
	s.logMessage("starts wait for the answers to others", notch.IntField("queued", s.startQueue.len()),
		notch.IntField("under-way", u.count()), notch.IntField("limit", u.limit()), notch.IntField("placed-limit", u.placedLimit()),
		notch.IntField("answered", u.answersIn(time.Second)), notch.DurationField("answer-time", u.meanTook),
		notch.DurationField("lone-call", u.meanAlone), notch.TextField("waits", waits.String()), notch.TextField("outcomes", ended.String()),
		notch.TextField("overloaded", strconv.FormatBool(s.startQueue.overloaded(s.now))))
}

// queuedRun returns a run whose start is queued, with its workflow and its task. It returns false if the run
// has ended or was withdrawn.
func (s *stepper) queuedRun(ref notch.RunRef) (*graph.Workflow, notch.WorkflowTask, notch.Run, bool) {
	w, ok := s.workflows.Get(ref.Task.Flow)
	if !ok || !s.isQueued(ref) {
		return nil, notch.WorkflowTask{}, notch.Run{}, false
	}
	t, _ := w.Task(ref.Task)
	r, ok := t.Run(ref.Number)
	return w, t, r, ok
}
