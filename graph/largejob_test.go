package graph

import (
	"fmt"
	"runtime"
	"testing"

	notch "tamaracknotch"
)

// A job of 20,000 tasks held the control thread for a second and more, as each change of a task
// copied all tasks of its stage: ten times the tasks cost a hundred times the work.
func TestChangeOfTaskCopiesNoOtherTasks(t *testing.T) {
	const maxGrowth = 1.2 // of a change, if the workflow has ten times the tasks
	for _, tt := range []struct {
		name string
		flow func(tasks int) notch.Workflow
	}{
		{"one stage", oneStage},
		{"one task a round", oneTaskPerRound},
	} {
		t.Run(tt.name, func(t *testing.T) {
			small, large := bytesPerChange(tt.flow(2_000)), bytesPerChange(tt.flow(20_000))
			if got, want := large/small, maxGrowth; got > want {
				t.Errorf("bytes allocated for a change with 10 times the tasks: got %.1f times (%.0f, before %.0f), want at most %.1f times", got, large, small, want)
			}
		})
	}
}

// BenchmarkWithTask measures the placement and the end of one run, by the tasks of the workflow.
func BenchmarkWithTask(b *testing.B) {
	for _, tasks := range []int{1, 10, 500, 5_000, 20_000} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			w := New(oneStage(tasks), 0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				w = placeAndEnd(w, i%tasks)
			}
		})
	}
}

func oneStage(tasks int) notch.Workflow {
	return notch.Workflow{ID: "f", Stages: []notch.Stage{{Count: tasks}}}
}

func oneTaskPerRound(tasks int) notch.Workflow {
	return notch.Workflow{ID: "f", Rounds: tasks, Stages: []notch.Stage{{Count: 1}}}
}

// bytesPerChange returns the bytes allocated for the placement and the end of a run.
func bytesPerChange(f notch.Workflow) float64 {
	const changes = 200
	w := New(f, 0)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range changes {
		w = placeAndEnd(w, i)
	}
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / changes
}

// placeAndEnd gives a task a run, which then fails. N counts the tasks of all rounds.
func placeAndEnd(w *Workflow, n int) *Workflow {
	count := w.Flow.Stages[0].Count
	ref := notch.TaskRef{Flow: w.Flow.ID, Round: n / count, Index: n % count}
	t, _ := w.Task(ref)
	t = t.WithRun(notch.Run{Number: t.Latest + 1})
	return w.WithTask(ref, t, 0).WithTask(ref, t.WithoutRun(t.Latest), 0)
}
