// Package wire encodes messages, log records and snapshots in CBOR (RFC 8949). Each
// type that is stored in an interface value has a tag number. A tag number must never
// be reused for another type.
package wire

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	notch "tamaracknotch"
)

// firstTag is the tag number of the first type. It lies in the range that IANA
// assigns first come, first served.
const firstTag = 65100

// tagged lists the types in the order of their tag numbers, from firstTag on. New
// types must be added at the end, so that the numbers of the others don't change.
var tagged = []any{
	notch.Noop{}, notch.Barrier{}, notch.EditTable{}, notch.ChangeReplicas{},
	notch.ClaimRequest{}, notch.ReleaseClaim{}, notch.SubmitJob{}, notch.CancelJobs{},
	notch.RegisterWorker{}, notch.PlaceTasks{}, notch.ReportTasks{}, notch.ReleaseWorker{},
	notch.StopTasks{}, notch.QuarantineWorker{},
	notch.Done{}, notch.EditResult{}, notch.TablesResult{}, notch.JobResult{}, notch.ClaimResult{},
	notch.TablesSnapshot{}, notch.ClaimsSnapshot{}, notch.BatchSnapshot{},
	notch.VoteRequest{}, notch.VoteReply{}, notch.AppendRequest{}, notch.AppendReply{},
	notch.InstallSnapshot{}, notch.TimeoutNow{}, notch.Forward{}, notch.Outcome{},
	notch.LeaderHint{}, notch.LeaderQuery{}, notch.Hello{}, notch.LeaveMessage{}, notch.Announcements{},
	notch.EntryReport{}, grant{}, notch.WorkerRequest{}, notch.WorkerReply{},
	notch.QueryRequest{}, notch.QueryReply{}, notch.AnnouncementRequest{},
	notch.ReplaceTables{}, notch.SubmitWorkflow{}, notch.CancelWorkflow{}, notch.AdmitAgent{}, notch.PlaceRuns{}, notch.EndRuns{},
	notch.WorkflowResult{}, notch.WorkflowsSnapshot{},
}

// The limits of the decoder.
const (
	maxElements     = 10_000_000 // in an array or a map
	maxNestedLevels = 16
)

var (
	encMode cbor.EncMode
	decMode cbor.DecMode
)

func init() {
	tags := cbor.NewTagSet()
	for i, v := range tagged {
		opts := cbor.TagOptions{EncTag: cbor.EncTagRequired, DecTag: cbor.DecTagRequired}
		if err := tags.Add(opts, reflect.TypeOf(v), firstTag+uint64(i)); err != nil {
			panic(err)
		}
	}
	var err error
	if encMode, err = (cbor.EncOptions{}).EncModeWithTags(tags); err != nil {
		panic(err)
	}
	opts := cbor.DecOptions{
		MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNestedLevels,
		UTF8: cbor.UTF8DecodeInvalid, // the encoder doesn't check texts either
	}
	if decMode, err = opts.DecModeWithTags(tags); err != nil {
		panic(err)
	}
}

// EncodeMessage returns the encoding of m.
func EncodeMessage(m notch.Message) ([]byte, error) {
	if g, ok := m.(notch.EntryGrant); ok {
		encoded, err := encodedGrant(g)
		if err != nil {
			return nil, err
		}
		m = encoded
	}
	b, err := encMode.Marshal(m)
	return b, errors.Wrapf(err, "encode %T", m)
}

// DecodeMessage returns the message that b encodes.
func DecodeMessage(b []byte) (notch.Message, error) {
	var v any
	if err := decMode.Unmarshal(b, &v); err != nil {
		return nil, errors.Wrap(err, "decode message")
	}
	m, ok := v.(notch.Message)
	if !ok {
		return nil, errors.Errorf("decode message: %T isn't a message", v)
	}
	return messageByValue(m)
}

// messageByValue replaces pointers by the values that they point to, where the
// decoder has stored pointers in the interface fields of a message. The reducers
// expect values. A grant becomes the message that it encodes.
func messageByValue(m notch.Message) (notch.Message, error) {
	var err error
	switch m := m.(type) {
	case grant:
		return decodedGrant(m)
	case notch.AppendRequest:
		err = entriesByValue(m.Entries)
		return m, err
	case notch.Forward:
		m.Command, err = byValue(m.Command)
		return m, err
	case notch.Outcome:
		m.Result, err = byValue(m.Result)
		return m, err
	case notch.InstallSnapshot:
		err = snapshotByValue(m.Snapshot)
		return m, err
	}
	return m, nil
}

// byValue returns the value that v points to, or v itself if it is no pointer. It
// returns an error if there is no value, or if the value doesn't implement T.
func byValue[T any](v T) (T, error) {
	r := reflect.ValueOf(v)
	if !r.IsValid() || (r.Kind() == reflect.Pointer && r.IsNil()) {
		return v, errors.Errorf("decode: a value of type %s is missing", reflect.TypeFor[T]())
	}
	if r.Kind() != reflect.Pointer {
		return v, nil
	}
	out, ok := r.Elem().Interface().(T)
	if !ok {
		return v, errors.Errorf("decode: %T doesn't point to a value of type %s", v, reflect.TypeFor[T]())
	}
	return out, nil
}

func entriesByValue(entries []notch.LogEntry) error {
	for i := range entries {
		command, err := byValue(entries[i].Command)
		if err != nil {
			return errors.Wrapf(err, "log entry %d", entries[i].Index)
		}
		entries[i].Command = command
	}
	return nil
}

func snapshotByValue(s notch.Snapshot) error {
	for i := range s.Images {
		part, err := byValue(s.Images[i])
		if err != nil {
			return errors.Wrapf(err, "part %d of the snapshot", i)
		}
		s.Images[i] = part
	}
	return nil
}

// Record is one record of the log on disk.
type Record struct {
	Hard    notch.HardState
	Entries []notch.LogEntry
	Reset   uint64 // the log starts anew after this index; zero: the log continues
}

// EncodeRecords returns the encoding of records.
func EncodeRecords(records []Record) ([]byte, error) {
	b, err := encMode.Marshal(records)
	return b, errors.Wrap(err, "encode records")
}

// DecodeRecords returns the records that b encodes.
func DecodeRecords(b []byte) ([]Record, error) {
	var records []Record
	if err := decMode.Unmarshal(b, &records); err != nil {
		return nil, errors.Wrap(err, "decode records")
	}
	for _, r := range records {
		if err := entriesByValue(r.Entries); err != nil {
			return nil, err
		}
	}
	return records, nil
}

// EncodeSnapshot returns the encoding of s.
func EncodeSnapshot(s notch.Snapshot) ([]byte, error) {
	b, err := encMode.Marshal(s)
	return b, errors.Wrap(err, "encode snapshot")
}

// DecodeSnapshot returns the snapshot that b encodes.
func DecodeSnapshot(b []byte) (notch.Snapshot, error) {
	var s notch.Snapshot
	if err := decMode.Unmarshal(b, &s); err != nil {
		return s, errors.Wrap(err, "decode snapshot")
	}
	return s, snapshotByValue(s)
}
