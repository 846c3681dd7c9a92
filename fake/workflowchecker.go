package fake

import (
	"fmt"
	"slices"
	"time"

	notch "tamaracknotch"
)

// workflowChecker is a naive model of all workflows. It records what callers
// submitted, what agents ran and which ends of runs the leader acknowledged, and
// reports each broken rule.
type workflowChecker struct {
	workflows            map[string]notch.Workflow
	maxFailures          map[string]int           // limit of failed runs of a task, by workflow
	submissions          map[string]int           // number of submissions, by workflow
	refusals             map[string]int           // number of submissions that were finally refused, by workflow
	cancelledAt          map[string]time.Duration // when the cancel was acknowledged
	activeRuns           map[notch.TaskRef]int    // number of runs in progress
	done                 map[notch.TaskRef]bool   // a run of the task ended as done
	acknowledged         map[notch.TaskRef]bool   // such an end was acknowledged
	acknowledgedFailures map[notch.TaskRef]int    // number of acknowledged failed ends
	failures             map[notch.TaskRef]int    // number of failed ends, acknowledged or not
	crashes              map[notch.TaskRef]int    // number of agents that crashed with a run of the task
	deadly               map[notch.TaskRef]bool   // the task crashes each agent that starts it
	startsAfterCrashes   map[notch.TaskRef]int    // number of starts of a deadly task after maxTaskCrashes
	history              runHistory
	earlyStarts          []string // starts between an end that forbids them and its acknowledgement
}

func newWorkflowChecker() *workflowChecker {
	return &workflowChecker{
		workflows: map[string]notch.Workflow{}, maxFailures: map[string]int{}, submissions: map[string]int{}, refusals: map[string]int{},
		cancelledAt: map[string]time.Duration{}, activeRuns: map[notch.TaskRef]int{}, done: map[notch.TaskRef]bool{},
		acknowledged: map[notch.TaskRef]bool{}, acknowledgedFailures: map[notch.TaskRef]int{},
		failures: map[notch.TaskRef]int{}, crashes: map[notch.TaskRef]int{}, deadly: map[notch.TaskRef]bool{}, startsAfterCrashes: map[notch.TaskRef]int{}, history: runHistory{},
	}
}

// maxCancelDelay is the time after an acknowledged cancel in which runs of the
// workflow may still start.
const maxCancelDelay = 3 * time.Second

// The budget of a task that crashes the agents that start it.
const (
	maxTaskCrashes        = 3
	maxStartsAfterCrashes = 2 // after maxTaskCrashes
	minCrashesToGiveUp    = 2
)

// stage returns the stage of a task. It reports false if no submitted workflow has
// that stage.
func (c *workflowChecker) stage(t notch.TaskRef) (notch.Stage, bool) {
	w, ok := c.workflows[t.Flow]
	if !ok || t.Stage >= len(w.Stages) {
		return notch.Stage{}, false
	}
	return w.Stages[t.Stage], true
}

// checkStart checks that an agent may start a run that was ordered at sentAt, and records the start.
func (c *workflowChecker) checkStart(s *Testbed, a *Agent, o notch.AgentOrder, sentAt time.Duration) {
	t := o.Run.Task
	w, known := c.workflows[t.Flow]
	st, ok := c.stage(t)
	switch {
	case !known || !ok || t.Index >= st.Count:
		s.reportViolation("UNASKED: %v was started on %s, but no caller submitted it", t, a.ID)
		return
	case w.Spec != o.Spec:
		s.reportViolation("UNASKED: %v was started with another specification than submitted", t)
	case c.submissions[t.Flow] == c.refusals[t.Flow]:
		s.reportViolation("REFUSED: %v was started, but every submission was refused", t)
	case c.acknowledged[t] && !st.Lasts:
		s.reportViolation("TWICE: %v was started on %s after it was done", t, a.ID)
	case c.activeRuns[t] > 0 && !st.Copies:
		s.reportViolation("TWICE: %v was started on %s while it runs elsewhere", t, a.ID)
	case c.acknowledgedFailures[t] >= c.maxFailures[t.Flow] && !st.Lasts:
		s.reportViolation("BUDGET: %v was started after %d failures", t, c.acknowledgedFailures[t])
	}
	// An agent may carry out an order long after it was sent.
	if at, ok := c.cancelledAt[t.Flow]; ok && sentAt > at+maxCancelDelay {
		s.reportViolation("UNASKED: the start of %v was sent %v after its workflow was cancelled", t, sentAt-at)
	}
	for _, before := range st.After {
		for i := range w.Stages[before].Count {
			if !c.done[notch.TaskRef{Flow: t.Flow, Round: t.Round, Stage: before, Index: i}] {
				s.reportViolation("ORDER: %v was started before stage %d was done", t, before)
			}
		}
	}
	if a.Pool != w.Pool {
		s.reportViolation("ROUTE: %v was started in pool %q", t, a.Pool)
	}
	if st.Label != "" && !slices.Contains(a.Labels, st.Label) {
		s.reportViolation("ROUTE: %v was started on an agent without its label", t)
	}
	if c.deadly[t] && c.crashes[t] >= maxTaskCrashes {
		if c.startsAfterCrashes[t]++; c.startsAfterCrashes[t] > maxStartsAfterCrashes {
			s.reportViolation("BUDGET: %v was started on %s after %d agents had crashed under it", t, a.ID, c.crashes[t])
		}
	}
	c.activeRuns[t]++
	c.history[t] = append(c.history[t], &runRecord{ref: o.Run, agent: a.Incarnation(), orderedAt: sentAt, startedAt: s.Now()})
}

