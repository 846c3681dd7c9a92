package fake

import (
	"time"

	notch "tamaracknotch"
	"tamaracknotch/drive"
)

// announcePeriod is the interval between announcements of a backend server.
const announcePeriod = time.Second

// Backend simulates a backend server.
type Backend struct {
	notch.BackendServer
	Up            bool
	Failing       bool // accepts requests and drops the connection without an answer
	Silent        bool // sends no announcements
	ServiceTime   func(kind string) time.Duration
	InFlight      int
	MaxInFlight   int            // greatest value of InFlight so far
	RunsByRequest map[uint64]int // number of attempts that it received, by request id
	LastRequestAt time.Duration  // when the latest attempt arrived
	generation    int
}

// AddBackend adds and starts a backend server. ServiceTime returns the time that it
// needs for a request.
func (s *Testbed) AddBackend(b notch.BackendServer, serviceTime func(kind string) time.Duration) *Backend {
	x := &Backend{BackendServer: b, ServiceTime: serviceTime, RunsByRequest: map[uint64]int{}}
	s.Backends[b.Name] = x
	s.StartBackend(x)
	return x
}

// StartBackend starts a new incarnation of a backend server.
func (s *Testbed) StartBackend(b *Backend) {
	b.Up, b.Leaving = true, false
	b.Incarnation++
	b.InFlight = 0
	b.generation++
	s.announceBackend(b, b.generation)
}

// KillBackend crashes a backend server. Its requests in flight fail.
func (s *Testbed) KillBackend(b *Backend) {
	b.Up = false
	b.generation++
}

// announceBackend announces a backend server through a random daemon, and repeats
// this in every period.
func (s *Testbed) announceBackend(b *Backend, generation int) {
	if b.generation != generation {
		return
	}
	if up := s.Up(); len(up) > 0 && !b.Silent {
		n := up[s.Rand.IntN(len(up))]
		s.Post(n, notch.ServerAnnounced{Server: b.BackendServer})
	}
	s.After(announcePeriod, func() { s.announceBackend(b, generation) })
}

// AnnounceLeaving makes a backend server announce at once that it leaves.
func (s *Testbed) AnnounceLeaving(b *Backend) {
	b.Leaving = true
	if up := s.Up(); len(up) > 0 {
		s.Post(up[s.Rand.IntN(len(up))], notch.ServerAnnounced{Server: b.BackendServer})
	}
}

// requestKey identifies a request across daemons and their incarnations.
type requestKey struct {
	node        string
	incarnation uint64 // incarnation of the daemon
	id          uint64
}

// Outcome describes how a request ended for its caller.
type Outcome struct {
	OK      bool
	Refuse  notch.Refuse // set if OK is false; zero if the entry was killed
	Latency time.Duration
	Sends   int
	Starts  int // how often a backend server started to process it
}

// pendingRequest is a request that its entry has not finished.
type pendingRequest struct {
	outcome   Outcome
	startedAt time.Duration
	request   notch.Request
	done      func(Outcome)
	// answered is set once the caller has got an answer or an error at the deadline.
	// Attempts may still be in progress then.
	answered bool
}

// SendRequest sends a caller's request to a daemon. It sets the request's ID, Deadline
// and Replayable. Done is called with the outcome, unless the daemon is killed first.
func (s *Testbed) SendRequest(n *drive.Node, r notch.Request, done func(Outcome)) {
	s.lastRequestID++
	r.ID = s.lastRequestID
	r.Deadline = s.Time(n).Add(r.Route.Timeout)
	r.Replayable = true
	s.pendingRequests[requestKey{n.Self.Name, n.Self.Incarnation, r.ID}] = &pendingRequest{startedAt: s.Now(), request: r, done: done}
	s.PostLane(n, 0, notch.RequestArrived{Request: r})
}

// handleRefusal reports a refusal to the caller. It checks that a request that was
// refused as not run didn't run.
func (s *Testbed) handleRefusal(n *drive.Node, f notch.Refuse) {
	key := requestKey{n.Self.Name, n.Self.Incarnation, f.Request}
	x := s.pendingRequests[key]
	if x == nil {
		s.reportViolation("request %d was refused after its end", f.Request)
		return
	}
	delete(s.pendingRequests, key)
	if x.answered {
		return
	}
	x.outcome.Refuse = f
	x.outcome.Latency = s.Now() - x.startedAt
	if f.NotRun && x.outcome.Starts > 0 {
		s.reportViolation("request %d was refused as not run, but ran", f.Request)
	}
	x.done(x.outcome)
}

