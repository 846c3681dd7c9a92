// Package wal is the write-ahead log of a replica. It stores the log and the
// snapshots as files in one data folder. A write is acknowledged only after it is
// synced.
//
// The folder contains the file "identity", one file "snapshot-INDEX", and log segments
// named "log-SEQ". A segment is a sequence of frames; each sync writes one frame. Every
// snapshot starts a new segment, so that older segments can be removed once none of
// their entries is needed.
package wal

import (
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
	// creates the file if needed.
	OpenAppend(name string, length int64) (File, error)
	// WriteAtomic creates or replaces a file and syncs it. An existing file keeps its
	// old content until the new content is complete.
	WriteAtomic(name string, b []byte) error
	Remove(name string) error
	SyncFolder() error
}

// Identity identifies a data folder. A folder that is wiped and created again gets a new
// identity.
type Identity struct {
	Storage uint64 // random and not zero
	Cluster uint64 // zero until the cluster is known
}

const (
	identityName   = "identity"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
)

// Journal implements [notch.Journal] on a file system.
type Journal struct {
	files        FileSystem
	segment      File
	segmentSeq   uint64            // of the current segment
	closedLast   map[uint64]uint64 // highest entry index of each closed segment, and after Load also of the current one
	segmentLast  uint64            // highest entry index of the current segment
	hardState    notch.HardState
	snapshotName string // name of the latest snapshot file
	writeErr     error  // the first error of a write or sync; nothing is written after it
}

// New returns a journal that stores its data in files. Load must be called before any
// other method except those for the identity.
func New(files FileSystem) *Journal {
	return &Journal{files: files, closedLast: map[uint64]uint64{}}
}

// Identity returns the identity of the folder and whether it was created by this call. A
// folder without an identity and without a log gets the identity fresh.
func (j *Journal) Identity(fresh Identity) (id Identity, created bool, err error) {
	names, err := j.files.List()
	if err != nil {
		return Identity{}, false, errors.Wrap(err, "list data folder")
	}
	if slices.Contains(names, identityName) {
		b, err := j.files.Read(identityName)
		if err != nil {
			return Identity{}, false, errors.Wrap(err, "read identity")
		}
		if _, err := fmt.Sscanf(string(b), "storage %d\ncluster %d\n", &id.Storage, &id.Cluster); err != nil || id.Storage == 0 {
			return Identity{}, false, errors.Wrapf(notch.ErrCorrupt, "identity file has invalid content %q", b)
		}
		return id, false, nil
	}
	if slices.ContainsFunc(names, func(n string) bool { return strings.HasPrefix(n, segmentPrefix) }) {
		return Identity{}, false, errors.Wrap(notch.ErrCorrupt, "the data folder has a log but no identity")
	}
	return fresh, true, j.SetIdentity(fresh)
}

// SetCluster implements [notch.Journal].
func (j *Journal) SetCluster(cluster uint64) error {
	id, _, err := j.Identity(Identity{})
	if err != nil {
		return err
	}
	id.Cluster = cluster
	return j.SetIdentity(id)
}

