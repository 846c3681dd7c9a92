package fake

import (
	"runtime/metrics"
	"testing"
	"time"
)

// BenchmarkStarts measures what the reducers of three replicas and two entries, and their simulation, spend
// on a task from its placement to its end. An operation is the load of testdata/agent-starts-large.yaml; the
// metrics are for one of its tasks.
func BenchmarkStarts(b *testing.B) {
	load := readAgentLoad(b, "testdata/agent-starts-large.yaml")
	for b.Loop() {
		b.StopTimer()
		l := newLoadTest(b, load, 1)
		startedAt, allocated := time.Now(), allocatedBytes()
		b.StartTimer()
		l.start()
		l.runFor(load.Length + load.Bounds.Finish)
		tasks := float64(l.taskCount())
		b.ReportMetric(float64(time.Since(startedAt).Microseconds())/tasks, "us/task")
		b.ReportMetric(float64(allocatedBytes()-allocated)/tasks, "B/task")
	}
}

// allocatedBytes returns the bytes that the process has allocated since its start.
func allocatedBytes() uint64 {
	sample := []metrics.Sample{{Name: "/gc/heap/allocs:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// taskCount returns the number of tasks of all workflows.
func (l *loadTest) taskCount() int {
	n := 0
	for _, w := range l.workflows {
		for _, st := range w.Stages {
			n += st.Count
		}
	}
	return n
}
