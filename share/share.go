// Package share divides the slots of backend servers between the entries and
// distributes the tables to them. [Leader] grants the leases, and [Entry]
// holds the lease of one entry.
//
// For each entry and backend server, the leader tracks the most slots that the
// entry may have in use: the larger of what the entry last reported and what was
// granted since. The leader grants a slot to another entry only after its holder
// has reported that it released the slot, or after the holder's lease and the
// longest request that it may have started have ended. The slots of an earlier
// incarnation of a backend server count too, as requests that are sent under them may
// reach the present one. No lease that a leader grants goes beyond Timing.Lease after
// the last instant at which a quorum confirmed the leader. A new leader treats every slot as taken until the leases and requests of
// the former leader's entries have ended. Until then it grants an entry only slots
// that this entry reports as its own. An entry reports a slot as its own until
// its lease, and the requests sent under it, have ended.
package share

import (
	"time"

	notch "tamaracknotch"
)

// Timing holds the lease duration and the intervals of the lease protocol.
type Timing struct {
	Lease          time.Duration // of an entry, from the sending of its report
	ReportInterval time.Duration // between the reports of an entry
	MaxReports     int           // of all entries in a second; with many entries, their reports get rarer
	DivideInterval time.Duration // least time between two divisions of the slots
	MaxExtension   time.Duration // how long after the last renewal a lease may be extended while there is no leader
}

// DefaultTiming suits entries with a latency of up to about 100 ms to the leader.
var DefaultTiming = Timing{
	Lease:          3 * time.Second,
	ReportInterval: 250 * time.Millisecond,
	MaxReports:     200,
	DivideInterval: 100 * time.Millisecond,
	MaxExtension:   time.Minute,
}

// reportsPerLease is how many reports an entry sends in the time of a lease at least, so that it keeps its lease if an
// answer is lost.
const reportsPerLease = 3

// MaxClockDrift bounds how much faster one host's clock may run than another's.
const MaxClockDrift = 0.01

// withDrift returns the longest time that this host's clock may show while another
// host's clock advances by d.
func withDrift(d time.Duration) time.Duration { return d + time.Duration(float64(d)*2*MaxClockDrift) }

// maxSlotOccupancy returns how long the requests of an entry that is out of reach count
// as using their slots: twice the longest timeout of the routes. An entry that is in
// reach reports a slot as in use until its attempt has ended, however long that takes.
func maxSlotOccupancy(t notch.Tables) time.Duration {
	var d time.Duration
	for _, r := range t.Routes {
		d = max(d, r.Timeout)
	}
	return 2 * d
}
