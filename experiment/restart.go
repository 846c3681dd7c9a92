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

// restartCost is the cost of a replica's restart from real files.
type restartCost struct {
	logMB, logSeconds           float64 // logEntries log entries without a snapshot
	snapshotMB, snapshotSeconds float64 // a snapshot of the tasks and workers of the design size
}

// logEntries is the number of log entries from which a replica restarts.
const logEntries = 100_000

// measureRestart measures both restarts. If full is false, it uses a tenth of the log
// entries and of the tasks.
func measureRestart(full bool) restartCost {
	entries, tasks := logEntries, designTasks
	if !full {
		entries, tasks = entries/10, tasks/10
	}
	var r restartCost
	r.logMB, r.logSeconds = restartFromLog(entries)
	r.snapshotMB, r.snapshotSeconds = restartFromSnapshot(tasks)
	return r
}

// withTempJournal calls f with a new journal in a temporary folder, which it removes
// afterwards. It doesn't call f if the folder can't be created.
func withTempJournal(f func(dir string, j *wal.Journal)) {
	dir, err := os.MkdirTemp("", "notch-restart-")
	if err != nil {
		return
	}
	defer os.RemoveAll(dir)
	f(dir, openJournal(dir))
}

// openJournal opens the journal in dir.
func openJournal(dir string) *wal.Journal {
	j := wal.New(wal.Folder(dir))
	if _, err := j.Identity(wal.Identity{Storage: 1}); err != nil {
		panic(err) // no other process uses the folder
	}
	return j
}

// restartFromLog returns the size of a log of n entries and the time to load it.
func restartFromLog(n int) (mb, seconds float64) {
	withTempJournal(func(dir string, j *wal.Journal) {
		j.Load()
		const batchSize = 1000
		for i := 0; i < n; i += batchSize {
			p := notch.Persist{Hard: notch.HardState{Term: 1}}
			for k := range batchSize {
				c := notch.ClaimRequest{ID: fmt.Sprintf("sale/order-%d", i+k), Entry: "entry-1", Token: uint64(i + k)}
				p.Entries = append(p.Entries, notch.LogEntry{Index: uint64(i + k + 1), Term: 1, Command: c})
			}
			j.Append([]notch.Persist{p})
		}
		j.Close()
		mb = folderMB(dir)
		start := time.Now()
		r, err := openJournal(dir).Load()
		if err != nil || len(r.Entries) != n {
			panic(fmt.Sprintf("loaded %d of %d entries: %v", len(r.Entries), n, err))
		}
		seconds = time.Since(start).Seconds()
	})
	return mb, seconds
}

// restartFromSnapshot returns the size of a snapshot and the time to load and restore it.
func restartFromSnapshot(tasks int) (mb, seconds float64) {
	d := leaderWithTasks(tasks, 50)
	for i := range designWorkers {
		commit(d, notch.RegisterWorker{Worker: newWorker(i)})
	}
	var snap notch.Snapshot
	for _, p := range d.state.Parts() {
		if r, ok := p.(notch.ReplicatedPart); ok {
			snap = notch.Snapshot{Index: 1, Term: 1, Images: []notch.PartSnapshot{r.Snapshot()}}
		}
	}
	withTempJournal(func(dir string, j *wal.Journal) {
		j.Load()
		j.SaveSnapshot(notch.SaveSnapshot{Snapshot: snap, Replace: true})
		j.Close()
		start := time.Now()
		r, err := openJournal(dir).Load()
		if err != nil || r.Snapshot == nil {
			panic(fmt.Sprintf("loaded no snapshot: %v", err))
		}
		batch.New().Step(notch.Event{Body: notch.Restored{Snapshot: *r.Snapshot}})
		seconds = time.Since(start).Seconds()
		if b, err := wire.EncodeSnapshot(snap); err == nil {
			mb = float64(len(b)) / 1e6
		}
	})
	return mb, seconds
}

func folderMB(dir string) float64 {
	files, _ := os.ReadDir(dir)
	sum := int64(0)
	for _, it := range files {
		if info, err := it.Info(); err == nil {
			sum += info.Size()
		}
	}
	return float64(sum) / 1e6
}
