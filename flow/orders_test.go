package flow

import (
	"testing"
	"time"

	notch "tamaracknotch"
)

// TestOwnPauseIsNoSilenceOfAgent guards against a leader that takes its own pause for the silence of its agents:
// their next renewals would bring no lease, and their runs would end with the one they have (LOST).
func TestOwnPauseIsNoSilenceOfAgent(t *testing.T) {
	s := newTestLeader(1)
	life := testAgent(0).Incarnation()
	s.step(notch.AgentAnswered{
		Life: life, Order: notch.AgentOrder{Kind: notch.AgentRenew, Token: 2<<incarnationBits | 1}, SentAt: s.now,
		Answer: notch.AgentAnswer{Kind: notch.AgentBusy, Reason: notch.ReasonExpired},
	})
	s.advance(2 * time.Second)
	_, effects := notch.Step(s.state, notch.Event{At: s.now, Body: notch.Tick{}})
	var calls []notch.CallAgent
	for _, f := range effects {
		if c, ok := f.(notch.CallAgent); ok {
			calls = append(calls, c)
		}
	}
	if len(calls) != 1 || calls[0].Order.Kind != notch.AgentRenew || calls[0].Order.Deadline == 0 {
		t.Fatalf("got calls %v, want one renewal that brings a lease", calls)
	}
	if got, want := calls[0].SendBy, s.now.Add(DefaultTiming.QuorumTimeout); got != want {
		t.Errorf("may be sent until %v, want %v", got, want)
	}
}
