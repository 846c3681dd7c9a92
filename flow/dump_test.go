package flow

import (
	"encoding/json"
	"fmt"
	"testing"
)

// TestDump checks the state dump of a leader with two agents, a completed workflow and a queued
// one.
func TestDump(t *testing.T) {
	s := newTestLeader(2)
	s.runWorkflow("f", 1)
	s.submit("g", 1)
	got := s.state.Parts()[0].(Part).Dump().(State)
	if _, err := json.Marshal(got); err != nil {
		t.Fatal(err)
	}
	line := fmt.Sprint(got.Part, got.Leading, got.Workflows, got.ActiveWorkflows, len(got.Agents), got.Agents[0].ID, got.Agents[0].Runs)
	if want := fmt.Sprint("flow", true, 2, 1, 2, "w0", 0); line != want {
		t.Errorf("got %s, want %s", line, want)
	}
}
