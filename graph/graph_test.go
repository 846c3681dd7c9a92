package graph

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	notch "tamaracknotch"
)

// TestDifferential compares the counts of a workflow with counts over all its tasks, while
// tasks get runs, lose them and end in random order.
func TestDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := notch.Workflow{ID: "f", Rounds: rapid.IntRange(0, 2).Draw(t, "rounds")}
		for i := range rapid.IntRange(1, 4).Draw(t, "stages") {
			st := notch.Stage{Count: rapid.IntRange(1, 3).Draw(t, "count")}
			if i > 0 && rapid.Bool().Draw(t, "after") {
				st.After = []int{rapid.IntRange(0, i-1).Draw(t, "which")}
			}
			f.Stages = append(f.Stages, st)
		}
		w := New(f, 0)
		for n := range 60 {
			if w.State.Ended() {
				break
			}
			g := rapid.IntRange(0, w.GroupCount()-1).Draw(t, "group")
			ref := w.TaskRef(g, rapid.IntRange(0, w.groups.Get(g).tasks.Len()-1).Draw(t, "index"))
			task, _ := w.Task(ref)
			switch {
			case len(task.Runs) > 0:
				task = task.WithoutRun(task.Latest)
				if rapid.Bool().Draw(t, "done") {
					task.State = notch.TaskDone
				}
			case task.State == notch.TaskOpen && w.Due(g, 0):
				task = task.WithRun(notch.Run{Number: task.Latest + 1})
			}
			w = w.WithTask(ref, task, notch.Time(n))
			checkCounts(t, w)
		}
	})
}

// checkCounts recomputes the counts that the workflow maintains and compares them.
func checkCounts(t *rapid.T, w *Workflow) {
	if w.State.Ended() {
		return
	}
	live, allUnfinished, allWaiting := 0, 0, 0
	for g := range w.GroupCount() {
		unfinished, waiting := 0, 0
		var wantWaiting, gotWaiting []int
		for i, task := range w.groups.Get(g).row() {
			live += len(task.Runs)
			if task.State != notch.TaskDone {
				unfinished++
			}
			if task.State == notch.TaskOpen && len(task.Runs) == 0 {
				waiting++
				wantWaiting = append(wantWaiting, i)
			}
		}
		w.EachWaiting(g, func(ref notch.TaskRef, _ notch.WorkflowTask) bool {
			gotWaiting = append(gotWaiting, ref.Index)
			return true
		})
		if got, want := gotWaiting, wantWaiting; !slices.Equal(got, want) {
			t.Fatalf("indexes of the waiting tasks of group %d: got %v, want %v", g, got, want)
		}
		allUnfinished, allWaiting = allUnfinished+unfinished, allWaiting+waiting
		if got, want := w.Waiting(g), waiting; got != want {
			t.Fatalf("waiting tasks of group %d: got %d, want %d", g, got, want)
		}
		if got, want := w.Unfinished(g), unfinished; got != want {
			t.Fatalf("unfinished tasks of group %d: got %d, want %d", g, got, want)
		}
	}
	if got, want := w.LiveRuns(), live; got != want {
		t.Fatalf("runs: got %d, want %d", got, want)
	}
	if got, want := fmt.Sprint(w.unfinished, w.waiting), fmt.Sprint(allUnfinished, allWaiting); got != want {
		t.Fatalf("tasks that are unfinished and that wait: got %s, want %s", got, want)
	}
	again := Restore(w.Record())
	if got, want := countsOf(again), countsOf(w); got != want {
		t.Fatalf("restored: got %s, want %s", got, want)
	}
	if got, want := again.Record(), w.Record(); !reflect.DeepEqual(got, want) {
		t.Fatalf("record of the restored workflow: got %+v, want %+v", got, want)
	}
}

// countsOf returns the counts that the workflow maintains, in all and by group.
func countsOf(w *Workflow) string {
	out := fmt.Sprint(w.liveRuns, w.unfinished, w.waiting)
	for g := range w.GroupCount() {
		out += fmt.Sprint(" ", w.Unfinished(g), w.Waiting(g))
	}
	return out
}

// ExampleWorkflow_CriticalPath shows the run time from which the objective of a workflow is derived.
func ExampleWorkflow_CriticalPath() {
	w := New(notch.Workflow{ID: "f", Stages: []notch.Stage{
		{Count: 2, Estimate: time.Second},
		{Count: 1, Estimate: 3 * time.Second, After: []int{0}},
		{Count: 9, Estimate: 2 * time.Second, After: []int{0}},
	}}, 0)
	fmt.Println(w.CriticalPath(0), w.CriticalPath(1), w.CriticalPath(2))
	// Output: 4s 3s 2s
}

