// Package wal keeps a replica's log and snapshots in files below one data
// folder. A write counts once it is synced; nothing is acknowledged before.
//
// The folder holds "identity", one "snapshot-INDEX" and log segments "log-SEQ".
// A segment is a run of frames, each of them one sync. A snapshot starts a new
// segment, so that older ones can be removed once no entry in them is needed.
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

// File is an open segment.
type File interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// Files is the file system below the data folder. Names are relative to it.
type Files interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
	// Append opens a file at the given length, creating it if needed.
	Append(name string, length int64) (File, error)
	// Replace writes a file whole, synced, under a name that didn't exist or
	// keeps its old content until the new one is complete.
	Replace(name string, b []byte) error
	Remove(name string) error
	SyncFolder() error
}

// Identity tells one life of a data folder from another.
type Identity struct {
	Storage uint64
	Cluster uint64 // zero until known
}

const (
	identityName   = "identity"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
)

// Journal implements [notch.Journal] on files.
type Journal struct {
	files    Files
	current  File
	seq      uint64            // of the current segment
	lasts    map[uint64]uint64 // highest entry index in each closed segment
	highest  uint64            // highest entry index in the current segment
	hard     notch.HardState
	snapshot string // name of the latest snapshot file
	failed   error  // after an error of a write or sync nothing more is written
}

// New returns the journal on files. Load has to come first.
func New(files Files) *Journal {
	return &Journal{files: files, lasts: map[uint64]uint64{}}
}

// Identity returns the folder's identity, creating it in an empty folder.
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
			return Identity{}, false, errors.Wrapf(notch.ErrCorrupt, "identity file: %q", b)
		}
		return id, false, nil
	}
	if slices.ContainsFunc(names, func(n string) bool { return strings.HasPrefix(n, segmentPrefix) }) {
		return Identity{}, false, errors.Wrap(notch.ErrCorrupt, "the data folder has a log but no identity")
	}
	return fresh, true, j.SetIdentity(fresh)
}

// Adopt implements [notch.Journal].
func (j *Journal) Adopt(cluster uint64) error {
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
	return errors.Wrap(j.files.Replace(identityName, []byte(text)), "write identity")
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
	log := loadedLog{}
	length := int64(0)
	for i, name := range segments {
		if length, err = j.loadSegment(name, i == len(segments)-1, &log); err != nil {
			return r, err
		}
	}
	r.Hard = log.hard
	j.hard = log.hard
	if r.Entries, err = log.after(r.Snapshot); err != nil {
		return r, err
	}
	if j.seq == 0 {
		j.seq = 1
	}
	if j.current, err = j.files.Append(segmentName(j.seq), length); err != nil {
		return r, errors.Wrap(err, "open log")
	}
	return r, errors.Wrap(j.files.SyncFolder(), "sync data folder")
}

func (j *Journal) loadSnapshot(names []string) (*notch.Snapshot, error) {
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) && !strings.HasSuffix(name, temporary) {
			j.snapshot = name
		}
	}
	if j.snapshot == "" {
		return nil, nil
	}
	b, err := j.files.Read(j.snapshot)
	if err != nil {
		return nil, errors.Wrap(err, "read snapshot")
	}
	payloads, _, err := unframe(b)
	if err != nil || len(payloads) != 1 {
		return nil, errors.Wrapf(notch.ErrCorrupt, "%s", j.snapshot)
	}
	s, err := wire.DecodeSnapshot(payloads[0])
	if err != nil {
		return nil, errors.Wrapf(notch.ErrCorrupt, "%s: %v", j.snapshot, err)
	}
	return &s, nil
}

