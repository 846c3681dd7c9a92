package gateway

import (
	"time"

	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// resultRetention is how long a result is kept at least. It is dropped when the next but one
// period of this length begins.
const resultRetention = 5 * time.Second

// callID identifies a call among those of all daemons.
type callID struct {
	origin string
	ticket uint64
}

// callIDHasher hashes the tickets, which every process begins at a random value.
type callIDHasher struct{}

// Hash implements immutable.Hasher.
func (callIDHasher) Hash(id callID) uint32 { return uint32(notch.HashSeed(id.ticket)) }

// Equal implements immutable.Hasher.
func (callIDHasher) Equal(a, b callID) bool { return a == b }

// results holds the results of recent calls, by the calls. Every replica keeps them, so that a
// copy of a call that arrives after the call was applied becomes no second log entry, also if
// another replica led when it was applied. Values are immutable.
type results struct {
	latest    *immutable.Map[callID, notch.Result] // from startedAt on
	earlier   *immutable.Map[callID, notch.Result] // of the period before
	startedAt notch.Time
}

func newResults() results {
	return results{latest: noResults(), earlier: noResults()}
}

func noResults() *immutable.Map[callID, notch.Result] {
	return immutable.NewMap[callID, notch.Result](callIDHasher{})
}

// with returns r with one more result.
func (r results) with(now notch.Time, id callID, result notch.Result) results {
	if now.Sub(r.startedAt) >= resultRetention {
		r.latest, r.earlier, r.startedAt = noResults(), r.latest, now
	}
	r.latest = r.latest.Set(id, result)
	return r
}

// get returns the result of a call.
func (r results) get(id callID) (notch.Result, bool) {
	if result, ok := r.latest.Get(id); ok {
		return result, true
	}
	return r.earlier.Get(id)
}