// handleDispatch sends a request to a backend server.
func (s *Testbed) handleDispatch(n *drive.Node, f notch.Dispatch) {
	key := requestKey{n.Self.Name, n.Self.Incarnation, f.Request}
	x := s.pendingRequests[key]
	if x == nil {
		s.reportViolation("request %d was sent after its end", f.Request)
		return
	}
	x.outcome.Sends++
	sentAt := s.Now()
	delay := s.networkDelay(n, f.Server.Domain)
	s.After(delay, func() { s.receiveRequest(n, key, x, f, sentAt) })
}

// networkDelay returns a random one-way delay from a daemon to a failure domain.
func (s *Testbed) networkDelay(n *drive.Node, domain string) time.Duration {
	other := &drive.Node{Self: notch.Daemon{Name: domain, Domain: domain}}
	d := s.Net.Delay(n, other)
	return d + time.Duration(s.Net.Jitter*s.Rand.Float64()*float64(d))
}

// receiveRequest processes a request at its backend server. It checks that the server
// stays within its slots and that a non-idempotent request runs at most once.
func (s *Testbed) receiveRequest(n *drive.Node, key requestKey, x *pendingRequest, f notch.Dispatch, sentAt time.Duration) {
	b := s.Backends[f.Server.Name]
	if b == nil || !b.Up {
		s.finishAttempt(n, key, x, f, sentAt, notch.AttemptNotSent)
		return
	}
	b.LastRequestAt = s.Now()
	x.outcome.Starts++
	b.RunsByRequest[f.Request]++
	if !x.request.Idempotent && x.outcome.Starts > 1 {
		s.reportViolation("non-idempotent request %d ran %d times", f.Request, x.outcome.Starts)
	}
	b.InFlight++
	b.MaxInFlight = max(b.MaxInFlight, b.InFlight)
	if b.InFlight > b.Slots {
		s.reportViolation("backend server %s has %d requests in %d slots", b.Name, b.InFlight, b.Slots)
	}
	generation := b.generation
	serviceTime := b.ServiceTime(x.request.Kind)
	if b.Failing {
		serviceTime = time.Millisecond
	}
	failing := b.Failing
	left := max(0, x.request.Deadline.Sub(s.Time(n)))
	// An attempt may continue for another timeout after the caller's deadline.
	duration := min(serviceTime, left+x.request.Route.Timeout)
	s.After(left, func() { s.expireRequest(key, x) })
	s.After(duration, func() {
		o := notch.AttemptOK
		if b.generation != generation || failing || serviceTime > duration {
			o = notch.AttemptFailed
		}
		if b.generation == generation {
			b.InFlight--
		}
		s.finishAttempt(n, key, x, f, sentAt, o)
	})
}

// expireRequest reports an error to the caller of a request that has no answer at its
// deadline.
func (s *Testbed) expireRequest(key requestKey, x *pendingRequest) {
	if s.pendingRequests[key] != x || x.answered {
		return
	}
	x.answered = true
	x.outcome.Latency = s.Now() - x.startedAt
	x.outcome.Refuse = notch.Refuse{Request: key.id, Reason: notch.RefusedAttempts}
	x.done(x.outcome)
}

// finishAttempt reports the end of an attempt to the entry after the network delay.
// The first complete answer goes to the caller.
func (s *Testbed) finishAttempt(n *drive.Node, key requestKey, x *pendingRequest, f notch.Dispatch, sentAt time.Duration, o notch.AttemptOutcome) {
	s.After(s.networkDelay(n, f.Server.Domain), func() {
		if !n.Up || n.Self.Incarnation != key.incarnation {
			return
		}
		if x.answered && o != notch.AttemptOK {
			o = notch.AttemptTruncated
		}
		if o == notch.AttemptOK && !x.answered {
			x.answered = true
			x.outcome.OK = true
			x.outcome.Latency = s.Now() - x.startedAt
			x.done(x.outcome)
		}
		if x.answered {
			delete(s.pendingRequests, key)
		}
		s.PostLane(n, 0, notch.AttemptEnded{
			Request: f.Request, Attempt: f.Attempt, Server: f.Server.ID(), Outcome: o, Latency: s.Now() - sentAt,
		})
	})
}
