// Package wal is the write-ahead log of a replica. It stores the log and the
// snapshots as files in one data folder. A write is acknowledged only after it is
// synced. A write that failed may be repeated: the next one first removes what it left.
//
// The folder contains the file "identity", one file "snapshot-INDEX", and log segments
// named "log-SEQ". A segment is a sequence of frames; each sync writes one frame. Every
// snapshot starts a new segment, so that older segments can be removed once none of
// their entries is needed.
package wal

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	notch "tamaracknotch"
	"tamaracknotch/wire"
)

// File is a segment that is open for appending.
type File interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// FileSystem gives access to the files of a data folder. Names are relative to the folder.
type FileSystem interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
	// OpenAppend opens a file for appending and truncates it to length bytes. It
	// creates the file if needed. If the file has that length, nothing is written.
	OpenAppend(name string, length int64) (File, error)
	// Rewrite writes b again, in place, which a file holds from an offset on.
	Rewrite(name string, from int64, b []byte) error
	// WriteAtomic creates or replaces a file and syncs it. An existing file keeps its
	// old content until the new content is complete. If it fails, no other file is left.
	WriteAtomic(name string, b []byte) error
	Remove(name string) error
	SyncFolder() error
}

const (
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
)

// Journal implements [notch.Journal] on a file system.
type Journal struct {
	files          FileSystem
	segment        File              // the current segment; nil if it has to be opened before the next write
	segmentSeq     uint64            // of the current segment
	syncedLength   int64             // of the current segment; bytes after it belong to a write that failed
	lastFrame      int64             // offset of the last frame that Load has read
	loaded         []byte            // content of the segment that Load has read last, while suspectFrame
	lastFrameFirst uint64            // index of the first entry of that frame; zero: it holds none
	suspectFrame   bool              // a sync of that frame may have failed, so it has to be written again
	segmentLast    uint64            // highest entry index of the current segment
	closedLast     map[uint64]uint64 // highest entry index of each closed segment, and after Load also of the current one
	hardState      notch.HardState
	snapshotName   string   // name of the latest snapshot file
	oldSnapshots   []string // names of the snapshot files to remove
}

// New returns a journal that stores its data in files. Load must be called before any
// other method except those for the identity.
func New(files FileSystem) *Journal {
	return &Journal{files: files, closedLast: map[uint64]uint64{}}
}

func segmentName(seq uint64) string { return fmt.Sprintf("%s%012d", segmentPrefix, seq) }

// Load implements [notch.Journal].
func (j *Journal) Load() (notch.Recovered, error) {
	var r notch.Recovered
	names, err := j.files.List()
	if err != nil {
		return r, errors.Wrap(err, "list data folder")
	}
	slices.Sort(names)
	if r.Snapshot, err = j.loadSnapshot(names); err != nil {
		return r, err
	}
	segments := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return !strings.HasPrefix(n, segmentPrefix) || strings.HasSuffix(n, tempSuffix) })
	log := recoveredLog{}
	if r.Snapshot != nil {
		log.snapshotIndex = r.Snapshot.Index
	}
	torn := false
	for i, name := range segments {
		if torn, err = j.loadSegment(name, i == len(segments)-1, &log); err != nil {
			return r, err
		}
	}
	r.Hard = log.hardState
	j.hardState = log.hardState
	if r.Entries, err = log.entriesAfter(r.Snapshot); err != nil {
		return r, err
	}
	if j.segmentSeq == 0 {
		j.segmentSeq = 1
	}
	j.removeTemporary(names)
	if err := j.syncLoaded(torn); err != nil {
		return r, err
	}
	r.Unsynced = j.unsynced(r.Entries)
	return r, nil
}

// unsynced returns the number of entries that belong to a last frame which may not be synced.
func (j *Journal) unsynced(entries []notch.LogEntry) int {
	if !j.suspectFrame || j.lastFrameFirst == 0 {
		return 0
	}
	first, _ := slices.BinarySearchFunc(entries, j.lastFrameFirst, func(e notch.LogEntry, index uint64) int { return cmp.Compare(e.Index, index) })
	return len(entries) - first
}

