package fake

import (
	"strings"
	"testing"
	"time"

	notch "tamaracknotch"
)

// pendingTest asks for the number of waiting workflows while agents restart, are cut off and carry out orders late.
type pendingTest struct {
	*rebornTest
	seenAt map[string]time.Duration // when a workflow was first seen to be accepted
}

const (
	pendingInterval = 500 * time.Millisecond
	maxPendingAge   = 2 * time.Second // of the number that is told
)

// ask asks a random entry for the number of waiting workflows, and checks the answer.
func (p *pendingTest) ask() {
	for _, id := range p.ids {
		if _, seen := p.seenAt[id]; !seen && p.accepted[id] {
			p.seenAt[id] = p.Now()
		}
	}
	before := p.Now() - maxPendingAge
	p.Query(p.entries[p.Rand.IntN(len(p.entries))], notch.Query{Kind: notch.QueryPending, Name: "sort"}, 2*time.Second, func(a notch.AnswerQuery) {
		if want := p.countWaiting(before); a.Err == nil && a.View.Pending < want {
			p.reportViolation("MIXED: %d workflows are said to wait; %d have waited since %v", a.View.Pending, want, before)
		}
	})
	p.After(pendingInterval, p.ask)
}

// countWaiting returns how many workflows that were accepted before the given time have had no run on an agent.
func (p *pendingTest) countWaiting(before time.Duration) (n int) {
	for id, at := range p.seenAt {
		if at <= before && !p.hasBegun(id) {
			n++
		}
	}
	return n
}

// hasBegun reports whether an agent has started a run of a workflow.
func (p *pendingTest) hasBegun(id string) bool {
	for task, runs := range p.workflowChecker.history {
		if task.Flow == id && len(runs) > 0 {
			return true
		}
	}
	return false
}

// TestPendingWhileOrdersAreLate guards against fewer waiting workflows than there are: those whose first start was late
// counted as begun.
func TestPendingWhileOrdersAreLate(t *testing.T) {
	c := readRebornCase(t, "many-late")
	playSeeds(t, *seeds/c.Share, func(t *testing.T, seed uint64) {
		p := &pendingTest{newRebornTest(t, seed, c), map[string]time.Duration{}}
		p.ask()
		p.submitSome(6 * time.Second)
		for range rebornDisruptions {
			p.submitSome(p.disrupt())
		}
		var broken []string
		for _, v := range p.Violations {
			if strings.Contains(v, "MIXED") { // late orders break other rules, see KNOWN-RED.txt 8
				broken = append(broken, v)
			}
		}
		if len(broken) > 0 {
			t.Fatalf("%d answers are wrong:\n%s", len(broken), strings.Join(broken[:min(len(broken), 12)], "\n"))
		}
	})
}
