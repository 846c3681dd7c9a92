package drive

import (
	"slices"

	notch "tamaracknotch"
)

// Disk is a fake of a data folder. A write takes effect when it is synced;
// writes that wait at a crash are lost.
type Disk struct {
	Storage uint64
	Failing bool // syncs fail from now on

	hard     notch.HardState
	snapshot *notch.Snapshot
	entries  []notch.Entry
	waiting  int // syncs under way
	epoch    int // grows at a crash
}

// NewDisk returns an empty disk.
func NewDisk(storage uint64) *Disk { return &Disk{Storage: storage} }

// Fill puts content on an empty disk.
func (d *Disk) Fill(r notch.Recovered) { d.hard, d.entries, d.snapshot = r.Hard, r.Entries, r.Snapshot }

// Recover returns what was synced.
func (d *Disk) Recover() notch.Recovered {
	r := notch.Recovered{Hard: d.hard, Snapshot: d.snapshot}
	for _, e := range d.entries {
		if d.snapshot == nil || e.Index > d.snapshot.Index {
			r.Entries = append(r.Entries, e)
		}
	}
	return r
}

// Forget drops the writes that wait.
func (d *Disk) Forget() {
	d.epoch++
	d.waiting = 0
}

func (d *Disk) write(f notch.Effect) {
	switch f := f.(type) {
	case notch.Persist:
		d.hard = f.Hard
		if len(f.Entries) > 0 {
			first := f.Entries[0].Index
			d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e notch.Entry) bool { return e.Index >= first })
			d.entries = append(d.entries, f.Entries...)
		}
	case notch.SaveSnapshot:
		s := f.Snapshot
		d.snapshot = &s
		d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e notch.Entry) bool { return f.Replace || e.Index <= f.KeepFrom })
	}
}

// sync carries out a disk effect. Syncs end in the order in which they began.
func (w *World) sync(n *Node, f notch.Effect) {
	d := n.Disk
	epoch := d.epoch
	d.waiting++
	w.After(w.Net.Sync, func() {
		if d.epoch != epoch || !n.Up {
			return
		}
		d.waiting--
		if d.Failing {
			w.Post(n, notch.PersistFailed{Reason: "sync failed"})
			return
		}
		d.write(f)
		w.synced(n, f)
	})
}

func (w *World) synced(n *Node, f notch.Effect) {
	switch f := f.(type) {
	case notch.Persist:
		for _, s := range f.Then {
			w.send(n, s)
		}
		p := notch.Persisted{Term: f.Hard.Term}
		if k := len(f.Entries); k > 0 {
			p.Index = f.Entries[k-1].Index
		}
		w.Post(n, p)
	case notch.SaveSnapshot:
		for _, s := range f.Then {
			w.send(n, s)
		}
		w.Post(n, notch.SnapshotSaved{Index: f.Snapshot.Index})
	}
}