// TestCriticalPathFollowsRunTimes guards against workflows that are taken for late, and wait behind others, because
// their tasks take longer than declared: their objective is longer as well.
func TestCriticalPathFollowsRunTimes(t *testing.T) {
	stages := []notch.Stage{
		{Count: 2, Estimate: time.Second}, {Count: 1, Estimate: 2 * time.Second, After: []int{0}}, {Count: 1, Estimate: 3 * time.Second, Lasts: true},
	}
	w := New(notch.Workflow{ID: "f", Stages: stages}, 1)
	for _, c := range []struct {
		stage int
		took  time.Duration
		want  []time.Duration // critical paths by stage
	}{
		{0, time.Second / 2, []time.Duration{3 * time.Second, 2 * time.Second, 3 * time.Second}},
		{0, 10 * time.Second, []time.Duration{12 * time.Second, 2 * time.Second, 3 * time.Second}},
		{0, 4 * time.Second, []time.Duration{12 * time.Second, 2 * time.Second, 3 * time.Second}},
		{1, 3 * time.Second, []time.Duration{12 * time.Second, 2 * time.Second, 3 * time.Second}},
		{1, 5 * time.Second, []time.Duration{15 * time.Second, 5 * time.Second, 3 * time.Second}},
		{2, time.Hour, []time.Duration{15 * time.Second, 5 * time.Second, 3 * time.Second}},
	} {
		before := w.CriticalPath(0)
		next := w.WithRunTime(c.stage, c.took)
		for stage, want := range c.want {
			if got := next.CriticalPath(stage); got != want {
				t.Errorf("stage %d took %v: critical path from stage %d: got %v, want %v", c.stage, c.took, stage, got, want)
			}
		}
		if got := w.CriticalPath(0); got != before {
			t.Errorf("the workflow before has changed: got %v, want %v", got, before)
		}
		w = next
	}
}

// TestLongestChainFollowsFailedRuns guards against workflows that are given up, with nearly all of their tasks done, because runs that
// failed made them late by their declared run times: their objective is longer as well (SHORT).
func TestLongestChainFollowsFailedRuns(t *testing.T) {
	stages := []notch.Stage{
		{Count: 2, Estimate: time.Second}, {Count: 1, Estimate: 2 * time.Second, After: []int{0}}, {Count: 1, Estimate: 3 * time.Second, Lasts: true},
	}
	w := New(notch.Workflow{ID: "f", Stages: stages}, 1)
	for _, c := range []struct {
		stage, failures int
		took            time.Duration
		want            time.Duration // longest chain
	}{
		{0, 1, time.Second / 2, 4 * time.Second},
		{0, 1, time.Second, 4 * time.Second},
		{0, 2, time.Second, 5 * time.Second},
		{0, 1, time.Second, 5 * time.Second},
		{1, 1, 10 * time.Second, 15 * time.Second},
		{2, 1, time.Hour, 15 * time.Second},
	} {
		next := w.WithFailedRun(c.stage, c.took, c.failures)
		if got := next.LongestChain(); got != c.want {
			t.Errorf("failure %d of stage %d after %v: got %v, want %v", c.failures, c.stage, c.took, got, c.want)
		}
		if got, want := next.CriticalPath(0), 3*time.Second; got != want {
			t.Errorf("failure %d of stage %d: critical path: got %v, want %v", c.failures, c.stage, got, want)
		}
		w = next
	}
	if got, want := w.WithRunTime(0, 4*time.Second).LongestChain(), 18*time.Second; got != want {
		t.Errorf("with a long run: got %v, want %v", got, want)
	}
}

// TestIdleSince guards against a workflow that seems idle while a task runs, or for longer than it has been.
func TestIdleSince(t *testing.T) {
	w := New(notch.Workflow{ID: "f", Stages: []notch.Stage{{Count: 2}}}, 1)
	run := func(task int, at notch.Time) {
		ref := w.TaskRef(0, task)
		old, _ := w.Task(ref)
		w = w.WithTask(ref, old.WithRun(notch.Run{Number: old.Latest + 1, Since: at}), at)
	}
	end := func(task int, at notch.Time) {
		ref := w.TaskRef(0, task)
		old, _ := w.Task(ref)
		old = old.WithoutRun(old.Latest)
		old.Idle = at
		w = w.WithTask(ref, old, at)
	}
	steps := []struct {
		name string
		do   func()
		want notch.Time
		idle bool
	}{
		{"accepted", func() {}, 1, true},
		{"one runs", func() { run(0, 2) }, 1, false},
		{"both run", func() { run(1, 3) }, 1, false},
		{"one has ended", func() { end(0, 4) }, 1, false},
		{"both have ended", func() { end(1, 5) }, 5, true},
	}
	for _, s := range steps {
		s.do()
		for name, v := range map[string]*Workflow{"": w, ", restored": Restore(w.Record())} {
			since, idle := v.IdleSince()
			if idle != s.idle || idle && since != s.want {
				t.Errorf("%s%s: got idle %t since %d, want %t since %d", s.name, name, idle, since, s.idle, s.want)
			}
		}
	}
}
