package fake

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// powerLoss describes a loss of power of all daemons in which some replicas lose their disks too.
type powerLoss struct {
	At     time.Duration // since the start of the load
	Off    time.Duration // of the entries and of the replicas that lost their disks
	Late   time.Duration // until the last of the other replicas follows
	Disks  int           // that are lost
	Answer time.Duration // from the return of the last replica until queries sent then are answered
}

// TestQueriesAfterPowerLoss guards against callers that get no answer about accepted workflows,
// neither when all daemons are back after a loss of power and of two disks under load, nor at the
// end, because no leader lasts.
func TestQueriesAfterPowerLoss(t *testing.T) {
	t.Parallel()
	l := newLoadTest(t, readAgentLoad(t, "testdata/power-loss.yaml"), *firstSeed)
	l.runUntilReturn()
	accepted := l.accepted()
	l.queryWorkflows(l.load.PowerLoss.Answer)
	l.checkAnswered(t, accepted)
	l.runFor(l.load.Bounds.Recovery - l.load.PowerLoss.Answer)
	term := l.term()
	l.queryAtEnd(t)
	if last := l.term(); last != term {
		t.Errorf("seed %d: got term %d at the end, want %d as %v after the return", *firstSeed, last, term, l.load.Bounds.Recovery)
	}
}

// TestQueriesAfterPowerLossUnderOverload guards against a leader that answers no query long after the
// load has ended, because plans take all of its time.
func TestQueriesAfterPowerLossUnderOverload(t *testing.T) {
	t.Parallel()
	load := readAgentLoad(t, "testdata/power-loss.yaml")
	load.Cores = scarceCores
	l := newLoadTest(t, load, *firstSeed)
	l.runUntilReturn()
	l.queryAtEnd(t)
}

// runUntilReturn runs the load and the loss of power, until the last replica is back.
func (l *loadTest) runUntilReturn() {
	l.start()
	l.runFor(l.load.PowerLoss.At)
	l.losePower()
	l.runFor(l.load.PowerLoss.Off + l.load.PowerLoss.Late)
}

// queryAtEnd checks at the end that one leader answers for all accepted workflows.
func (l *loadTest) queryAtEnd(t *testing.T) {
	l.runFor(l.startedAt + l.load.Length + l.load.Bounds.Finish - l.Now())
	l.queryWorkflows(l.load.Bounds.Answer)
	l.checkAnswered(t, l.accepted())
	if got := l.leaders(); got != 1 {
		t.Errorf("seed %d: got %d leaders at the end, want 1", *firstSeed, got)
	}
	if got := len(l.Violations); got > 0 {
		t.Errorf("seed %d: got %d promises broken, want none:\n%s", *firstSeed, got, strings.Join(l.Violations[:min(got, 12)], "\n"))
	}
}

// checkAnswered checks that the queries for the state of workflows were answered.
func (l *loadTest) checkAnswered(t *testing.T, ws []*loadWorkflow) {
	var got []string
	for _, w := range ws {
		if w.state == "" {
			got = append(got, fmt.Sprintf("%s, submitted at %v", w.ID, w.submittedAt.Round(time.Millisecond)))
		}
	}
	if len(got) > 0 {
		t.Errorf("seed %d: at %v %d of %d queries have no answer: %s", *firstSeed, l.Now(), len(got), len(ws), strings.Join(got[:min(len(got), 12)], ", "))
	}
}

// losePower ends all daemons at once. The replicas that lose their disks return with the entries, the
// others one after another.
func (l *loadTest) losePower() {
	loss := l.load.PowerLoss
	for _, n := range l.Nodes() {
		l.Kill(n)
	}
	for _, n := range l.entries {
		l.After(loss.Off, func() { l.Start(n) })
	}
	for i, replica := range l.Rand.Perm(l.load.Replicas) {
		n := l.replicas[replica]
		off := loss.Off
		if i < loss.Disks {
			l.Wipe(n)
		} else {
			off += loss.Late * time.Duration(i-loss.Disks+1) / time.Duration(l.load.Replicas-loss.Disks)
		}
		l.After(off, func() { l.Start(n) })
	}
}
