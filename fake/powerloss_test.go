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
	loss := l.load.PowerLoss
	l.start()
	l.runFor(loss.At)
	l.losePower()
	l.runFor(loss.Off + loss.Late)
	before := l.accepted()
	l.queryWorkflows(loss.Answer)
	if got := unanswered(before); len(got) > 0 {
		t.Errorf("seed %d: %v after the return of the daemons %d of %d queries have no answer: %s",
			*firstSeed, loss.Answer, len(got), len(before), strings.Join(got[:min(len(got), 12)], ", "))
	}
	term := l.term()
	l.runFor(l.startedAt + l.load.Length + l.load.Bounds.Finish - l.Now())
	l.queryWorkflows(l.load.Bounds.Answer)
	if last := l.term(); last != term || l.leaders() != 1 {
		t.Errorf("seed %d: got term %d with %d leaders at the end, want one leader in term %d", *firstSeed, last, l.leaders(), term)
	}
	if got := unanswered(l.accepted()); len(got) > 0 {
		t.Errorf("seed %d: %d queries have no answer at the end: %s", *firstSeed, len(got), strings.Join(got[:min(len(got), 12)], ", "))
	}
	if got := len(l.Violations); got > 0 {
		t.Errorf("seed %d: got %d promises broken, want none:\n%s", *firstSeed, got, strings.Join(l.Violations[:min(got, 12)], "\n"))
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

// unanswered describes the workflows whose state isn't known.
func unanswered(ws []*loadWorkflow) []string {
	var out []string
	for _, w := range ws {
		if w.state == "" {
			out = append(out, fmt.Sprintf("%s, submitted at %v", w.ID, w.submittedAt.Round(time.Millisecond)))
		}
	}
	return out
}
