package graph

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	notch "tamaracknotch"
)

// TestDifferential compares a job with a naive count over all its tasks, while tasks
// get runs, lose them and end in any order.
func TestDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := notch.Flow{ID: "f", Rounds: rapid.IntRange(0, 2).Draw(t, "rounds")}
		for i := range rapid.IntRange(1, 4).Draw(t, "stages") {
			st := notch.Stage{Count: rapid.IntRange(1, 3).Draw(t, "count")}
			if i > 0 && rapid.Bool().Draw(t, "after") {
				st.After = []int{rapid.IntRange(0, i-1).Draw(t, "which")}
			}
			f.Stages = append(f.Stages, st)
		}
		j := New(f, 0)
		for n := range 60 {
			if j.State.Ended() {
				break
			}
			g := rapid.IntRange(0, j.Groups()-1).Draw(t, "group")
			ref := j.Ref(g, rapid.IntRange(0, len(j.Tasks[g])-1).Draw(t, "index"))
			task, _ := j.Task(ref)
			switch {
			case len(task.Runs) > 0:
				task = task.WithoutRun(task.Latest)
				if rapid.Bool().Draw(t, "done") {
					task.State = notch.TaskDone
				}
			case task.State == notch.TaskOpen && j.Due(g, 0):
				task = task.WithRun(notch.Run{Number: task.Latest + 1})
			}
			j = j.WithTask(ref, task, notch.Time(n))
			compare(t, j)
		}
	})
}

// compare counts again what the job keeps counted.
func compare(t *rapid.T, j *Job) {
	if j.State.Ended() {
		return
	}
	live := 0
	for g := range j.Groups() {
		left := 0
		for _, task := range j.Tasks[g] {
			live += len(task.Runs)
			if task.State != notch.TaskDone {
				left++
			}
		}
		if got, want := j.Left(g), left; got != want {
			t.Fatalf("tasks left in group %d: got %d, want %d", g, got, want)
		}
	}
	if got, want := j.Live(), live; got != want {
		t.Fatalf("runs: got %d, want %d", got, want)
	}
	again := Restore(j.Record())
	if got, want := fmt.Sprint(again.Live(), again.left), fmt.Sprint(j.Live(), j.left); got != want {
		t.Fatalf("restored: got %s, want %s", got, want)
	}
}

// ExampleJob_Chain shows what the objective of a job rests on.
func ExampleJob_Chain() {
	j := New(notch.Flow{ID: "f", Stages: []notch.Stage{
		{Count: 2, Estimate: time.Second},
		{Count: 1, Estimate: 3 * time.Second, After: []int{0}},
		{Count: 9, Estimate: 2 * time.Second, After: []int{0}},
	}}, 0)
	estimate := func(st notch.Stage) time.Duration { return st.Estimate }
	fmt.Println(j.Chain(0, estimate), j.Chain(1, estimate), j.Chain(2, estimate))
	// Output: 4s 3s 2s
}
