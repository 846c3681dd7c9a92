package wal

import (
	"bytes"
	"errors"
	"maps"
	"slices"
	"strings"
)

var errDisk = errors.New("no space left on the fake disk")

// operation is a step on the fake disk that may fail.
type operation string

const (
	opOpen     operation = "open"
	opTruncate operation = "truncate"
	opWrite    operation = "write"
	opSync     operation = "sync"
	opEnd      operation = "end"    // the process ends before a sync, which loses nothing yet
	opAtomic   operation = "atomic" // a file is written and renamed
	opRemove   operation = "remove"
	opFolder   operation = "folder" // the folder is synced
)

// disk is a fake data folder. A crash discards what wasn't synced.
type disk struct {
	files   map[string]*content
	durable map[string]*content // the names when the folder was synced last
	fails   func(operation) bool
}

// content is the content of a file.
type content struct {
	data   []byte
	synced []byte // what a crash leaves
	// A failed sync has lost the bytes from lostFrom up to lostTo: further syncs don't write them,
	// unless they are truncated and written again.
	lostFrom, lostTo int
}

func newDisk() *disk {
	return &disk{files: map[string]*content{}, durable: map[string]*content{}, fails: failNever}
}

func failNever(operation) bool { return false }

// failAt returns a function that lets the given operations fail.
func failAt(ops ...operation) func(operation) bool {
	return func(op operation) bool { return slices.Contains(ops, op) }
}

func (c *content) sync() {
	c.synced = bytes.Clone(c.data)
	for i := c.lostFrom; i < c.lostTo; i++ {
		c.synced[i] = 0
	}
}

func (c *content) truncate(length int) {
	c.data = bytes.Clone(c.data[:length])
	c.lostTo = min(c.lostTo, length)
}

type diskFile struct {
	d *disk
	*content
}

// Write stores half of the data if it fails.
func (f diskFile) Write(b []byte) (int, error) {
	if f.d.fails(opWrite) {
		f.data = append(f.data, b[:len(b)/2]...)
		return len(b) / 2, errDisk
	}
	f.data = append(f.data, b...)
	return len(b), nil
}

func (f diskFile) Sync() error {
	if f.d.fails(opEnd) {
		return errDisk
	}
	if f.d.fails(opSync) {
		f.lostFrom, f.lostTo = len(f.synced), len(f.data)
		return errDisk
	}
	f.sync()
	return nil
}

func (f diskFile) Close() error { return nil }

func (d *disk) List() ([]string, error) { return slices.Sorted(maps.Keys(d.files)), nil }

func (d *disk) Read(name string) ([]byte, error) { return bytes.Clone(d.files[name].data), nil }

func (d *disk) OpenAppend(name string, length int64) (File, error) {
	c := d.files[name]
	if c == nil {
		if d.fails(opOpen) {
			return nil, errDisk
		}
		c = &content{}
		d.files[name] = c
	}
	if len(c.data) != int(length) {
		if d.fails(opTruncate) {
			return nil, errDisk
		}
		c.truncate(int(length))
	}
	return diskFile{d, c}, nil
}

func (d *disk) Rewrite(name string, from int64, b []byte) error {
	if d.fails(opWrite) {
		return errDisk
	}
	if c := d.files[name]; c != nil {
		copy(c.data[from:], b)
		c.lostTo = min(c.lostTo, int(from))
	}
	return nil
}

func (d *disk) WriteAtomic(name string, b []byte) error {
	if d.fails(opAtomic) {
		return errDisk
	}
	d.files[name] = &content{data: bytes.Clone(b), synced: bytes.Clone(b)}
	return d.SyncFolder()
}

func (d *disk) Remove(name string) error {
	if d.fails(opRemove) {
		return errDisk
	}
	delete(d.files, name)
	return nil
}

func (d *disk) SyncFolder() error {
	if d.fails(opFolder) {
		return errDisk
	}
	d.durable = maps.Clone(d.files)
	return nil
}

// crash truncates every file to what is synced plus keepBytes. Of each name that was added, replaced
// or removed since the folder was synced, keepsName decides whether the change is kept.
func (d *disk) crash(keepBytes int, keepsName func() bool) {
	for _, name := range slices.Sorted(maps.Keys(d.durable)) {
		if d.files[name] != d.durable[name] && !keepsName() {
			d.files[name] = d.durable[name]
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		if d.durable[name] == nil && !keepsName() {
			delete(d.files, name)
		}
	}
	for _, c := range d.files {
		unsynced := c.data[min(len(c.synced), len(c.data)):]
		c.data = append(bytes.Clone(c.synced), unsynced[:min(keepBytes, len(unsynced))]...)
		c.synced, c.lostFrom, c.lostTo = bytes.Clone(c.data), 0, 0
	}
	d.durable = maps.Clone(d.files)
	d.fails = failNever
}

func keepAll() bool { return true }

// lastFile returns the name of the last file with the prefix, or "".
func (d *disk) lastFile(prefix string) string {
	names, _ := d.List()
	names = slices.DeleteFunc(names, func(n string) bool { return !strings.HasPrefix(n, prefix) })
	if len(names) == 0 {
		return ""
	}
	return names[len(names)-1]
}
