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

// AgentClock is a reading of an agent's clock. The zero value is no reading.
type AgentClock struct {
	reading int64      // lower bound of the agent's time at readAt, in ms
	readAt  notch.Time // zero: the clock was never read
}

// NewAgentClock returns a reading in ms that was received at the given time.
func NewAgentClock(reading int64, receivedAt notch.Time) AgentClock {
	return AgentClock{reading: reading, readAt: receivedAt}
}

// Known reports whether the clock has been read.
func (c AgentClock) Known() bool { return c.readAt != 0 }

// ReadAt returns when the reading was received.
func (c AgentClock) ReadAt() notch.Time { return c.readAt }

// LowerBound returns the time in ms that the agent's clock has certainly reached.
func (c AgentClock) LowerBound(now notch.Time) int64 {
	return c.reading + int64(float64(now.Sub(c.readAt))*(1-MaxClockDrift)/float64(time.Millisecond))
}

// readingAge limits how old the latest reading of an agent's clock was when it arrived.
const readingAge = 100 * time.Millisecond

// Matches reports whether a reading in ms that was taken between the given times is one of the same clock.
func (c AgentClock) Matches(reading int64, from, to notch.Time) bool {
	if !c.Known() || reading == 0 {
		return false
	}
	lowest := float64(from.Sub(c.readAt)) * (1 - MaxClockDrift)
	highest := float64(to.Sub(c.readAt)) * (1 + MaxClockDrift)
	since := float64(reading-c.reading) * float64(time.Millisecond)
	return lowest-float64(readingAge) <= since && since <= highest+float64(readingAge)
}

// MaxDuration returns the longest time by the local clock that a lease of d by an agent's clock
// lasts.
func MaxDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d)/(1-MaxClockDrift)) + expiryMargin
}

// AgentLease records what one leader has learned about an agent's clock and its lease.
type AgentLease struct {
	clock           AgentClock // the reading that gives the highest lower bound
	latest          AgentClock // the latest reading
	grantedUntil    int64      // latest deadline sent, by the agent's clock in ms; 0: none
	formerLeasesEnd notch.Time // the leases that former leaders granted end by then

	staleGrant      time.Duration // longest lease that the agent may have taken before its clock was read; 0: none
	staleGrantUntil int64         // when this lease ends, by the agent's clock in ms; 0: not known or none
}

// New returns the state of an agent that former leaders may have granted leases to. Those
// leases end by formerLeasesEnd.
func New(formerLeasesEnd notch.Time) AgentLease {
	return AgentLease{formerLeasesEnd: formerLeasesEnd}
}

// WithStaleGrants returns the state of an agent that may carry out orders to its earlier incarnation
// until its own clock is read. Their deadlines are by the earlier incarnation's clock, so that each
// may grant a lease of maxLease, the longest that an agent takes.
func (l AgentLease) WithStaleGrants(maxLease time.Duration) AgentLease {
	l.staleGrant = maxLease
	return l
}

// WithClock returns the state after an answer that contained the agent's clock in ms.
func (l AgentLease) WithClock(reading int64, receivedAt notch.Time) AgentLease {
	if !l.clock.Known() && l.staleGrant != 0 {
		l.staleGrantUntil = reading + l.staleGrant.Milliseconds()
	}
	if !l.clock.Known() || reading > l.clock.LowerBound(receivedAt) {
		l.clock = NewAgentClock(reading, receivedAt)
	}
	l.latest = NewAgentClock(reading, receivedAt)
	return l
}

// ClockKnown reports whether the agent's clock has been read.
func (l AgentLease) ClockKnown() bool { return l.clock.Known() }

// ClockMatches reports whether a reading in ms that was taken between the given times is one of the agent's clock, as
// far as that is known.
func (l AgentLease) ClockMatches(reading int64, from, to notch.Time) bool {
	return l.latest.Matches(reading, from, to)
}

// Deadline returns the agent's time in ms at which a lease of at most d from now ends, or 0 if its
// clock isn't known.
func (l AgentLease) Deadline(now notch.Time, d time.Duration) int64 {
	if !l.ClockKnown() {
		return 0
	}
	return l.clock.LowerBound(now) + d.Milliseconds()
}

// WithGrant returns the state after a lease up to deadline was sent.
func (l AgentLease) WithGrant(deadline int64) AgentLease {
	l.grantedUntil = max(l.grantedUntil, deadline)
	return l
}

// GrantedUntil returns the agent's time in ms at which the longest lease ends that was sent to
// it, or 0 if none was.
func (l AgentLease) GrantedUntil() int64 { return l.grantedUntil }

// Expired reports whether every lease of the agent has certainly ended.
func (l AgentLease) Expired(now notch.Time) bool {
	if now.Before(l.formerLeasesEnd) {
		return false
	}
	if !l.ClockKnown() {
		return l.grantedUntil == 0
	}
	return l.clock.LowerBound(now) > max(l.grantedUntil, l.staleGrantUntil)+expiryMargin.Milliseconds()
}
