package wire

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	notch "tamaracknotch"
)

// examples holds messages with interface fields, and some without.
var examples = []notch.Message{
	notch.AppendRequest{Term: 3, Leader: "a", Entries: []notch.LogEntry{
		{Index: 1, Term: 3, Command: notch.Noop{}},
		{Index: 2, Term: 3, Origin: "b", Command: notch.SubmitJob{Job: notch.Job{ID: "j", Size: notch.Resources{MilliCPU: 1}}}},
	}},
	notch.Forward{Ticket: 1, Command: notch.EditTable{ID: "e", Table: notch.RoutesTable, Routes: []notch.Route{{Name: "r"}}}},
	notch.Outcome{Ticket: 1, Result: notch.EditResult{Outcome: notch.EditConflict, Version: 4}},
	notch.InstallSnapshot{Term: 1, Snapshot: notch.Snapshot{Index: 9, Images: []notch.PartSnapshot{notch.TablesSnapshot{RoutesBy: "x"}, notch.BatchSnapshot{Seq: 2}}}},
	notch.Hello{Daemon: notch.Daemon{Name: "a"}, Storage: 1}, notch.EntryGrant{Tables: &notch.Tables{Revision: 2}},
	notch.EntryGrant{Seq: 4, Revision: 7, Changes: []*notch.TablesChange{
		{Revision: 6, Pools: []notch.Splice[notch.Pool]{{Insert: []notch.Pool{{Name: "p", Hosts: []string{"h"}}}}}},
		{From: 6, Revision: 7, Routes: []notch.Splice[notch.Route]{{At: 2, Remove: 1, Insert: []notch.Route{{Name: "r", Stretch: 1.5}}}}},
	}},
	notch.WorkerRequest{Beat: notch.Heartbeat{Running: []notch.TaskEpoch{{Task: "j/0", Epoch: 1}}}},
}

func TestRoundTrip(t *testing.T) {
	for _, want := range examples {
		b, err := EncodeMessage(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeMessage(b)
		if err != nil {
			t.Fatalf("%T: %v", want, err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%T: got %+v, want %+v", want, got, want)
		}
	}
}

// FuzzDecodeMessage checks that every decoded message can be encoded.
func FuzzDecodeMessage(f *testing.F) {
	for _, m := range examples {
		b, _ := EncodeMessage(m)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeMessage(b)
		if err != nil {
			return
		}
		if _, err := EncodeMessage(m); err != nil {
			t.Errorf("the decoded message %+v can't be encoded: %v", m, err)
		}
	})
}

// FuzzDecodeRecords checks that every decoded log entry has a command.
func FuzzDecodeRecords(f *testing.F) {
	b, _ := EncodeRecords([]Record{{Hard: notch.HardState{Term: 1}, Entries: []notch.LogEntry{{Index: 1, Command: notch.Noop{}}}}})
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		rs, err := DecodeRecords(b)
		if err != nil {
			return
		}
		for _, r := range rs {
			for _, e := range r.Entries {
				if e.Command == nil {
					t.Error("decoded an entry without a command")
				}
			}
		}
	})
}

// FuzzDecodeSnapshot checks that decoding a snapshot doesn't panic.
func FuzzDecodeSnapshot(f *testing.F) {
	b, _ := EncodeSnapshot(notch.Snapshot{Index: 1, Images: []notch.PartSnapshot{notch.ClaimsSnapshot{}}})
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) { DecodeSnapshot(b) })
}

// TestGrantOfEarlierBuild checks that a grant of a build without changes of the tables is
// understood, and that such a build finds what it knows in a grant of this one.
func TestGrantOfEarlierBuild(t *testing.T) {
	const tag = 65136 // of a grant, in every build
	type earlierGrant struct {
		Seq    uint64
		Tables *notch.Tables
	}
	b, err := cbor.Marshal(cbor.Tag{Number: tag, Content: earlierGrant{Seq: 4, Tables: &notch.Tables{Revision: 2}}})
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeMessage(b)
	if want := (notch.EntryGrant{Seq: 4, Tables: &notch.Tables{Revision: 2}}); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	if b, err = EncodeMessage(notch.EntryGrant{Seq: 5, Changes: []*notch.TablesChange{{Revision: 3}}}); err != nil {
		t.Fatal(err)
	}
	var raw cbor.RawTag
	var earlier earlierGrant
	if err := cbor.Unmarshal(b, &raw); err != nil || raw.Number != tag {
		t.Fatalf("got tag %d, %v, want %d", raw.Number, err, tag)
	}
	if err := cbor.Unmarshal(raw.Content, &earlier); err != nil || earlier.Seq != 5 {
		t.Errorf("got %+v, %v, want Seq 5", earlier, err)
	}
}

// TestChangeIsEncodedOnce checks that a change that many entries get isn't encoded again.
func TestChangeIsEncodedOnce(t *testing.T) {
	c := &notch.TablesChange{Revision: 2, Routes: []notch.Splice[notch.Route]{{Insert: make([]notch.Route, 1000)}}}
	first, err := sharedEncoder.encode(c)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := sharedEncoder.encode(c); err != nil || &again[0] != &first[0] {
		t.Errorf("got another encoding, %v, want the first one", err)
	}
}

// Guards against whole tables that take longer on an entry's slow link than a lease lasts: routes
// resemble each other, so that compression takes off most of their size.
func TestChangeIsCompressed(t *testing.T) {
	routes := make([]notch.Route, 1000)
	for i := range routes {
		routes[i] = notch.Route{Name: fmt.Sprint("route-", i), Path: fmt.Sprintf("/route-%d/", i), Pool: "sorters"}
	}
	c := &notch.TablesChange{Revision: 2, Routes: []notch.Splice[notch.Route]{{Insert: routes}}}
	plain, err := encMode.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	b, err := sharedEncoder.encode(c)
	if got, most := len(b), len(plain)/4; err != nil || got > most {
		t.Errorf("got %d bytes, %v, want at most %d", got, err, most)
	}
}

// Guards against a name that isn't UTF-8 and that, once it is in the log, no replica can read any
// more: neither in a message of the leader nor in its own journal after a restart.
func TestTextThatIsNotUTF8(t *testing.T) {
	const id = "job-\xff\xc0"
	entries := []notch.LogEntry{{Index: 1, Command: notch.SubmitWorkflow{Flow: notch.Workflow{ID: id}}}}
	message := notch.AppendRequest{Term: 1, Entries: entries}
	b, err := EncodeMessage(message)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeMessage(b); err != nil || !reflect.DeepEqual(got, message) {
		t.Errorf("message: got %+v, %v, want %+v", got, err, message)
	}
	records := []Record{{Entries: entries}}
	if b, err = EncodeRecords(records); err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeRecords(b); err != nil || !reflect.DeepEqual(got, records) {
		t.Errorf("records: got %+v, %v, want %+v", got, err, records)
	}
	snapshot := notch.Snapshot{Images: []notch.PartSnapshot{notch.WorkflowsSnapshot{Agents: []notch.Agent{{ID: id}}}}}
	if b, err = EncodeSnapshot(snapshot); err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeSnapshot(b); err != nil || !reflect.DeepEqual(got, snapshot) {
		t.Errorf("snapshot: got %+v, %v, want %+v", got, err, snapshot)
	}
}
