package fake

import (
	"testing"
	"time"

	notch "tamaracknotch"
)

// Guards against a log entry for each time that a call is sent while its first entry waits for a
// quorum: each entry of a large edit went to every replica and every journal again.
func TestResentCallIsAppendedOnce(t *testing.T) {
	s := New(1)
	s.Policies.Replicas = 3
	for i, name := range []string{"a", "b", "c"} {
		s.AddDaemon(name, "north", true, i == 0)
	}
	s.Run(5 * time.Second)
	// The leader sends entries and gets no confirmation in time, so b sends its call again.
	s.Net.SyncTime = 900 * time.Millisecond
	var answer notch.Answer
	pools := []notch.Pool{{Name: "sale", Kind: notch.ServicePool}}
	before := len(s.Node("a").Disk.Recover().Entries)
	s.Submit(s.Node("b"), notch.ReplaceTables{Version: 7, Pools: pools, Document: "{}"}, 5*time.Second, func(a notch.Answer) { answer = a })
	s.Run(6 * time.Second)
	if r, ok := answer.Result.(notch.EditResult); !ok || r.Outcome != notch.EditAccepted {
		t.Errorf("answer: got %+v, want an accepted edit", answer)
	}
	got := 0
	for _, e := range s.Node("a").Disk.Recover().Entries[before:] {
		if _, ok := e.Command.(notch.ReplaceTables); ok {
			got++
		}
	}
	if got != 1 {
		t.Errorf("entries of the edit: got %d, want 1", got)
	}
}
