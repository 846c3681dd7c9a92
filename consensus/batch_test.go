package consensus

import (
	"strings"
	"testing"
	"time"

	notch "tamaracknotch"
)

// A lagging replica was sent all documents that it lacked in one message, which kept everything
// else from its link for seconds.
func TestMessageWithDocumentsIsBounded(t *testing.T) {
	const documentSize, maxSize = 100 << 10, 400 << 10 // bytes
	a, b := notch.Replica{Name: "a", Storage: 1}, notch.Replica{Name: "b", Storage: 2}
	set := notch.ReplicaSet{Voters: []notch.Replica{a, b}}
	r := notch.Recovered{Hard: notch.HardState{Term: 1}, Snapshot: &notch.Snapshot{Index: 1, Term: 1, Replicas: set}}
	for i := range uint64(50) {
		cmd := notch.ReplaceTables{Version: i, Document: strings.Repeat("x", documentSize)}
		r.Entries = append(r.Entries, notch.LogEntry{Index: 2 + i, Term: 1, Command: cmd})
	}
	now := notch.Time(time.Hour)
	part := notch.Part(New(a))
	var effects []notch.Effect
	step := func(e notch.Body) { part, effects = part.Step(notch.Event{At: now, Seed: 1, Body: e}) }
	step(r)
	now = now.Add(3 * time.Second)
	step(notch.Tick{})
	for _, pre := range []bool{true, false} {
		step(notch.MessageReceived{From: "a", Message: notch.VoteReply{Pre: pre, Term: 2, Voter: a, Granted: true}})
		step(notch.MessageReceived{From: "b", Message: notch.VoteReply{Pre: pre, Term: 2, Voter: b, Granted: true}})
	}
	step(notch.MessageReceived{From: "b", Message: notch.AppendReply{Term: 2, From: b, Match: 1, SentAt: now}})
	got := 0
	for _, f := range effects {
		if f, ok := f.(notch.Send); ok {
			for _, e := range f.Message.(notch.AppendRequest).Entries {
				cmd, _ := e.Command.(notch.ReplaceTables)
				got += len(cmd.Document)
			}
		}
	}
	if got == 0 || got > maxSize {
		t.Errorf("documents in a message: got %d bytes, want 1 to %d", got, maxSize)
	}
}

// Replicas that lack the same entries got a copy each, which was encoded for each of them.
func TestReplicasShareEntries(t *testing.T) {
	s := stepper{Part: New(notch.Replica{Name: "a", Storage: 1})}
	s.log = newLogAt(4, 1)
	for i := range uint64(3) {
		s.appendEntry(notch.LogEntry{Index: 5 + i, Term: 1, Command: notch.Noop{}})
	}
	for i, next := range []uint64{5, 5, 6} {
		s.progress = append(s.progress, progress{replica: notch.Replica{Name: string(rune('b' + i)), Storage: 2}, match: next - 1, next: next})
		s.sendAppend(i)
	}
	var sent [][]notch.LogEntry
	for _, f := range s.effects {
		sent = append(sent, f.(notch.Send).Message.(notch.AppendRequest).Entries)
	}
	if len(sent) != 3 || len(sent[0]) != 3 || &sent[0][0] != &sent[1][0] {
		t.Errorf("got %v, want the same slice of 3 entries for two replicas", sent)
	}
	if len(sent) == 3 && (len(sent[2]) != 2 || sent[2][0].Index != 6) {
		t.Errorf("got %v for the replica that lacks the last two entries", sent[2])
	}
}
