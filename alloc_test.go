package notch_test

import (
	"fmt"
	"testing"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/batch"
	"tamaracknotch/claim"
	"tamaracknotch/consensus"
	"tamaracknotch/flow"
	"tamaracknotch/gateway"
	"tamaracknotch/member"
	"tamaracknotch/share"
	"tamaracknotch/table"
)

// commonParts are the parts that every daemon has, next to the ones that depend on its role.
func commonParts() []notch.Part {
	return []notch.Part{
		member.New(notch.Daemon{Name: "a"}, 1, 1), gateway.New("a"), table.New(), claim.New(), batch.New(),
		share.NewEntry(notch.Daemon{Name: "a"}, 1), share.NewLeader("a"),
	}
}

// frequentEvents are events that a busy leader reduces and that none of commonParts handles.
func frequentEvents() []notch.Body {
	return []notch.Body{
		notch.AgentAnswered{Answer: notch.AgentAnswer{Kind: notch.AgentOK}},
		notch.AgentAnnounced{Ticket: 1},
		notch.Persisted{Term: 1, Index: 1},
		notch.Proposal{Command: notch.EndRuns{}},
		notch.MessageReceived{From: "b", Message: notch.AppendReply{Term: 1}},
		notch.Committed{Entry: notch.LogEntry{Index: 1, Term: 1, Command: notch.PlaceRuns{}}},
		notch.Committed{Entry: notch.LogEntry{Index: 2, Term: 1, Command: notch.EndRuns{}}},
		notch.Flush{},
	}
}

// unhandledEvents holds a part with events that it doesn't handle.
type unhandledEvents struct {
	part   notch.Part
	events []notch.Body
}

// replicaParts are the parts of a replica that handle some of frequentEvents, with those that they don't handle.
func replicaParts() []unhandledEvents {
	otherCommand := notch.Committed{Entry: notch.LogEntry{Index: 1, Term: 1, Command: notch.ClaimRequest{}}}
	return []unhandledEvents{
		{flow.New(notch.Daemon{Name: "a"}), []notch.Body{
			notch.Persisted{Term: 1, Index: 1}, notch.Proposal{Command: notch.EndRuns{}}, notch.Applied{}, otherCommand, notch.Flush{},
			notch.MessageReceived{From: "b", Message: notch.AppendReply{Term: 1}},
		}},
		{consensus.New(notch.Replica{Name: "a"}), []notch.Body{
			notch.AgentAnswered{}, notch.AgentAnnounced{Ticket: 1}, notch.Applied{}, otherCommand, notch.Flush{},
			notch.MessageReceived{From: "b", Message: notch.EntryReport{}},
		}},
	}
}

// TestUnhandledEventAllocatesNothing guards against parts that copy themselves to the heap for
// every event, which took a third of the leader's allocation.
func TestUnhandledEventAllocatesNothing(t *testing.T) {
	const runs = 100
	parts := replicaParts()
	for _, p := range commonParts() {
		parts = append(parts, unhandledEvents{p, frequentEvents()})
	}
	for _, u := range parts {
		p := u.part
		for _, b := range u.events {
			t.Run(fmt.Sprintf("%T/%T", p, b), func(t *testing.T) {
				e := notch.Event{At: notch.Time(time.Hour), Body: b}
				if next, effects := p.Step(e); next != nil || effects != nil {
					t.Errorf("got a new part or effects %v, want neither", effects)
				}
				if got := testing.AllocsPerRun(runs, func() { p.Step(e) }); got != 0 {
					t.Errorf("allocations: got %v, want 0", got)
				}
			})
		}
	}
}

// BenchmarkUnhandledEvents measures the cost of events that no part handles. An operation is one
// of each.
func BenchmarkUnhandledEvents(b *testing.B) {
	s := notch.NewState(commonParts()...)
	events := frequentEvents()
	b.ReportAllocs()
	for b.Loop() {
		for _, body := range events {
			s, _ = notch.Step(s, notch.Event{At: notch.Time(time.Hour), Body: body})
		}
	}
}
