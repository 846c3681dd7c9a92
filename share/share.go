// Package share holds the two parts by which the entries share the slots of
// backend servers and learn the tables: [Leader] grants leases, [Entry] obeys
// them.
//
// The leader counts for every entry what it may have in use at most: the larger
// of what the entry last reported and what was granted since. A slot is granted
// again only when its holder has reported that it gave it back, or when the
// holder's lease and the longest request that it may have begun have ended. A
// leader grants nothing beyond the instant at which it was last known to lead
// plus the lease, and a new leader treats every slot as taken until the leases of
// its predecessor have ended, but for those that their holders report.
package share

import "time"

// Timing holds the durations of leases.
type Timing struct {
	Lease      time.Duration // of an entry
	Report     time.Duration // between reports of an entry
	Divide     time.Duration // between divisions of the slots
	Leaderless time.Duration // most that a lease is extended while no replica knows a leader
}

// DefaultTiming suits entries up to some 100 ms from the leader.
var DefaultTiming = Timing{
	Lease:      3 * time.Second,
	Report:     250 * time.Millisecond,
	Divide:     100 * time.Millisecond,
	Leaderless: time.Minute,
}

// Drift bounds how much faster one host's clock may run than another's.
const Drift = 0.01

// withDrift returns the longest time that may pass here while d passes elsewhere.
func withDrift(d time.Duration) time.Duration { return d + time.Duration(float64(d)*2*Drift) }
