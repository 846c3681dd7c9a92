package fake

import (
	"fmt"
	"strings"
	"testing"
	"time"

	notch "tamaracknotch"
)

// completionPoll is the interval in which a load test looks for completed workflows.
const completionPoll = 100 * time.Millisecond

// lateFactor is the multiple of its objective in which a workflow is worth something to its
// caller.
const lateFactor = 3

// TestLeaderOutlastsBurst guards against a control state that collapses under load: the leader
// loses its quorum, and after the burst, and even after the load, no leader lasts.
func TestLeaderOutlastsBurst(t *testing.T) {
	t.Parallel()
	l := newLoadTest(t, readAgentLoad(t, "testdata/agent-burst.yaml"), *firstSeed)
	first := l.term()
	l.start()
	burstEnd := l.load.Burst.At + l.load.Burst.For
	l.runFor(burstEnd)
	afterBurst := l.term()
	l.runFor(l.load.Length - burstEnd)
	afterLoad := l.term()
	l.runFor(l.load.Bounds.Finish)
	l.queryWorkflows(l.load.Bounds.Answer)
	if last := l.term(); last != first || l.leaders() != 1 {
		t.Errorf("seed %d: terms: got %d at the start, %d after the burst, %d after the load, %d at the end with %d leaders; want one leader in one term",
			*firstSeed, first, afterBurst, afterLoad, last, l.leaders())
	}
	if errs := l.checkWorkflows(); len(errs) > 0 {
		t.Errorf("seed %d: %d of %d workflows:\n%s", *firstSeed, len(errs), len(l.workflows), strings.Join(errs[:min(len(errs), 12)], "\n"))
	}
	if len(l.Violations) > 0 {
		t.Errorf("seed %d: %d promises broken:\n%s", *firstSeed, len(l.Violations), strings.Join(l.Violations[:min(len(l.Violations), 12)], "\n"))
	}
}

// scarceCores is a share of a core with which a leader can't do all work of the load in time.
const scarceCores = 0.22

// TestLeaderOutlastsOverload guards against a leader that loses its quorum because it has more work
// than it can do: some workflows are late then, and more of them under a series of leaders.
func TestLeaderOutlastsOverload(t *testing.T) {
	t.Parallel()
	load := readAgentLoad(t, "testdata/agent-burst.yaml")
	load.Cores = scarceCores
	l := newLoadTest(t, load, *firstSeed)
	first := l.term()
	l.start()
	l.runFor(l.load.Length + l.load.Bounds.Finish)
	if last := l.term(); last != first || l.leaders() != 1 {
		t.Errorf("seed %d: got term %d with %d leaders at the end, want one leader in term %d", *firstSeed, last, l.leaders(), first)
	}
	if got := len(l.Violations); got > 0 {
		t.Errorf("seed %d: got %d promises broken, want none:\n%s", *firstSeed, got, strings.Join(l.Violations[:min(got, 12)], "\n"))
	}
}

// runFor lets d pass and records when workflows complete.
func (l *loadTest) runFor(d time.Duration) {
	for end := l.Now() + d; l.Now() < end; {
		l.Run(min(completionPoll, end-l.Now()))
		for _, w := range l.workflows {
			if w.completedAt == 0 && l.workflowChecker.allTasksDone(w.ID) {
				w.completedAt = l.Now()
			}
		}
	}
}

// queryWorkflows asks the entries in turn for the state of every accepted workflow, and waits for the
// answers.
func (l *loadTest) queryWorkflows(wait time.Duration) {
	for i, w := range l.accepted() {
		w.state = ""
		l.QueryWorkflow(l.entries[i%len(l.entries)], w.ID, func(state notch.WorkflowState) { w.state = state })
	}
	l.runFor(wait)
}

// accepted returns the workflows whose submission was accepted.
func (l *loadTest) accepted() []*loadWorkflow {
	var out []*loadWorkflow
	for _, w := range l.workflows {
		if w.result.Outcome == notch.WorkflowAccepted {
			out = append(out, w)
		}
	}
	return out
}

// term returns the latest term of the replicas.
func (l *loadTest) term() uint64 {
	latest := uint64(0)
	for _, n := range l.Nodes() {
		if p, ok := l.Consensus(n); ok {
			latest = max(latest, p.Term())
		}
	}
	return latest
}

func (l *loadTest) leaders() int {
	leaders := 0
	for _, n := range l.Nodes() {
		if l.IsLeader(n) {
			leaders++
		}
	}
	return leaders
}

// checkWorkflows returns what the callers of the workflows would complain about.
func (l *loadTest) checkWorkflows() []string {
	var errs []string
	for _, w := range l.workflows {
		if complaint := l.checkWorkflow(w); complaint != "" {
			errs = append(errs, w.ID+": "+complaint)
		}
	}
	return errs
}

func (l *loadTest) checkWorkflow(w *loadWorkflow) string {
	switch {
	case w.answeredAt == 0 || w.result.Outcome == "":
		return "its submission wasn't answered"
	case w.answeredAt > w.submittedAt+l.load.Bounds.Answer:
		return fmt.Sprintf("its submission was answered after %v", w.answeredAt-w.submittedAt)
	case w.result.Outcome != notch.WorkflowAccepted:
		return ""
	case w.state == "":
		return "it was accepted, but a query of its state wasn't answered"
	case w.route.CancelAfter > 0 && w.state.Ended():
		return ""
	case w.state == notch.WorkflowRunning && l.Now()-w.submittedAt < lateFactor*w.objective():
		return "" // a long chain of stages that isn't late yet
	case w.state != notch.WorkflowCompleted || w.completedAt == 0:
		return fmt.Sprintf("it was accepted, but is %v at the end", w.state)
	case w.submittedAt < l.recoveredAt():
		return ""
	}
	if took, limit := w.completedAt-w.submittedAt, lateFactor*w.objective(); took > limit {
		return fmt.Sprintf("it took %v, want at most %v", took, limit)
	}
	return ""
}

// recoveredAt returns when the workflows have to be in time again.
func (l *loadTest) recoveredAt() time.Duration {
	return l.startedAt + l.load.Burst.At + l.load.Burst.For + l.load.Bounds.Recovery
}

// objective returns the time in which a workflow should complete.
func (w *loadWorkflow) objective() time.Duration {
	path := w.route.RunTime * time.Duration(len(w.Stages)) // the stages form a chain
	return time.Duration(w.route.Stretch*float64(path)) + w.route.Objective
}
