package traffic

import (
	"slices"
	"time"

	notch "tamaracknotch"
)

// server is a lane's state of one incarnation of a backend server.
type server struct {
	id                  notch.ServerID
	backend             notch.BackendServer // with the limits and leaving marks of its pool applied
	slots               int                 // granted to this entry
	inFlight            int
	mean, tail          time.Duration // of the latency
	samples             int           // in mean and tail
	consecutiveFailures int
	ejections           int // since the last whole answer
	ejectedUntil        notch.Time
	slowStartAt         notch.Time // when its slow start begins: when it was first announced, or when its last ejection ends
}

func newServer(b notch.BackendServer, now notch.Time) server {
	return server{id: b.ID(), backend: b, slowStartAt: now}
}

// slowStartDuration is the time over which the usable slots of a new backend server
// rise to the full number.
const slowStartDuration = 3 * time.Second

// available reports whether a request may be sent to s now.
func (s server) available(now notch.Time) bool {
	if s.backend.Leaving || now.Before(s.ejectedUntil) {
		return false
	}
	return s.inFlight < s.usableSlots(now)
}

// usableSlots returns the number of slots that may be used now, reduced during slow
// start.
func (s server) usableSlots(now notch.Time) int {
	limit := min(s.slots, s.backend.Slots)
	elapsed := now.Sub(s.slowStartAt)
	if elapsed >= slowStartDuration || limit <= 1 {
		return limit
	}
	return max(1, int(float64(limit)*float64(elapsed)/float64(slowStartDuration)))
}

func (s server) withAttemptStarted() server {
	s.inFlight++
	return s
}

// tailStep is the step of the tail estimate per sample, as a fraction of the estimate.
const tailStep = 0.05

// tailQuantile is the quantile that updateTail estimates.
const tailQuantile = 0.95

// slowAttemptFactor sets when an attempt that passed its deadline counts as a failure
// of the backend server: when it took longer than this multiple of the mean latency.
const slowAttemptFactor = 3

// withAttemptEnded returns s after the end of an attempt. late reports whether the
// request's deadline has passed.
func (s server) withAttemptEnded(b notch.AttemptEnded, late bool) server {
	s.inFlight--
	switch b.Outcome {
	case notch.AttemptOK:
		s.consecutiveFailures, s.ejections = 0, 0
		s.samples++
		s.mean = ewma(s.mean, b.Latency)
		s.tail = updateTail(s.tail, b.Latency)
	case notch.AttemptFailed, notch.AttemptNotSent, notch.AttemptTruncated:
		// The failure of a request that was sent shortly before its deadline doesn't
		// show that the backend server is at fault.
		if !late || b.Latency > slowAttemptFactor*s.mean {
			s.consecutiveFailures++
		}
	}
	return s
}

// updateTail updates the estimate of tailQuantile with a sample. The step doesn't
// depend on how far the sample deviates, so that one outlier can't distort the
// estimate.
func updateTail(tail, sample time.Duration) time.Duration {
	if tail == 0 {
		return sample
	}
	step := tailStep * float64(tail)
	if sample > tail {
		return tail + time.Duration(step*tailQuantile)
	}
	return tail - time.Duration(step*(1-tailQuantile))
}

// maxConsecutiveFailures is the number of failures in a row that makes a backend
// server an outlier.
const maxConsecutiveFailures = 3

func (s server) isOutlier() bool { return s.consecutiveFailures >= maxConsecutiveFailures }

// The first ejection takes ejectionBase. Each further one takes twice as long, up to
// ejectionMax.
const (
	ejectionBase = time.Second
	ejectionMax  = 30 * time.Second
)

// withEjection returns s ejected, for longer each time.
func (s server) withEjection(now notch.Time) server {
	d := min(ejectionBase<<min(s.ejections, 10), ejectionMax)
	s.ejections++
	s.consecutiveFailures = maxConsecutiveFailures - 1 // after the ejection, one more failure ejects it again
	s.ejectedUntil = now.Add(d)
	s.slowStartAt = s.ejectedUntil
	return s
}

// candidates presents the backend servers of a pool to a picker. Those in tried
// aren't available.
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
		Samples: s.samples, Local: s.backend.Domain == c.domain,
	}, true
}
