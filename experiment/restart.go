package experiment

import (
	"fmt"
	"os"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/batch"
	"tamaracknotch/wal"
	"tamaracknotch/wire"
)

// restart is what a replica's restart from real files costs.
type restart struct {
	logMB, logSeconds           float64 // 100,000 entries without a snapshot
	snapshotMB, snapshotSeconds float64 // all tasks and workers of the size to design for
}

// logEntries is the number of entries of the measurement.
const logEntries = 100_000

func measureRestart(full bool) restart {
	entries, tasks := logEntries, sizeTasks
	if !full {
		entries, tasks = entries/10, tasks/10
	}
	var r restart
	r.logMB, r.logSeconds = restartFromLog(entries)
	r.snapshotMB, r.snapshotSeconds = restartFromSnapshot(tasks)
	return r
}

// withJournal calls f with a journal in a temporary folder.
func withJournal(f func(dir string, j *wal.Journal)) {
	dir, err := os.MkdirTemp("", "notch-restart-")
	if err != nil {
		return
	}
	defer os.RemoveAll(dir)
	f(dir, openJournal(dir))
}

func openJournal(dir string) *wal.Journal {
	j := wal.New(wal.Folder(dir))
	if _, _, err := j.Identity(wal.Identity{Storage: 1}); err != nil {
		panic(err) // The folder is this process's own.
	}
	return j
}

func restartFromLog(n int) (mb, seconds float64) {
	withJournal(func(dir string, j *wal.Journal) {
		j.Load()
		const batchSize = 1000
		for i := 0; i < n; i += batchSize {
			p := notch.Persist{Hard: notch.HardState{Term: 1}}
			for k := range batchSize {
				c := notch.ClaimRequest{ID: fmt.Sprintf("sale/order-%d", i+k), Entry: "entry-1", Token: uint64(i + k)}
				p.Entries = append(p.Entries, notch.Entry{Index: uint64(i + k + 1), Term: 1, Command: c})
			}
			j.Append([]notch.Persist{p})
		}
		j.Close()
		mb = folderMB(dir)
		began := time.Now()
		r, err := openJournal(dir).Load()
		if err != nil || len(r.Entries) != n {
			panic(fmt.Sprintf("loaded %d of %d entries: %v", len(r.Entries), n, err))
		}
		seconds = time.Since(began).Seconds()
	})
	return mb, seconds
}

func restartFromSnapshot(tasks int) (mb, seconds float64) {
	d := jobState(tasks, 50)
	for i := range sizeWorkers {
		commit(d, notch.RegisterWorker{Worker: workerNamed(i)})
	}
	var snap notch.Snapshot
	for _, p := range d.state.Parts() {
		if r, ok := p.(notch.ReplicatedPart); ok {
			snap = notch.Snapshot{Index: 1, Term: 1, Images: []notch.Image{r.Image()}}
		}
	}
	withJournal(func(dir string, j *wal.Journal) {
		j.Load()
		j.SaveSnapshot(notch.SaveSnapshot{Snapshot: snap, Replace: true})
		j.Close()
		began := time.Now()
		r, err := openJournal(dir).Load()
		if err != nil || r.Snapshot == nil {
			panic(fmt.Sprintf("loaded no snapshot: %v", err))
		}
		batch.New().Step(notch.Event{Body: notch.Restored{Snapshot: *r.Snapshot}})
		seconds = time.Since(began).Seconds()
		if b, err := wire.EncodeSnapshot(snap); err == nil {
			mb = float64(len(b)) / 1e6
		}
	})
	return mb, seconds
}

func folderMB(dir string) float64 {
	items, _ := os.ReadDir(dir)
	sum := int64(0)
	for _, it := range items {
		if info, err := it.Info(); err == nil {
			sum += info.Size()
		}
	}
	return float64(sum) / 1e6
}
