package fake

import (
	"time"

	notch "tamaracknotch"
	"tamaracknotch/drive"
)

// announceEvery is the period of announcements.
const announceEvery = time.Second

// Backend is a stand-in for a backend server.
type Backend struct {
	notch.BackendServer
	Up       bool
	Failing  bool // takes requests and drops the connection
	Silent   bool // no longer announces itself
	Service  func(kind string) time.Duration
	InFlight int
	Most     int            // largest InFlight seen
	Runs     map[uint64]int // by request
	Last     time.Duration  // when the last new request came
	life     int
}

// AddBackend starts a backend server that announces itself through any daemon.
func (s *Site) AddBackend(b notch.BackendServer, service func(kind string) time.Duration) *Backend {
	x := &Backend{BackendServer: b, Service: service, Runs: map[uint64]int{}}
	s.Backends[b.Name] = x
	s.StartBackend(x)
	return x
}

// StartBackend starts a backend server, as a new incarnation.
func (s *Site) StartBackend(b *Backend) {
	b.Up, b.Leaving = true, false
	b.Incarnation++
	b.InFlight = 0
	b.life++
	s.announcing(b, b.life)
}

// KillBackend ends a backend server; what is in flight there fails.
func (s *Site) KillBackend(b *Backend) {
	b.Up = false
	b.life++
}

func (s *Site) announcing(b *Backend, life int) {
	if b.life != life {
		return
	}
	if up := s.Up(); len(up) > 0 && !b.Silent {
		n := up[s.Rand.IntN(len(up))]
		s.Post(n, notch.Announced{Server: b.BackendServer})
	}
	s.After(announceEvery, func() { s.announcing(b, life) })
}

// Leave has a backend server announce at once that it leaves.
func (s *Site) Leave(b *Backend) {
	b.Leaving = true
	if up := s.Up(); len(up) > 0 {
		s.Post(up[s.Rand.IntN(len(up))], notch.Announced{Server: b.BackendServer})
	}
}

type requestKey struct {
	node  string
	start uint64 // incarnation of the daemon
	id    uint64
}

// Outcome is how a request ended for its caller.
type Outcome struct {
	OK      bool
	Refuse  notch.Refuse // if not OK; zero if the entry died
	Latency time.Duration
	Sends   int
	Ran     int // times that a backend server began it
}

type exchange struct {
	outcome Outcome
	began   time.Duration
	request notch.Request
	done    func(Outcome)
	// answered is set once the caller has an answer or was told that its time is
	// over.
	answered bool
}

// Request has a daemon serve a request. Its ID and Deadline are set here. Done
// isn't called if the daemon dies.
func (s *Site) Request(n *drive.Node, r notch.Request, done func(Outcome)) {
	s.nextID++
	r.ID = s.nextID
	r.Deadline = s.Time(n).Add(r.Route.Timeout)
	r.Replayable = true
	s.requests[requestKey{n.Self.Name, n.Self.Incarnation, r.ID}] = &exchange{began: s.Now(), request: r, done: done}
	s.PostLane(n, 0, notch.RequestArrived{Request: r})
}

func (s *Site) refused(n *drive.Node, f notch.Refuse) {
	key := requestKey{n.Self.Name, n.Self.Incarnation, f.Request}
	x := s.requests[key]
	if x == nil {
		s.violate("request %d was refused after its end", f.Request)
		return
	}
	delete(s.requests, key)
	if x.answered {
		return
	}
	x.outcome.Refuse = f
	x.outcome.Latency = s.Now() - x.began
	if f.NotRun && x.outcome.Ran > 0 {
		s.violate("request %d was refused as not run, but ran", f.Request)
	}
	x.done(x.outcome)
}

// dispatched carries a request to a backend server and the answer back.
func (s *Site) dispatched(n *drive.Node, f notch.Dispatch) {
	key := requestKey{n.Self.Name, n.Self.Incarnation, f.Request}
	x := s.requests[key]
	if x == nil {
		s.violate("request %d was sent after its end", f.Request)
		return
	}
	x.outcome.Sends++
	began := s.Now()
	there := s.way(n, f.Server.Domain)
	s.After(there, func() { s.arrive(n, key, x, f, began) })
}

// way is the time to a failure domain, in which the backend server of a
// dispatch is.
func (s *Site) way(n *drive.Node, domain string) time.Duration {
	other := &drive.Node{Self: notch.Daemon{Name: domain, Domain: domain}}
	d := s.Net.Delay(n, other)
	return d + time.Duration(s.Net.Jitter*s.Rand.Float64()*float64(d))
}

func (s *Site) arrive(n *drive.Node, key requestKey, x *exchange, f notch.Dispatch, began time.Duration) {
	b := s.Backends[f.Server.Name]
	if b == nil || !b.Up || b.ID() != f.Server.ID() {
		s.finish(n, key, x, f, began, notch.AttemptNotSent)
		return
	}
	b.Last = s.Now()
	x.outcome.Ran++
	b.Runs[f.Request]++
	if !x.request.Idempotent && x.outcome.Ran > 1 {
		s.violate("non-idempotent request %d ran %d times", f.Request, x.outcome.Ran)
	}
	b.InFlight++
	b.Most = max(b.Most, b.InFlight)
	if b.InFlight > b.Slots {
		s.violate("backend server %s has %d requests in %d slots", b.Name, b.InFlight, b.Slots)
	}
	life := b.life
	service := b.Service(x.request.Kind)
	if b.Failing {
		service = time.Millisecond
	}
	failing := b.Failing
	left := max(0, x.request.Deadline.Sub(s.Time(n)))
	// An attempt may go on for another timeout after its caller was answered.
	lasts := min(service, left+x.request.Route.Timeout)
	s.After(left, func() { s.late(key, x) })
	s.After(lasts, func() {
		o := notch.AttemptOK
		if b.life != life || failing || service > lasts {
			o = notch.AttemptFailed
		}
		if b.life == life {
			b.InFlight--
		}
		s.finish(n, key, x, f, began, o)
	})
}

// late answers the caller of a request that is still under way at its deadline.
func (s *Site) late(key requestKey, x *exchange) {
	if s.requests[key] != x || x.answered {
		return
	}
	x.answered = true
	x.outcome.Latency = s.Now() - x.began
	x.outcome.Refuse = notch.Refuse{Request: key.id, Reason: notch.RefusedAttempts}
	x.done(x.outcome)
}

// finish tells the entry, after the way back, how the attempt ended. The first
// answer is the caller's.
func (s *Site) finish(n *drive.Node, key requestKey, x *exchange, f notch.Dispatch, began time.Duration, o notch.AttemptOutcome) {
	s.After(s.way(n, f.Server.Domain), func() {
		if !n.Up || n.Self.Incarnation != key.start {
			return
		}
		if x.answered && o != notch.AttemptOK {
			o = notch.AttemptCut
		}
		if o == notch.AttemptOK && !x.answered {
			x.answered = true
			x.outcome.OK = true
			x.outcome.Latency = s.Now() - x.began
			x.done(x.outcome)
		}
		if x.answered {
			delete(s.requests, key)
		}
		s.PostLane(n, 0, notch.AttemptEnded{
			Request: f.Request, Attempt: f.Attempt, Server: f.Server.ID(), Outcome: o, Latency: s.Now() - began,
		})
	})
}