func (j *Journal) loadSegment(name string, last bool, log *loadedLog) (length int64, err error) {
	seq, err := strconv.ParseUint(strings.TrimPrefix(name, segmentPrefix), 10, 64)
	if err != nil {
		return 0, errors.Wrapf(notch.ErrCorrupt, "file name %q", name)
	}
	b, err := j.files.Read(name)
	if err != nil {
		return 0, errors.Wrapf(err, "read %s", name)
	}
	payloads, sound, err := unframe(b)
	if err != nil {
		return 0, errors.Wrap(err, name)
	}
	if !last && sound != int64(len(b)) {
		return 0, errors.Wrapf(notch.ErrCorrupt, "%s is cut short, yet another segment follows", name)
	}
	j.highest = 0
	for _, p := range payloads {
		records, err := wire.DecodeRecords(p)
		if err != nil {
			return 0, errors.Wrapf(notch.ErrCorrupt, "%s: %v", name, err)
		}
		for _, r := range records {
			if err := log.add(r); err != nil {
				return 0, errors.Wrap(err, name)
			}
			j.highest = max(j.highest, highestOf(r.Entries))
		}
	}
	j.seq, j.lasts[seq] = seq, j.highest
	return sound, nil
}

func highestOf(es []notch.Entry) uint64 {
	if len(es) == 0 {
		return 0
	}
	return es[len(es)-1].Index
}

// Append implements [notch.Journal].
func (j *Journal) Append(records []notch.Persist) error {
	if j.failed != nil {
		return j.failed
	}
	var rs []wire.Record
	for _, r := range records {
		j.hard = r.Hard
		rs = append(rs, wire.Record{Hard: r.Hard, Entries: r.Entries})
		j.highest = max(j.highest, highestOf(r.Entries))
	}
	return j.write(rs)
}

func (j *Journal) write(rs []wire.Record) error {
	b, err := wire.EncodeRecords(rs)
	if err != nil {
		return err
	}
	if _, err := j.current.Write(frame(b)); err != nil {
		return j.fail(err, "write log")
	}
	if err := j.current.Sync(); err != nil {
		// What a failed sync left behind isn't known, so it can't be repeated.
		return j.fail(err, "sync log")
	}
	return nil
}

func (j *Journal) fail(err error, what string) error {
	j.failed = errors.Wrap(err, what)
	return j.failed
}

// SaveSnapshot implements [notch.Journal].
func (j *Journal) SaveSnapshot(s notch.SaveSnapshot) error {
	if j.failed != nil {
		return j.failed
	}
	b, err := wire.EncodeSnapshot(s.Snapshot)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s%020d", snapshotPrefix, s.Snapshot.Index)
	if err := j.files.Replace(name, frame(b)); err != nil {
		return j.fail(err, "write snapshot")
	}
	if err := j.roll(s); err != nil {
		return err
	}
	old := j.snapshot
	j.snapshot = name
	if old != "" && old != name {
		return errors.Wrap(j.files.Remove(old), "remove old snapshot")
	}
	return nil
}

// roll starts a new segment and removes those that are no longer needed.
func (j *Journal) roll(s notch.SaveSnapshot) error {
	if err := j.current.Close(); err != nil {
		return j.fail(err, "close log")
	}
	j.lasts[j.seq] = j.highest
	j.seq++
	j.highest = 0
	f, err := j.files.Append(segmentName(j.seq), 0)
	if err != nil {
		return j.fail(err, "open log")
	}
	j.current = f
	first := wire.Record{Hard: j.hard}
	if s.Replace {
		first.Reset = s.Snapshot.Index
	}
	if err := j.write([]wire.Record{first}); err != nil {
		return err
	}
	if err := j.files.SyncFolder(); err != nil {
		return j.fail(err, "sync data folder")
	}
	// In order, for a segment goes only once every older one has.
	for _, seq := range slices.Sorted(maps.Keys(j.lasts)) {
		last := j.lasts[seq]
		if seq < j.seq && (s.Replace || last <= s.KeepFrom) && j.oldest(seq) {
			if err := j.files.Remove(segmentName(seq)); err != nil {
				return errors.Wrap(err, "remove old log")
			}
			delete(j.lasts, seq)
		}
	}
	return nil
}

// oldest reports whether no older segment is left, so that segments go in order
// unless the whole log is replaced.
func (j *Journal) oldest(seq uint64) bool {
	for other := range j.lasts {
		if other < seq {
			return false
		}
	}
	return true
}

// Close implements [notch.Journal].
func (j *Journal) Close() error {
	if j.current == nil {
		return nil
	}
	return errors.Wrap(j.current.Close(), "close log")
}
