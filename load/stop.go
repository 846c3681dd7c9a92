package load

import "time"

// gracefulStop is the graceful stop of an entry. From its beginning on the entry is unready; until its drain
// delay is over it answers every request that reaches it. By then the balancer must have noticed.
type gracefulStop struct {
	entry      string // address for callers
	begunAt    time.Time
	drainDelay time.Duration
}

// failedRequest is a request that got no answer.
type failedRequest struct {
	entry     string    // address for callers
	reachedAt time.Time // when it reached the entry, or failed to
	failedAt  time.Time
	gaveUp    bool // the caller's own timeout has passed
}

// verdict tells why a request got no answer.
type verdict string

// The verdicts on a request that got no answer.
const (
	unanswered  verdict = "unanswered"    // not because of a stop
	cutOff      verdict = "cut-off"       // by a stop
	sentTooLate verdict = "sent-too-late" // the balancer and the caller took longer than the drain delay
)

// reasonOf returns the reason that the report gives for a request that got no answer.
func reasonOf(v verdict) string { return "no answer: " + string(v) }

// judge tells why a request got no answer. The stop is nil if none has begun.
func (s *gracefulStop) judge(r failedRequest) verdict {
	switch {
	case s == nil || r.entry != s.entry || r.gaveUp || r.failedAt.Before(s.begunAt):
		return unanswered
	case r.reachedAt.Before(s.begunAt.Add(s.drainDelay)):
		return cutOff
	}
	return sentTooLate
}

// allowsReady reports whether an entry may say that it is ready, to a probe that was sent at a time.
func (s *gracefulStop) allowsReady(entry string, probedAt time.Time) bool {
	return s == nil || entry != s.entry || probedAt.Before(s.begunAt)
}
