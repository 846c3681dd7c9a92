package traffic

import (
	"slices"
	"time"

	notch "tamaracknotch"
)

// server is what a lane knows of one incarnation of a backend server.
type server struct {
	id           notch.ServerID
	server       notch.BackendServer // with the limits and marks of its pool
	slots        int                 // granted to this entry
	inFlight     int
	mean, tail   time.Duration
	samples      int
	failures     int // in a row
	ejections    int // since the last answer
	ejectedUntil notch.Time
	since        notch.Time // first seen, or back from an ejection
}

func newServer(b notch.BackendServer, now notch.Time) server {
	return server{id: b.ID(), server: b, since: now}
}

// slowStart is how long a new backend server takes to get its full share.
const slowStart = 3 * time.Second

// available reports whether a request may be sent now.
func (s server) available(now notch.Time) bool {
	if s.server.Leaving || now.Before(s.ejectedUntil) {
		return false
	}
	return s.inFlight < s.room(now)
}

// room is the number of slots that may be used now.
func (s server) room(now notch.Time) int {
	limit := min(s.slots, s.server.Slots)
	age := now.Sub(s.since)
	if age >= slowStart || limit <= 1 {
		return limit
	}
	return max(1, int(float64(limit)*float64(age)/float64(slowStart)))
}

func (s server) starting() server {
	s.inFlight++
	return s
}

// tailStep is the relative step of the tail estimate per sample.
const tailStep = 0.05

// tailQuantile is the quantile that tail follows.
const tailQuantile = 0.95

// slowFactor times the mean latency is what a backend server may take before a
// request that ran out of time counts against it.
const slowFactor = 3

// ended returns s after an attempt. Late says that the request's deadline passed.
func (s server) ended(b notch.AttemptEnded, late bool) server {
	s.inFlight--
	switch b.Outcome {
	case notch.AttemptOK:
		s.failures, s.ejections = 0, 0
		s.samples++
		s.mean = smooth(s.mean, b.Latency)
		s.tail = followTail(s.tail, b.Latency)
	case notch.AttemptFailed, notch.AttemptNotSent, notch.AttemptCut:
		// A request that was sent shortly before its deadline proves nothing.
		if !late || b.Latency > slowFactor*s.mean {
			s.failures++
		}
	}
	return s
}

// followTail moves an estimate of a quantile by a step that doesn't depend on
// how far the sample is out, so that one straggler doesn't spoil it.
func followTail(tail, sample time.Duration) time.Duration {
	if tail == 0 {
		return sample
	}
	step := tailStep * float64(tail)
	if sample > tail {
		return tail + time.Duration(step*tailQuantile)
	}
	return tail - time.Duration(step*(1-tailQuantile))
}

// maxFailures in a row make a backend server an outlier.
const maxFailures = 3

func (s server) failing() bool { return s.failures >= maxFailures }

// ejectionBase is the length of a first ejection; further ones are longer.
const (
	ejectionBase = time.Second
	ejectionMax  = 30 * time.Second
)

// ejected returns s out of the choice for a while, longer each time.
func (s server) ejected(now notch.Time) server {
	d := min(ejectionBase<<min(s.ejections, 10), ejectionMax)
	s.ejections++
	s.failures = maxFailures - 1 // one more failure after the return ejects it again
	s.ejectedUntil = now.Add(d)
	s.since = s.ejectedUntil
	return s
}

// candidates shows a pool to a picker.
type candidates struct {
	pool   *pool
	domain string
	now    notch.Time
	tried  []notch.ServerID
}

// Len implements [notch.Candidates].
func (c candidates) Len() int { return c.pool.servers.Len() }

// At implements [notch.Candidates].
func (c candidates) At(i int) (notch.Candidate, bool) {
	s := c.pool.servers.Get(i)
	if !s.available(c.now) || slices.Contains(c.tried, s.id) {
		return notch.Candidate{}, false
	}
	return notch.Candidate{
		Server: s.id, InFlight: s.inFlight, Slots: s.slots, Mean: s.mean, Tail: s.tail,
		Samples: s.samples, Local: s.server.Domain == c.domain,
	}, true
}
