package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"tamaracknotch/api"
)

// batchLoad submits jobs and follows their tasks.
type batchLoad struct {
	site *site
	rand *rand.Rand

	mu    sync.Mutex
	tasks []batchTask
}

// batchTask is a task that was accepted.
type batchTask struct {
	id        string
	submitted time.Time
	work      time.Duration
	short     bool
	urgent    bool
}

// jobEvery is the time between two jobs of a profile.
const jobEvery = 400 * time.Millisecond

// urgentEvery is the time between two urgent jobs, which evict others when the
// workers are full.
const urgentEvery = 4 * time.Second

// run submits short and long jobs, with declared times that are often wrong,
// until ctx ends.
func (b *batchLoad) run(ctx context.Context, p profile) {
	tick := time.NewTicker(jobEvery)
	defer tick.Stop()
	lastUrgent := time.Now()
	for n := 0; ; n++ {
		j := b.draw(p, n)
		if time.Since(lastUrgent) >= urgentEvery {
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

func (b *batchLoad) draw(p profile, n int) api.Job {
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

func (b *batchLoad) submit(ctx context.Context, j api.Job) {
	if b.site.jobs.SubmitJob(ctx, j) != nil {
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

// drainTimeout bounds the wait for the last tasks.
const drainTimeout = 12 * time.Second

// await waits until every accepted task is done.
func (b *batchLoad) await() {
	deadline := time.Now().Add(drainTimeout)
	for time.Now().Before(deadline) {
		if b.missing() == 0 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (b *batchLoad) missing() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.site.place.mu.Lock()
	defer b.site.place.mu.Unlock()
	n := 0
	for _, t := range b.tasks {
		if b.site.place.published[t.id] == 0 {
			n++
		}
	}
	return n
}

// settle checks that every accepted task counted once.
func (b *batchLoad) settle() {
	for _, t := range b.tasks {
		b.site.place.mu.Lock()
		n := b.site.place.published[t.id]
		b.site.place.mu.Unlock()
		b.site.check.check(onceOnly, n == 1, "task %s was published %d times", t.id, n)
	}
}