// syncLoaded syncs what the process before may have left unsynced: names, and the last frame unless a
// torn one follows it.
func (j *Journal) syncLoaded(torn bool) error {
	if err := j.files.SyncFolder(); err != nil {
		return errors.Wrap(err, "sync data folder")
	}
	j.suspectFrame = !torn && j.syncedLength > 0
	err := j.openSegment()
	if torn || j.suspectFrame {
		// On a full disk the last frame may have to wait for the next write.
		return nil
	}
	return err
}

// rewriteLastFrame writes the last frame again. If a sync of it has failed, the next sync doesn't
// include it otherwise, and what is read from the file may change meanwhile. Where the disk refuses to
// write in place, the segment is replaced.
func (j *Journal) rewriteLastFrame() error {
	name := segmentName(j.segmentSeq)
	if j.files.Rewrite(name, j.lastFrame, j.loaded[j.lastFrame:]) == nil {
		return nil
	}
	return errors.Wrap(j.files.WriteAtomic(name, j.loaded), "write last frame again")
}

// removeTemporary removes the files that the process before didn't complete. One that can't be
// removed does no harm.
func (j *Journal) removeTemporary(names []string) {
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			_ = j.files.Remove(name)
		}
	}
}

// loadSnapshot returns the latest snapshot, or nil if the folder holds none.
func (j *Journal) loadSnapshot(names []string) (*notch.Snapshot, error) {
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) && !strings.HasSuffix(name, tempSuffix) {
			j.replaceSnapshot(name)
		}
	}
	if j.snapshotName == "" {
		return nil, nil
	}
	b, err := j.files.Read(j.snapshotName)
	if err != nil {
		return nil, errors.Wrap(err, "read snapshot")
	}
	payloads, _, err := decodeFrames(b)
	if err != nil || len(payloads) != 1 {
		return nil, errors.Wrapf(notch.ErrCorrupt, "%s", j.snapshotName)
	}
	s, err := wire.DecodeSnapshot(payloads[0])
	if err != nil {
		return nil, errors.Wrapf(notch.ErrCorrupt, "%s: %v", j.snapshotName, err)
	}
	return &s, nil
}

// loadSegment makes a segment the current one and adds its records to log. It reports whether the
// segment ends in a torn frame.
func (j *Journal) loadSegment(name string, last bool, log *recoveredLog) (torn bool, err error) {
	seq, err := strconv.ParseUint(strings.TrimPrefix(name, segmentPrefix), 10, 64)
	if err != nil {
		return false, errors.Wrapf(notch.ErrCorrupt, "segment file %q has no sequence number", name)
	}
	b, err := j.files.Read(name)
	if err != nil {
		return false, errors.Wrapf(err, "read %s", name)
	}
	payloads, length, err := decodeFrames(b)
	if err != nil {
		return false, errors.Wrap(err, name)
	}
	torn = length != int64(len(b))
	if !last && torn {
		return false, errors.Wrapf(notch.ErrCorrupt, "%s ends in a torn frame but isn't the last segment", name)
	}
	j.segmentLast, j.lastFrame, j.lastFrameFirst, j.loaded = 0, 0, 0, b
	if n := len(payloads); n > 0 {
		j.lastFrame = length - frameHeaderSize - int64(len(payloads[n-1]))
	}
	for _, p := range payloads {
		records, err := wire.DecodeRecords(p)
		if err != nil {
			return false, errors.Wrapf(notch.ErrCorrupt, "%s: %v", name, err)
		}
		j.lastFrameFirst = firstIndex(records)
		for _, r := range records {
			log.add(r)
			j.segmentLast = max(j.segmentLast, lastIndex(r.Entries))
		}
	}
	j.segmentSeq, j.syncedLength, j.closedLast[seq] = seq, length, j.segmentLast
	return torn, nil
}

// firstIndex returns the lowest index of the entries in records, or 0.
func firstIndex(records []wire.Record) uint64 {
	first := uint64(0)
	for _, r := range records {
		if len(r.Entries) > 0 && (first == 0 || r.Entries[0].Index < first) {
			first = r.Entries[0].Index
		}
	}
	return first
}

// lastIndex returns the index of the last entry in es, or 0.
func lastIndex(es []notch.LogEntry) uint64 {
	if len(es) == 0 {
		return 0
	}
	return es[len(es)-1].Index
}

// Append implements [notch.Journal].
func (j *Journal) Append(records []notch.Persist) error {
	var rs []wire.Record
	for _, r := range records {
		rs = append(rs, wire.Record{Hard: r.Hard, Entries: r.Entries})
	}
	return j.appendRecords(rs)
}

