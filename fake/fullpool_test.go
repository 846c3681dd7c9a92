package fake

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	fullPoolSeeds  = 2
	residentShare  = 0.88 // of the pool's processors that long-running tasks reserve from the start
	minServedShare = 0.4  // of the short workflows that must complete while they count as late at least
	minLargestPart = 0.5  // of that share that the largest tenth of them must reach
)

// TestFullPoolServesShortTasks guards against long-running tasks that take whatever becomes free in a full
// pool, so that too few short workflows are served, and of the large ones the fewest (SHORT).
func TestFullPoolServesShortTasks(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+fullPoolSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			l := newLoadTest(t, readAgentLoad(t, "testdata/agent-full.yaml"), seed)
			l.fillPool("service")
			l.start()
			l.runFor(l.load.Length + l.load.Bounds.Finish)
			l.checkServed(t, l.workflowsOf("short"))
		})
	}
}

// checkServed checks how many of the workflows were served, and how many of the largest tenth.
func (l *loadTest) checkServed(t *testing.T, workflows []*loadWorkflow) {
	slices.SortFunc(workflows, func(a, b *loadWorkflow) int { return cmp.Compare(a.work(), b.work()) })
	all, largest := servedShare(workflows), servedShare(workflows[len(workflows)*9/10:])
	if want := minServedShare; all < want {
		t.Errorf("served share of %d workflows: got %.2f, want at least %.2f", len(workflows), all, want)
	}
	if want := minLargestPart * all; largest < want {
		t.Errorf("served share of the largest tenth: got %.2f, want at least %.2f", largest, want)
	}
}

// fillPool submits workflows of a route with long-running tasks until they reserve residentShare of the
// pool, and lets them start.
func (l *loadTest) fillPool(route string) {
	i := slices.IndexFunc(l.load.Routes, func(r routeLoad) bool { return r.Name == route })
	size := float64(l.load.Agents.Count) * float64(l.load.Agents.MilliCPU)
	for reserved := int64(0); float64(reserved) < residentShare*size; {
		l.submitNew(l.load.Routes[i])
		st := l.workflows[len(l.workflows)-1].Stages[0]
		reserved += int64(st.Count) * st.Size.MilliCPU
	}
	l.Run(l.load.Bounds.Answer)
}

// workflowsOf returns the workflows of a route.
func (l *loadTest) workflowsOf(route string) []*loadWorkflow {
	return slices.DeleteFunc(slices.Clone(l.workflows), func(w *loadWorkflow) bool { return w.route.Name != route })
}

// work returns the processor time of a workflow's tasks.
func (w *loadWorkflow) work() time.Duration {
	var out time.Duration
	for i, st := range w.Stages {
		for _, d := range w.runTimes[i] {
			out += d * time.Duration(st.Size.MilliCPU) / 1000
		}
	}
	return out
}

// servedShare returns the share of workflows that completed while they counted as late at least.
func servedShare(workflows []*loadWorkflow) float64 {
	served := 0
	for _, w := range workflows {
		if w.completedAt != 0 && w.completedAt-w.submittedAt <= lateFactor*w.objective() {
			served++
		}
	}
	return float64(served) / float64(max(1, len(workflows)))
}