// checkCancelledGone checks that no run of a cancelled workflow is in progress. No failure may have
// occurred for as long as an order is delayed at most and a cancel takes.
func (c *workflowChecker) checkCancelledGone(s *Testbed) {
	for t, n := range c.activeRuns {
		if _, ok := c.cancelledAt[t.Flow]; ok && n > 0 {
			s.reportViolation("UNASKED: %v still runs although its workflow was cancelled", t)
		}
	}
}

// checkLimit checks that a start brings an agent that starts whatever it is ordered to not over its
// size. Used includes the runs that are being stopped.
func (c *workflowChecker) checkLimit(s *Testbed, a *Agent, t notch.TaskRef, used notch.Resources, sentAt time.Duration) {
	if a.Unguarded && !a.countsAsFitting(used, sentAt) {
		s.reportViolation("LIMIT: %v was started on %s, which then runs %v of %v", t, a.ID, used, a.Size)
	}
}

// mayHaveFailed reports whether a task of a workflow failed often enough, or agents crashed under it.
func (c *workflowChecker) mayHaveFailed(id string) bool {
	for t, n := range c.failures {
		if t.Flow == id && n >= c.maxFailures[id] {
			return true
		}
	}
	for t, n := range c.crashes {
		if t.Flow == id && n >= minCrashesToGiveUp {
			return true
		}
	}
	return false
}

// runEnded records that a run has ended on its agent.
func (c *workflowChecker) runEnded(agent notch.AgentIncarnation, ref notch.RunRef, kind notch.RunEndKind, at time.Duration) {
	c.activeRuns[ref.Task]--
	c.done[ref.Task] = c.done[ref.Task] || kind == notch.RunDone
	if r := c.history.latest(agent, ref); r != nil {
		r.endedAt, r.kind = at, kind
	}
}

// endAcknowledged records that the leader acknowledged the end of a run.
func (c *workflowChecker) endAcknowledged(agent notch.AgentIncarnation, e notch.RunEnd, at time.Duration) {
	switch e.Kind {
	case notch.RunDone:
		c.acknowledged[e.Run.Task] = true
	case notch.RunFailed:
		c.acknowledgedFailures[e.Run.Task]++
	}
	if r := c.history.latest(agent, e.Run); r != nil {
		r.acknowledgedAt = at
		c.recordEarlyStarts(r)
	}
}

// recordEarlyStarts records the starts of a task between an end of it that is acknowledged now and that
// forbids them, and the acknowledgement. Those after it are reported by checkStart.
func (c *workflowChecker) recordEarlyStarts(ended *runRecord) {
	t := ended.ref.Task
	st, ok := c.stage(t)
	if !ok || st.Lasts || st.Copies {
		return
	}
	for _, r := range c.history[t] {
		if r == ended || r.startedAt < ended.endedAt || r.startedAt > ended.acknowledgedAt {
			continue
		}
		switch ended.kind {
		case notch.RunDone:
			c.earlyStarts = append(c.earlyStarts, fmt.Sprintf("TWICE: %v was started before the acknowledgement of %v", r, ended))
		case notch.RunFailed:
			if n := c.history.failuresBefore(t, r.startedAt); n >= c.maxFailures[t.Flow] {
				c.earlyStarts = append(c.earlyStarts, fmt.Sprintf("BUDGET: %v was started before the acknowledgement of %v, one of %d failures", r, ended, n))
			}
		}
	}
}

// allTasksDone reports whether every task of a workflow has a run that ended as done.
func (c *workflowChecker) allTasksDone(id string) bool {
	w := c.workflows[id]
	for i, st := range w.Stages {
		for k := range st.Count {
			if !c.done[notch.TaskRef{Flow: id, Stage: i, Index: k}] {
				return false
			}
		}
	}
	return true
}
