package drive

import (
	"cmp"
	"slices"
	"time"

	notch "tamaracknotch"
)

// Disk simulates a data folder. A write takes effect when its sync completes.
// Writes that are not synced at a crash are lost.
type Disk struct {
	Storage uint64
	Failing bool // syncs fail; Start clears it
	Full    bool // syncs fail while it is set, and are repeated

	SyncTime     time.Duration // duration of a sync; zero: that of the network of the simulator
	StalledUntil time.Duration // no sync completes before this virtual time

	hardState    notch.HardState
	snapshot     *notch.Snapshot
	entries      []notch.LogEntry
	pendingSyncs int            // syncs that have not completed
	waiting      []notch.Effect // syncs that found the disk full, and those after them
	crashCount   int            // syncs that began before the latest crash are dropped
	lastSyncAt   time.Duration  // virtual time at which the last sync completes
}

// NewDisk returns an empty disk. Storage is the identity of its data folder.
func NewDisk(storage uint64) *Disk { return &Disk{Storage: storage} }

// Init sets the content of an empty disk.
func (d *Disk) Init(r notch.Recovered) {
	d.hardState, d.entries, d.snapshot = r.Hard, slices.Clone(r.Entries), r.Snapshot
}

// Recover returns the synced content.
func (d *Disk) Recover() notch.Recovered {
	r := notch.Recovered{Hard: d.hardState, Snapshot: d.snapshot}
	for _, e := range d.entries {
		if d.snapshot == nil || e.Index > d.snapshot.Index {
			r.Entries = append(r.Entries, e)
		}
	}
	return r
}

// DropPending discards the writes that are not synced.
func (d *Disk) DropPending() {
	d.crashCount++
	d.pendingSyncs, d.waiting, d.lastSyncAt = 0, nil, 0
}

// apply makes a synced disk effect part of the content.
func (d *Disk) apply(f notch.Effect) {
	switch f := f.(type) {
	case notch.Persist:
		d.hardState = f.Hard
		if len(f.Entries) > 0 {
			first := f.Entries[0].Index
			kept, _ := slices.BinarySearchFunc(d.entries, first, func(e notch.LogEntry, index uint64) int { return cmp.Compare(e.Index, index) })
			d.entries = append(d.entries[:kept], f.Entries...)
		}
	case notch.SaveSnapshot:
		s := f.Snapshot
		d.snapshot = &s
		d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e notch.LogEntry) bool { return f.Replace || e.Index <= f.KeepFrom })
	}
}

// startSync carries out a disk effect after the sync time. Syncs complete in the
// order in which they began.
func (sim *Simulator) startSync(n *Node, f notch.Effect) {
	d := n.Disk
	crashes := d.crashCount
	d.pendingSyncs++
	sim.After(sim.syncEnd(d)-sim.now, func() {
		if d.crashCount != crashes || !n.Up {
			return
		}
		d.pendingSyncs--
		switch {
		case d.Failing:
			sim.Post(n, notch.PersistFailed{Reason: "sync failed"})
		case d.Full || len(d.waiting) > 0:
			sim.delaySync(n, f)
		default:
			d.apply(f)
			sim.finishSync(n, f)
		}
	})
}

// syncEnd returns the virtual time at which a sync that begins now completes.
func (sim *Simulator) syncEnd(d *Disk) time.Duration {
	end := sim.now + cmp.Or(d.SyncTime, sim.Net.SyncTime)
	d.lastSyncAt = max(end, d.StalledUntil, d.lastSyncAt)
	return d.lastSyncAt
}

// syncRetryPeriod is the interval in which syncs are repeated on a full disk, the same as in the
// engine.
const syncRetryPeriod = 200 * time.Millisecond

// delaySync lets a sync wait until the disk has room.
func (sim *Simulator) delaySync(n *Node, f notch.Effect) {
	n.Disk.waiting = append(n.Disk.waiting, f)
	if len(n.Disk.waiting) == 1 {
		sim.Post(n, notch.JournalFailing{Reason: "disk full", Waiting: 1})
		sim.afterUnlessKilled(n, syncRetryPeriod, func() { sim.repeatSyncs(n) })
	}
}

// repeatSyncs carries out the waiting syncs if the disk has room.
func (sim *Simulator) repeatSyncs(n *Node) {
	d := n.Disk
	if d.Full {
		sim.afterUnlessKilled(n, syncRetryPeriod, func() { sim.repeatSyncs(n) })
		return
	}
	waiting := d.waiting
	d.waiting = nil
	sim.Post(n, notch.JournalRecovered{})
	for _, f := range waiting {
		d.apply(f)
		sim.finishSync(n, f)
	}
}

// finishSync sends the messages that wait for a sync, and reports the sync to the
// control state.
func (sim *Simulator) finishSync(n *Node, f notch.Effect) {
	switch f := f.(type) {
	case notch.Persist:
		for _, m := range f.Then {
			sim.send(n, m)
		}
		if k := len(f.Entries); k > 0 {
			last := f.Entries[k-1]
			sim.Post(n, notch.Persisted{Write: f.Write, Term: last.Term, Index: last.Index})
		}
	case notch.SaveSnapshot:
		for _, m := range f.Then {
			sim.send(n, m)
		}
		sim.Post(n, notch.SnapshotSaved{Index: f.Snapshot.Index})
	}
}