// appendRecords writes rs as one frame and syncs it.
func (j *Journal) appendRecords(rs []wire.Record) error {
	b, err := wire.EncodeRecords(rs)
	if err != nil {
		return err
	}
	if err := j.openSegment(); err != nil {
		return err
	}
	frame := encodeFrame(b)
	if _, err := j.segment.Write(frame); err != nil {
		j.closeSegment()
		return errors.Wrap(err, "write log")
	}
	if err := j.segment.Sync(); err != nil {
		// A second sync may succeed without what the first one failed to write. So the frame is
		// removed, before another process takes it for synced, and has to be written again.
		j.closeSegment()
		_ = j.openSegment()
		return errors.Wrap(err, "sync log")
	}
	j.syncedLength += int64(len(frame))
	for _, r := range rs {
		j.hardState = r.Hard
		j.segmentLast = max(j.segmentLast, lastIndex(r.Entries))
	}
	return nil
}

// openSegment opens the current segment if it isn't open. The file then ends after the last frame
// that counts, and is synced.
func (j *Journal) openSegment() error {
	if j.segment != nil {
		return nil
	}
	if j.suspectFrame {
		if err := j.rewriteLastFrame(); err != nil {
			return err
		}
	}
	f, err := j.files.OpenAppend(segmentName(j.segmentSeq), j.syncedLength)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return errors.Wrap(err, "sync log")
	}
	j.suspectFrame, j.loaded = false, nil
	if err := j.files.SyncFolder(); err != nil {
		f.Close()
		return errors.Wrap(err, "sync data folder")
	}
	j.segment = f
	return nil
}

// closeSegment closes the current segment. Everything that counts is synced, so errors do no harm.
func (j *Journal) closeSegment() {
	j.segment.Close()
	j.segment = nil
}

// SaveSnapshot implements [notch.Journal].
func (j *Journal) SaveSnapshot(s notch.SaveSnapshot) error {
	b, err := wire.EncodeSnapshot(s.Snapshot)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s%020d", snapshotPrefix, s.Snapshot.Index)
	if err := j.files.WriteAtomic(name, encodeFrame(b)); err != nil {
		return errors.Wrap(err, "write snapshot")
	}
	j.replaceSnapshot(name)
	if err := j.rollSegment(s); err != nil {
		return err
	}
	j.removeOld(s)
	return nil
}

// replaceSnapshot makes the named file the latest snapshot.
func (j *Journal) replaceSnapshot(name string) {
	if j.snapshotName != "" && j.snapshotName != name {
		j.oldSnapshots = append(j.oldSnapshots, j.snapshotName)
	}
	j.snapshotName = name
}

// rollSegment starts a new segment. If it fails, the next call goes on with the same segment.
func (j *Journal) rollSegment(s notch.SaveSnapshot) error {
	// Only the last segment may end in a torn frame, so this one has to be repaired first.
	if err := j.openSegment(); err != nil {
		return err
	}
	if j.syncedLength > 0 {
		j.closeSegment()
		j.closedLast[j.segmentSeq] = j.segmentLast
		j.segmentSeq++
		j.segmentLast, j.syncedLength = 0, 0
	}
	first := wire.Record{Hard: j.hardState}
	if s.Replace {
		first.Reset = s.Snapshot.Index
	}
	return j.appendRecords([]wire.Record{first})
}

// removeOld removes the files that the snapshot makes unnecessary. What can't be removed now is
// removed after the next snapshot.
func (j *Journal) removeOld(s notch.SaveSnapshot) {
	j.oldSnapshots = slices.DeleteFunc(j.oldSnapshots, func(name string) bool { return j.files.Remove(name) == nil })
	// Segments are removed in ascending order, so that the remaining ones are contiguous.
	for _, seq := range slices.Sorted(maps.Keys(j.closedLast)) {
		last := j.closedLast[seq]
		if seq == j.segmentSeq || !s.Replace && last > s.KeepFrom || j.files.Remove(segmentName(seq)) != nil {
			return
		}
		delete(j.closedLast, seq)
	}
}

// Close implements [notch.Journal].
func (j *Journal) Close() error {
	if j.segment == nil {
		return nil
	}
	return errors.Wrap(j.segment.Close(), "close log")
}
