// Package lease reckons with the clock of an agent: how far a lease granted by it
// may reach, and when it is certainly over.
package lease

import (
	"time"

	notch "tamaracknotch"
)

// Drift bounds how much slower an agent's clock may run than the own.
const Drift = 0.02

// margin is added before a lease counts as over, for the grain of both clocks.
const margin = 150 * time.Millisecond

// Book is what one leader knows of an agent's clock and lease.
type Book struct {
	clock   int64      // of the agent in ms, at least this at readAt
	readAt  notch.Time // zero: the clock was never read
	granted int64      // latest deadline sent, by the agent's clock; 0: none
	floor   notch.Time // whatever was granted before the clock was read is over by then
}

// New returns the book on an agent that others may have granted leases to, which
// end by floor.
func New(floor notch.Time) Book { return Book{floor: floor} }

// WithClock returns b after an answer that told the agent's clock.
func (b Book) WithClock(clock int64, receivedAt notch.Time) Book {
	if b.readAt == 0 || clock > b.least(receivedAt) {
		b.clock, b.readAt = clock, receivedAt
	}
	return b
}

// Read reports whether the agent's clock is known.
func (b Book) Read() bool { return b.readAt != 0 }

// Deadline returns the agent's time in ms at which a lease of d from now ends; 0
// if its clock isn't known.
func (b Book) Deadline(now notch.Time, d time.Duration) int64 {
	if !b.Read() {
		return 0
	}
	return b.clock + now.Sub(b.readAt).Milliseconds() + d.Milliseconds()
}

// WithGrant returns b after a lease up to deadline was sent.
func (b Book) WithGrant(deadline int64) Book {
	b.granted = max(b.granted, deadline)
	return b
}

// least returns the agent's time in ms that has certainly been reached.
func (b Book) least(now notch.Time) int64 {
	return b.clock + int64(float64(now.Sub(b.readAt))*(1-Drift)/float64(time.Millisecond))
}

// Over reports whether every lease has certainly ended.
func (b Book) Over(now notch.Time) bool {
	if now.Before(b.floor) {
		return false
	}
	if !b.Read() {
		return b.granted == 0
	}
	return b.least(now) > b.granted+margin.Milliseconds()
}
