package flow

import (
	"fmt"
	"strings"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/graph"
)

// outcome is what a workflow is worth to its caller at its end.
type outcome int

const (
	inTime outcome = iota // within its objective
	late
	missed
	outcomeCount int = iota
)

// outcomes tells by priority what starts were spent on since the last log message about them.
type outcomes [waitClasses]struct {
	sent  [outcomeCount]int // starts, by the outcome that their workflow could still have
	ended [outcomeCount]struct{ workflows, starts int }
}

// withSent returns o after a start was sent for a workflow that could still have an outcome.
func (o outcomes) withSent(priority int, best outcome) outcomes {
	o[priorityClass(priority)].sent[best]++
	return o
}

// withEnded returns o after a workflow has ended that had a number of starts.
func (o outcomes) withEnded(priority int, had outcome, starts int) outcomes {
	e := &o[priorityClass(priority)].ended[had]
	e.workflows++
	e.starts += starts
	return o
}

// String lists the counts by priority.
func (o outcomes) String() string {
	var out []string
	for priority, c := range o {
		if c.sent == [outcomeCount]int{} && c.ended[inTime].workflows+c.ended[late].workflows+c.ended[missed].workflows == 0 {
			continue
		}
		out = append(out, fmt.Sprintf("%d: sent %d in time, %d late, %d missed; ended %d in time of %d starts, %d late of %d, %d missed of %d", priority,
			c.sent[inTime], c.sent[late], c.sent[missed], c.ended[inTime].workflows, c.ended[inTime].starts,
			c.ended[late].workflows, c.ended[late].starts, c.ended[missed].workflows, c.ended[missed].starts))
	}
	return strings.Join(out, "; ")
}

// dueAt returns when a workflow must be complete to meet its objective.
func (s *stepper) dueAt(w *graph.Workflow) notch.Time {
	route := s.routeOf(w)
	return w.At.Add(time.Duration(route.Stretch*float64(w.LongestChain())) + route.Target)
}

// outcomeAt returns the outcome of a workflow that is complete at the given time.
func (s *stepper) outcomeAt(w *graph.Workflow, at notch.Time) outcome {
	due := s.dueAt(w)
	switch {
	case !due.Before(at):
		return inTime
	case !w.At.Add(notch.LateFactor * due.Sub(w.At)).Before(at):
		return late
	}
	return missed
}

// countSent counts a start of a task whose workflow could be complete after its longest chain of stages.
func (s *stepper) countSent(w *graph.Workflow, task notch.TaskRef) {
	if w.Flow.Stages[task.Stage].Lasts {
		return
	}
	best := s.outcomeAt(w, s.now.Add(w.CriticalPath(task.Stage)))
	s.outcomes = s.outcomes.withSent(s.routeOf(w).Priority, best)
	s.count(startCounters[best], 1)
}

// startCounters are the counters of starts that were sent, by the outcome that their workflow could still have.
var startCounters = [outcomeCount]string{"starts-in-time", "starts-late", "starts-missed"}

// countEnded counts a workflow that was completed, given its value just before.
func (s *stepper) countEnded(before, w *graph.Workflow) {
	if !s.leads() || before == nil || w.State != notch.WorkflowCompleted {
		return
	}
	s.outcomes = s.outcomes.withEnded(s.routeOf(w).Priority, s.outcomeAt(before, w.Ended), before.Starts())
}
