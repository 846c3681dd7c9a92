package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"tamaracknotch/api"
)

// batchLoad submits jobs and keeps a list of their tasks.
type batchLoad struct {
	testbed *testbed
	rand    *rand.Rand

	mu    sync.Mutex
	tasks []batchTask
}

// batchTask is a task of an accepted job.
type batchTask struct {
	id        string
	submitted time.Time
	work      time.Duration
	short     bool
	urgent    bool
}

// jobInterval is the time between two jobs of one profile.
const jobInterval = 400 * time.Millisecond

// urgentJobInterval is the time between two urgent jobs of one profile. They evict
// other tasks if the workers are full.
const urgentJobInterval = 4 * time.Second

// run submits short and long jobs of a profile until ctx ends. The declared run times
// are often wrong on purpose.
func (b *batchLoad) run(ctx context.Context, p profile) {
	tick := time.NewTicker(jobInterval)
	defer tick.Stop()
	lastUrgent := time.Now()
	for n := 0; ; n++ {
		j := b.newJob(p, n)
		if time.Since(lastUrgent) >= urgentJobInterval {
			lastUrgent = time.Now()
			j.Class, j.Kind = "urgent", p.name+"-urgent"
			j.Size = api.Resources{MilliCPU: p.milliCPU / 2, MemoryMB: p.milliCPU / 8}
			j.Tasks, j.Command = 1, "300ms"
		}
		b.submit(ctx, j)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// newJob returns the job with index n of a profile: a normal job of short tasks, or
// every fourth time a best-effort job of long tasks.
func (b *batchLoad) newJob(p profile, n int) api.Job {
	j := api.Job{
		ID: fmt.Sprintf("%s-job-%d", p.name, n), Team: "lines", Pool: p.name + "-workers", Class: "normal",
		Kind: p.name + "-short", Tasks: 4, Size: api.Resources{MilliCPU: p.milliCPU / 8, MemoryMB: p.milliCPU / 16},
		ExpectedSeconds: 0.3 * (0.1 + 3*b.rand.Float64()), Command: "300ms", Checkpointable: true,
	}
	if n%4 == 3 {
		j.Kind, j.Class, j.Team, j.Tasks = p.name+"-long", "best-effort", "night", 6
		j.Command = "4s"
		j.ExpectedSeconds = 0.1
	}
	return j
}

// submit submits a job and lists its tasks if the job is accepted.
func (b *batchLoad) submit(ctx context.Context, j api.Job) {
	if b.testbed.callerAPI.SubmitJob(ctx, j) != nil {
		return
	}
	work, _ := time.ParseDuration(j.Command)
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range j.Tasks {
		b.tasks = append(b.tasks, batchTask{
			id: fmt.Sprintf("%s/%d", j.ID, i), submitted: time.Now(), work: work,
			short: j.Command == "300ms", urgent: j.Class == "urgent",
		})
	}
}

// drainTimeout bounds the wait for unfinished tasks after the load.
const drainTimeout = 12 * time.Second

// awaitTasks waits until every accepted task is finished, up to drainTimeout.
func (b *batchLoad) awaitTasks() {
	deadline := time.Now().Add(drainTimeout)
	for time.Now().Before(deadline) {
		if b.unfinished() == 0 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// unfinished returns the number of accepted tasks without a counted result.
func (b *batchLoad) unfinished() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.testbed.tasks.mu.Lock()
	defer b.testbed.tasks.mu.Unlock()
	n := 0
	for _, t := range b.tasks {
		if b.testbed.tasks.published[t.id] == 0 {
			n++
		}
	}
	return n
}

// checkCountedOnce checks that every accepted task was counted exactly once.
func (b *batchLoad) checkCountedOnce() {
	for _, t := range b.tasks {
		b.testbed.tasks.mu.Lock()
		n := b.testbed.tasks.published[t.id]
		b.testbed.tasks.mu.Unlock()
		b.testbed.checker.check(countedOnce, n == 1, "task %s was published %d times", t.id, n)
	}
}