// SetIdentity replaces the folder's identity.
func (j *Journal) SetIdentity(id Identity) error {
	text := fmt.Sprintf("storage %d\ncluster %d\n", id.Storage, id.Cluster)
	return errors.Wrap(j.files.WriteAtomic(identityName, []byte(text)), "write identity")
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
	segments := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return !strings.HasPrefix(n, segmentPrefix) })
	log := recoveredLog{}
	if r.Snapshot != nil {
		log.snapshotIndex = r.Snapshot.Index
	}
	length := int64(0)
	for i, name := range segments {
		if length, err = j.loadSegment(name, i == len(segments)-1, &log); err != nil {
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
	if j.segment, err = j.files.OpenAppend(segmentName(j.segmentSeq), length); err != nil {
		return r, errors.Wrap(err, "open log")
	}
	// The process before may have ended before it synced its last frame.
	if err := j.segment.Sync(); err != nil {
		return r, errors.Wrap(err, "sync log")
	}
	return r, errors.Wrap(j.files.SyncFolder(), "sync data folder")
}

// loadSnapshot returns the latest snapshot, or nil if the folder holds none.
func (j *Journal) loadSnapshot(names []string) (*notch.Snapshot, error) {
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) && !strings.HasSuffix(name, tempSuffix) {
			j.snapshotName = name
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

// loadSegment adds the records of a segment to log. It returns the length of the part of
// the file that holds whole frames.
func (j *Journal) loadSegment(name string, last bool, log *recoveredLog) (length int64, err error) {
	seq, err := strconv.ParseUint(strings.TrimPrefix(name, segmentPrefix), 10, 64)
	if err != nil {
		return 0, errors.Wrapf(notch.ErrCorrupt, "segment file %q has no sequence number", name)
	}
	b, err := j.files.Read(name)
	if err != nil {
		return 0, errors.Wrapf(err, "read %s", name)
	}
	payloads, length, err := decodeFrames(b)
	if err != nil {
		return 0, errors.Wrap(err, name)
	}
	if !last && length != int64(len(b)) {
		return 0, errors.Wrapf(notch.ErrCorrupt, "%s ends in a torn frame but isn't the last segment", name)
	}
	j.segmentLast = 0
	for _, p := range payloads {
		records, err := wire.DecodeRecords(p)
		if err != nil {
			return 0, errors.Wrapf(notch.ErrCorrupt, "%s: %v", name, err)
		}
		for _, r := range records {
			log.add(r)
			j.segmentLast = max(j.segmentLast, lastIndex(r.Entries))
		}
	}
	j.segmentSeq, j.closedLast[seq] = seq, j.segmentLast
	return length, nil
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
	if j.writeErr != nil {
		return j.writeErr
	}
	var rs []wire.Record
	for _, r := range records {
		j.hardState = r.Hard
		rs = append(rs, wire.Record{Hard: r.Hard, Entries: r.Entries})
		j.segmentLast = max(j.segmentLast, lastIndex(r.Entries))
	}
	return j.appendRecords(rs)
}

// appendRecords writes rs as one frame and syncs it.
func (j *Journal) appendRecords(rs []wire.Record) error {
	b, err := wire.EncodeRecords(rs)
	if err != nil {
		return err
	}
	if _, err := j.segment.Write(encodeFrame(b)); err != nil {
		return j.fail(err, "write log")
	}
	if err := j.segment.Sync(); err != nil {
		// It isn't known what a failed sync has written, so it can't be retried.
		return j.fail(err, "sync log")
	}
	return nil
}

// fail records a failed write, after which the journal writes nothing more.
func (j *Journal) fail(err error, operation string) error {
	j.writeErr = errors.Wrap(err, operation)
	return j.writeErr
}

// SaveSnapshot implements [notch.Journal].
func (j *Journal) SaveSnapshot(s notch.SaveSnapshot) error {
	if j.writeErr != nil {
		return j.writeErr
	}
	b, err := wire.EncodeSnapshot(s.Snapshot)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s%020d", snapshotPrefix, s.Snapshot.Index)
	if err := j.files.WriteAtomic(name, encodeFrame(b)); err != nil {
		return j.fail(err, "write snapshot")
	}
	if err := j.rollSegment(s); err != nil {
		return err
	}
	old := j.snapshotName
	j.snapshotName = name
	if old != "" && old != name {
		return errors.Wrap(j.files.Remove(old), "remove old snapshot")
	}
	return nil
}

// rollSegment starts a new segment and removes those that are no longer needed.
func (j *Journal) rollSegment(s notch.SaveSnapshot) error {
	if err := j.segment.Close(); err != nil {
		return j.fail(err, "close log")
	}
	j.closedLast[j.segmentSeq] = j.segmentLast
	j.segmentSeq++
	j.segmentLast = 0
	f, err := j.files.OpenAppend(segmentName(j.segmentSeq), 0)
	if err != nil {
		return j.fail(err, "open log")
	}
	j.segment = f
	first := wire.Record{Hard: j.hardState}
	if s.Replace {
		first.Reset = s.Snapshot.Index
	}
	if err := j.appendRecords([]wire.Record{first}); err != nil {
		return err
	}
	if err := j.files.SyncFolder(); err != nil {
		return j.fail(err, "sync data folder")
	}
	// Segments are removed in ascending order: see isOldest.
	for _, seq := range slices.Sorted(maps.Keys(j.closedLast)) {
		last := j.closedLast[seq]
		if seq < j.segmentSeq && (s.Replace || last <= s.KeepFrom) && j.isOldest(seq) {
			if err := j.files.Remove(segmentName(seq)); err != nil {
				return errors.Wrap(err, "remove old log")
			}
			delete(j.closedLast, seq)
		}
	}
	return nil
}

// isOldest reports whether no segment older than seq is left. A segment is removed only
// then, so that the remaining segments are contiguous.
func (j *Journal) isOldest(seq uint64) bool {
	for other := range j.closedLast {
		if other < seq {
			return false
		}
	}
	return true
}

// Close implements [notch.Journal].
func (j *Journal) Close() error {
	if j.segment == nil {
		return nil
	}
	return errors.Wrap(j.segment.Close(), "close log")
}
