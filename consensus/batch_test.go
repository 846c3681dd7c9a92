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
