// Package lease computes when an agent's lease ends by the agent's clock, and whether the lease
// has certainly expired, given that this clock may drift from the local one.
package lease

import (
	"time"

	notch "tamaracknotch"
)

// MaxClockDrift is the largest fraction by which an agent's clock may run slow against the
// local clock.
const MaxClockDrift = 0.02

// expiryMargin is added before a lease counts as expired, because both clocks are read with
// a limited resolution.
const expiryMargin = 150 * time.Millisecond

// AgentLease records what one leader has learned about an agent's clock and its lease.
type AgentLease struct {
	agentClock      int64      // lower bound of the agent's time at clockReadAt, in ms
	clockReadAt     notch.Time // zero: the clock was never read
	grantedUntil    int64      // latest deadline sent, by the agent's clock in ms; 0: none
	formerLeasesEnd notch.Time // the leases that former leaders granted end by then
}

// New returns the state of an agent that former leaders may have granted leases to. Those
// leases end by formerLeasesEnd.
func New(formerLeasesEnd notch.Time) AgentLease {
	return AgentLease{formerLeasesEnd: formerLeasesEnd}
}

// WithClock returns the state after an answer that contained the agent's clock in ms.
func (l AgentLease) WithClock(clock int64, receivedAt notch.Time) AgentLease {
	if l.clockReadAt == 0 || clock > l.minAgentClock(receivedAt) {
		l.agentClock, l.clockReadAt = clock, receivedAt
	}
	return l
}

// ClockKnown reports whether the agent's clock has been read.
func (l AgentLease) ClockKnown() bool { return l.clockReadAt != 0 }

// Deadline returns the agent's time in ms at which a lease of d from now ends, or 0 if its
// clock isn't known.
func (l AgentLease) Deadline(now notch.Time, d time.Duration) int64 {
	if !l.ClockKnown() {
		return 0
	}
	return l.agentClock + now.Sub(l.clockReadAt).Milliseconds() + d.Milliseconds()
}

// WithGrant returns the state after a lease up to deadline was sent.
func (l AgentLease) WithGrant(deadline int64) AgentLease {
	l.grantedUntil = max(l.grantedUntil, deadline)
	return l
}

// GrantedUntil returns the agent's time in ms at which the longest lease ends that was sent to
// it, or 0 if none was.
func (l AgentLease) GrantedUntil() int64 { return l.grantedUntil }

// minAgentClock returns the time in ms that the agent's clock has certainly reached.
func (l AgentLease) minAgentClock(now notch.Time) int64 {
	return l.agentClock + int64(float64(now.Sub(l.clockReadAt))*(1-MaxClockDrift)/float64(time.Millisecond))
}

// Expired reports whether every lease of the agent has certainly ended.
func (l AgentLease) Expired(now notch.Time) bool {
	if now.Before(l.formerLeasesEnd) {
		return false
	}
	if !l.ClockKnown() {
		return l.grantedUntil == 0
	}
	return l.minAgentClock(now) > l.grantedUntil+expiryMargin.Milliseconds()
}
