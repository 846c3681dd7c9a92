package flow

import (
	"testing"
	"time"

	notch "tamaracknotch"
)

// Guards against a task that goes on crashing its agents: an agent that crashed twice and came back
// under another id counted as two, so that its rack seemed to have lost power (seed 7108 of
// TestRandomWorkflowsCrashing).
func TestAgentUnderTwoIDsIsLostOnce(t *testing.T) {
	for _, c := range []struct {
		name      string
		addresses map[string]string // of the lost agents, by id
		want      bool
	}{
		{"one came back under another id", map[string]string{"w0": "0", "w0-5": "0", "w2": "2", "w4": "4"}, false},
		{"four agents", map[string]string{"w0": "0", "w1": "1", "w2": "2", "w4": "4"}, true},
	} {
		s := stepper{Part: New(notch.Daemon{Name: "a"}), now: notch.Time(time.Hour)}
		for id, address := range c.addresses {
			s.recordLoss(notch.Agent{ID: id, Address: address, Rack: "r"})
		}
		if got := s.commonCause(notch.Agent{ID: "w4", Address: "4", Rack: "r"}); got != c.want {
			t.Errorf("%s: got common cause %v, want %v", c.name, got, c.want)
		}
	}
}
