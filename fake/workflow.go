package fake

import (
	"time"

	"github.com/pkg/errors"

	notch "tamaracknotch"
	"tamaracknotch/drive"
)

// SubmitWorkflow submits a workflow through a daemon. Done is called with the answer.
// MaxFailures is the number of failed runs of a task that the route allows.
func (s *Testbed) SubmitWorkflow(n *drive.Node, w notch.Workflow, maxFailures int, timeout time.Duration, done func(notch.Answer)) {
	s.workflowChecker.workflows[w.ID] = w
	s.workflowChecker.maxFailures[w.ID] = maxFailures
	s.workflowChecker.submissions[w.ID]++
	s.Submit(n, notch.SubmitWorkflow{Flow: w}, timeout, func(a notch.Answer) {
		r, ok := a.Result.(notch.WorkflowResult)
		if ok && r.Outcome != notch.WorkflowAccepted || errors.Is(a.Err, notch.ErrNotRun) {
			s.workflowChecker.refusals[w.ID]++
		}
		done(a)
	})
}

// CancelWorkflow cancels a workflow through a daemon. Done is called with the answer.
func (s *Testbed) CancelWorkflow(n *drive.Node, id string, timeout time.Duration, done func(notch.Answer)) {
	s.Submit(n, notch.CancelWorkflow{ID: id}, timeout, func(a notch.Answer) {
		if r, ok := a.Result.(notch.WorkflowResult); ok && r.Outcome == notch.WorkflowAccepted {
			if _, ok := s.workflowChecker.cancelledAt[id]; !ok {
				s.workflowChecker.cancelledAt[id] = s.Now()
			}
		}
		done(a)
	})
}

// QueryWorkflow queries the state of a workflow through a daemon. It checks that the
// workflow isn't reported as completed before all its tasks are done, nor as failed without cause.
func (s *Testbed) QueryWorkflow(n *drive.Node, id string, done func(notch.WorkflowState)) {
	s.Query(n, notch.Query{Kind: notch.QueryWorkflow, Name: id}, 2*time.Second, func(a notch.AnswerQuery) {
		if a.Err != nil {
			return
		}
		if a.View.Flow.State == notch.WorkflowCompleted && !s.workflowChecker.allTasksDone(id) {
			s.reportViolation("MIXED: %s is reported as completed, but not all its tasks are done", id)
		}
		if a.View.Flow.State == notch.WorkflowFailed && !s.workflowChecker.mayHaveFailed(id) {
			s.reportViolation("LOST: %s is reported as failed without cause", id)
		}
		done(a.View.Flow.State)
	})
}
