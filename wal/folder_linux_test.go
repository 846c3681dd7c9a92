package wal

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	notch "tamaracknotch"
)

// Guards against a data folder that can't be written to after its file system was full.
func TestFolderOnFullDisk(t *testing.T) {
	dir := t.TempDir()
	j := New(Folder(dir))
	if _, err := j.Load(); err != nil {
		t.Fatal(err)
	}
	if err := j.Append([]notch.Persist{{Hard: notch.HardState{Term: 1}, Entries: entries(1, 1, 3)}}); err != nil {
		t.Fatal(err)
	}
	save := notch.SaveSnapshot{Snapshot: notch.Snapshot{Index: 2, Term: 1}, KeepFrom: 2}
	// Writes to the device /dev/full fail as on a full disk.
	if err := os.Symlink("/dev/full", filepath.Join(dir, "snapshot-00000000000000000002"+tempSuffix)); err != nil {
		t.Fatal(err)
	}
	if err := j.SaveSnapshot(save); !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("got %v, want ENOSPC", err)
	}
	if err := j.SaveSnapshot(save); err != nil {
		t.Fatal(err)
	}
	j = New(Folder(dir))
	r, err := j.Load()
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(r.Entries), 1; r.Snapshot == nil || got != want {
		t.Errorf("got snapshot %v and %d entries, want a snapshot and %d", r.Snapshot, got, want)
	}
}
