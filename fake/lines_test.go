package fake

import (
	"os"
	"strings"
	"testing"
	"time"

	notch "tamaracknotch"
)

// TestLinesAreWritten checks that the lines which the operators' page names for control
// and agents are written when what they tell of happens.
func TestLinesAreWritten(t *testing.T) {
	w := newFlows(t, 1)
	silent, wiped := w.agents[0], w.replicas[2]
	silent.Work = func(notch.TaskRef) time.Duration { return time.Minute }
	for range 12 {
		w.load()
		w.Run(200 * time.Millisecond)
	}
	silent.CutOff = true
	for _, x := range w.agents {
		x.Late = 0.7
	}
	for range 12 {
		w.load()
		w.Run(200 * time.Millisecond)
	}
	w.Run(8 * time.Second)
	for _, x := range w.agents {
		x.Late = 0
	}
	w.Kill(wiped)
	w.Wipe(wiped)
	w.Start(wiped)
	w.Run(5 * time.Second)
	for _, n := range w.replicas {
		if w.Leads(n) {
			w.Cut(n.Self.Name, "e")
			for _, o := range w.Nodes() {
				w.Cut(n.Self.Name, o.Self.Name)
				w.Cut(o.Self.Name, n.Self.Name)
			}
		}
	}
	w.Run(6 * time.Second)
	w.mend()
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	written := strings.Join(w.Notices, "\n")
	for _, line := range []string{
		"start not confirmed", "run given up: its agent doesn't list it", "gives up the runs of an agent", "leads", "stepped down",
		"lost contact with a quorum", "changes the replica set", "holds a lease", "lease ended", "daemon joined", "daemon out of reach",
	} {
		if !strings.Contains(string(page), line) {
			t.Errorf("the operators' page: got no %q, want it named", line)
		}
		if !strings.Contains(written, line) {
			t.Errorf("the log: got no %q, want it written", line)
		}
	}
}
