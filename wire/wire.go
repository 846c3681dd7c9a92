// Package wire encodes messages, log records and snapshots in CBOR (RFC 8949).
// Each type that stands behind an interface has a tag number, which must never be
// given to another type.
package wire

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	notch "tamaracknotch"
)

// firstTag begins a range that IANA leaves to first come, first served.
const firstTag = 65100

// tagged lists the types by tag number, counted from firstTag. New types go to
// the end.
var tagged = []any{
	notch.Noop{}, notch.Barrier{}, notch.EditTable{}, notch.ChangeReplicas{},
	notch.ClaimRequest{}, notch.ReleaseClaim{}, notch.SubmitJob{}, notch.CancelJobs{},
	notch.RegisterWorker{}, notch.PlaceTasks{}, notch.ReportTasks{}, notch.ReleaseWorker{},
	notch.StopTasks{}, notch.QuarantineWorker{},
	notch.Done{}, notch.EditResult{}, notch.TablesResult{}, notch.JobResult{}, notch.ClaimResult{},
	notch.TablesImage{}, notch.ClaimsImage{}, notch.BatchImage{},
	notch.VoteRequest{}, notch.VoteReply{}, notch.AppendRequest{}, notch.AppendReply{},
	notch.InstallSnapshot{}, notch.TimeoutNow{}, notch.Forward{}, notch.Outcome{},
	notch.LeaderHint{}, notch.LeaderQuery{}, notch.Hello{}, notch.Goodbye{}, notch.Announcements{},
	notch.EntryReport{}, notch.EntryGrant{}, notch.WorkerRequest{}, notch.WorkerReply{},
	notch.Query{}, notch.QueryAnswer{}, notch.Resend{},
	notch.ReplaceTables{}, notch.SubmitFlow{}, notch.CancelFlow{}, notch.AdmitAgent{}, notch.PlaceRuns{}, notch.EndRuns{},
	notch.FlowResult{}, notch.FlowsImage{},
}

// The limits of what is decoded.
const (
	maxElements = 10_000_000 // of an array or a map
	maxNesting  = 16
)

var (
	enc cbor.EncMode
	dec cbor.DecMode
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
	if enc, err = (cbor.EncOptions{}).EncModeWithTags(tags); err != nil {
		panic(err)
	}
	limits := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNesting}
	if dec, err = limits.DecModeWithTags(tags); err != nil {
		panic(err)
	}
}

// EncodeMessage returns the encoding of m.
func EncodeMessage(m notch.Message) ([]byte, error) {
	b, err := enc.Marshal(m)
	return b, errors.Wrapf(err, "encode %T", m)
}

// DecodeMessage returns the message that b encodes.
func DecodeMessage(b []byte) (notch.Message, error) {
	var v any
	if err := dec.Unmarshal(b, &v); err != nil {
		return nil, errors.Wrap(err, "decode message")
	}
	m, ok := v.(notch.Message)
	if !ok {
		return nil, errors.Errorf("decode message: got a %T", v)
	}
	return messageByValue(m)
}

// messageByValue replaces the pointers that the decoder puts behind interfaces.
func messageByValue(m notch.Message) (notch.Message, error) {
	var err error
	switch m := m.(type) {
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

// byValue dereferences a pointer behind an interface. A missing value is an error.
func byValue[T any](v T) (T, error) {
	r := reflect.ValueOf(v)
	if !r.IsValid() || (r.Kind() == reflect.Pointer && r.IsNil()) {
		return v, errors.New("decode: a value is missing")
	}
	if r.Kind() != reflect.Pointer {
		return v, nil
	}
	out, ok := r.Elem().Interface().(T)
	if !ok {
		return v, errors.Errorf("decode: %T is no value of its kind", v)
	}
	return out, nil
}

func entriesByValue(es []notch.Entry) error {
	for i := range es {
		c, err := byValue(es[i].Command)
		if err != nil {
			return errors.Wrapf(err, "entry %d", es[i].Index)
		}
		es[i].Command = c
	}
	return nil
}

func snapshotByValue(s notch.Snapshot) error {
	for i := range s.Images {
		im, err := byValue(s.Images[i])
		if err != nil {
			return errors.Wrap(err, "image")
		}
		s.Images[i] = im
	}
	return nil
}

// Record is what the journal syncs at once.
type Record struct {
	Hard    notch.HardState
	Entries []notch.Entry
	Reset   uint64 // the log begins after this index; zero: it goes on
}

// EncodeRecords returns the encoding of rs.
func EncodeRecords(rs []Record) ([]byte, error) {
	b, err := enc.Marshal(rs)
	return b, errors.Wrap(err, "encode records")
}

// DecodeRecords returns the records that b encodes.
func DecodeRecords(b []byte) ([]Record, error) {
	var rs []Record
	if err := dec.Unmarshal(b, &rs); err != nil {
		return nil, errors.Wrap(err, "decode records")
	}
	for _, r := range rs {
		if err := entriesByValue(r.Entries); err != nil {
			return nil, err
		}
	}
	return rs, nil
}

// EncodeSnapshot returns the encoding of s.
func EncodeSnapshot(s notch.Snapshot) ([]byte, error) {
	b, err := enc.Marshal(s)
	return b, errors.Wrap(err, "encode snapshot")
}

// DecodeSnapshot returns the snapshot that b encodes.
func DecodeSnapshot(b []byte) (notch.Snapshot, error) {
	var s notch.Snapshot
	if err := dec.Unmarshal(b, &s); err != nil {
		return s, errors.Wrap(err, "decode snapshot")
	}
	return s, snapshotByValue(s)
}
