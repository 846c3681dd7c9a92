// Package traffic is the part that decides about callers' requests: which
// backend server gets one, which wait, which are refused, which are sent again.
// A lane owns one such part for its share of the pools.
package traffic

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
	"tamaracknotch/pick"
	"tamaracknotch/queue"
	"tamaracknotch/retry"
)

// Policy gathers the behaviour that varies.
type Policy struct {
	Picker   notch.Picker
	Order    notch.QueueOrder
	Admitter notch.Admitter
	Retrier  notch.Retrier
	Eject    bool // take failing backend servers out for a while
}

// DefaultPolicy is the one that measured best; see docs/DESIGN.md.
func DefaultPolicy() Policy {
	p, _ := pick.New(pick.Names()[0])
	return Policy{Picker: p, Order: queue.DefaultShortFirst, Admitter: queue.DefaultByDeadline, Retrier: retry.Default, Eject: true}
}

// NaivePolicy is the baseline of every decision.
func NaivePolicy() Policy {
	return Policy{Picker: pick.Random{}, Order: queue.FIFO{}, Admitter: queue.Bounded{}, Retrier: retry.Unlimited{}}
}

// request is a request that hasn't been answered yet.
type request struct {
	notch.Request
	arrived  notch.Time
	attempts int
	mayRun   bool // some attempt may have reached a backend server
	waiting  bool
	key      queueKey // while waiting
	flights  []flight // sends that haven't ended
	answered bool     // the caller has its answer; flights are left
	tried    []notch.ServerID
}

// flight is a send that hasn't ended.
type flight struct {
	attempt int
	server  notch.ServerID
}

// withFlight returns q after one more send.
func (q request) withFlight(id notch.ServerID) request {
	q.attempts++
	q.waiting = false
	q.flights = append(slices.Clip(q.flights), flight{q.attempts, id})
	q.tried = append(slices.Clip(q.tried), id)
	return q
}

// withoutFlight returns q after the end of a send. It is false if there was no
// such send.
func (q request) withoutFlight(b notch.AttemptEnded) (request, bool) {
	i := slices.Index(q.flights, flight{b.Attempt, b.Server})
	if i < 0 {
		return q, false
	}
	q.flights = slices.Delete(slices.Clone(q.flights), i, i+1)
	return q, true
}

// Part is the state of one lane.
type Part struct {
	lane     int
	domain   string
	policy   Policy
	tables   notch.Tables
	servers  []notch.BackendServer
	slots    notch.SlotsGranted
	caps     map[notch.ServerID]int
	pools    pools
	requests *immutable.Map[uint64, *request] // what is pointed to is never modified
	told     notch.LaneLoad
}

// Option adjusts a new Part.
type Option func(*Part)

// WithPolicy replaces DefaultPolicy.
func WithPolicy(policy Policy) Option { return func(p *Part) { p.policy = policy } }

// New returns an empty lane of an entry in the failure domain.
func New(lane int, domain string, opts ...Option) Part {
	p := Part{
		lane: lane, domain: domain, policy: DefaultPolicy(),
		requests: immutable.NewMap[uint64, *request](nil),
		told:     notch.LaneLoad{Lane: -1},
	}
	for _, opt := range opts {
		opt(&p)
	}
	return p
}

// Step implements [notch.Part].
func (p Part) Step(e notch.Event) (notch.Part, []notch.Effect) {
	s := stepper{Part: p, now: e.At, seed: e.Seed}
	switch b := e.Body.(type) {
	case notch.RequestArrived:
		s.arrive(b.Request)
	case notch.AttemptEnded:
		s.ended(b)
	case notch.HedgeDue:
		s.hedge(b.Request)
	case notch.CallerGone:
		s.callerGone(b.Request)
	case notch.Tick:
		s.tick()
	case notch.TablesApplied:
		s.tables = b.Tables
		s.rebuild()
	case notch.ServersChanged:
		s.servers = b.Servers
		s.rebuild()
	case notch.SlotsGranted:
		s.granted(b)
	case notch.LeaseExtended:
		s.slots.Until = b.Until
	}
	return s.Part, s.out
}

// stepper is a Part in the middle of a step, with the effects so far.
type stepper struct {
	Part
	now  notch.Time
	seed uint64
	out  []notch.Effect
}

func (s *stepper) count(name string) { s.out = append(s.out, notch.Count{Name: name, Delta: 1}) }

// The counters of every request are effects made once: they are the most frequent.
var (
	countRequest  notch.Effect = notch.Count{Name: "requests", Delta: 1}
	countSend     notch.Effect = notch.Count{Name: "sends", Delta: 1}
	countAnswered notch.Effect = notch.Count{Name: "answered", Delta: 1}
)

func (s *stepper) leased() bool { return s.now.Before(s.slots.Until) }

func (s *stepper) arrive(r notch.Request) {
	s.out = append(s.out, countRequest)
	i := s.pools.find(r.Route.Pool)
	if i < 0 {
		s.refuse(request{Request: r}, notch.RefusedNoServer, 0)
		return
	}
	q := request{Request: r, arrived: s.now}
	s.pools = s.pools.with(i, s.pools[i].withTokens(s.policy.Retrier.Earn()))
	if !s.leased() {
		s.refuse(q, notch.RefusedNoLease, time.Second)
		return
	}
	if s.pools[i].queue.Len() == 0 && s.dispatch(i, q) {
		return
	}
	s.enqueue(i, q, true)
}

// dispatch sends q to a backend server of pool i, if one has a free slot.
func (s *stepper) dispatch(i int, q request) bool {
	view := candidates{pool: &s.pools[i], domain: s.domain, now: s.now, tried: q.tried}
	k := s.policy.Picker.Pick(view, s.seed+q.ID)
	if k < 0 {
		return false
	}
	pool := s.pools[i]
	b := pool.servers.Get(k).starting()
	s.pools = s.pools.with(i, pool.withServer(k, b).withInFlight(1))
	q = q.withFlight(b.id)
	s.requests = s.requests.Set(q.ID, &q)
	if b.server.Domain != s.domain {
		s.count("sends-to-other-domains")
	}
	s.out = append(s.out, countSend)
	s.out = append(s.out, notch.Dispatch{
		Request: q.ID, Attempt: q.attempts, Server: b.server,
		Idle: s.idleConnections(b.server), Deadline: q.Deadline,
	})
	s.planHedge(pool, q)
	return true
}

// planHedge asks to be woken when the answer to a first send is late.
func (s *stepper) planHedge(p pool, q request) {
	if q.attempts > 1 || !q.Idempotent || !q.Replayable {
		return
	}
	k := p.kind(q.Kind)
	if after, ok := s.policy.Retrier.Hedge(k.tail, k.samples); ok {
		s.out = append(s.out, notch.Wake{After: after, Body: notch.HedgeDue{Request: q.ID}})
	}
}

// hedge sends a late request to a second backend server, if one has room that
// nobody waits for.
func (s *stepper) hedge(id uint64) {
	held, ok := s.requests.Get(id)
	if !ok {
		return
	}
	q := *held
	if q.answered || len(q.flights) != 1 || !s.leased() {
		return
	}
	i := s.pools.find(q.Route.Pool)
	if i < 0 || s.pools[i].tokens < 1 || s.pools[i].queue.Len() > 0 {
		return
	}
	if s.dispatch(i, q) {
		s.count("hedges")
		s.pools = s.pools.with(i, s.pools[i].withTokens(-1))
	}
}

// idleConnections divides the connections that no slot needs between entries.
func (s *stepper) idleConnections(b notch.BackendServer) int {
	return max(0, (b.Connections-b.Slots)/max(1, s.slots.Entries))
}

func (s *stepper) refuse(q request, reason notch.RefusalReason, after time.Duration) {
	s.requests = s.requests.Delete(q.ID)
	s.count("refused-" + kebab(reason))
	s.out = append(s.out, notch.Refuse{Request: q.ID, Reason: reason, NotRun: !q.mayRun, RetryAfter: after})
}

func (s *stepper) callerGone(id uint64) {
	held, ok := s.requests.Get(id)
	if !ok || !held.waiting {
		return
	}
	q := *held
	i := s.pools.find(q.Route.Pool)
	if i >= 0 {
		s.pools = s.pools.with(i, s.pools[i].withoutWaiting(q.key))
	}
	s.refuse(q, notch.RefusedCallerGone, 0)
}

func (s *stepper) ended(b notch.AttemptEnded) {
	held, ok := s.requests.Get(b.Request)
	if !ok {
		return
	}
	q, ok := held.withoutFlight(b)
	if !ok {
		return
	}
	i := s.pools.find(q.Route.Pool)
	if i < 0 {
		s.endedNowhere(q, b)
		return
	}
	s.release(i, q, b)
	s.conclude(i, q, b.Outcome)
	s.serve(i)
}

// endedNowhere ends a request whose pool is no longer in the tables.
func (s *stepper) endedNowhere(q request, b notch.AttemptEnded) {
	q.mayRun = q.mayRun || b.Outcome != notch.AttemptNotSent && b.Outcome != notch.AttemptRefused
	switch {
	case len(q.flights) > 0:
		s.requests = s.requests.Set(q.ID, &q)
	case q.answered || b.Outcome == notch.AttemptOK:
		s.requests = s.requests.Delete(q.ID)
	default:
		s.refuse(q, notch.RefusedNoServer, 0)
	}
}

// release gives the slot back and notes how the attempt went.
func (s *stepper) release(i int, q request, b notch.AttemptEnded) {
	pool := s.pools[i].withInFlight(-1)
	if k, ok := pool.index[b.Server]; ok {
		server := pool.servers.Get(k).ended(b, !s.now.Before(q.Deadline))
		if s.policy.Eject && server.failing() && pool.mayEject(s.now) {
			server = server.ejected(s.now)
			s.count("ejections")
			s.out = append(s.out, notch.Notice{Text: "backend server ejected", Fields: []notch.Field{{Name: "server", Value: string(server.id)}}})
		}
		pool = pool.withServer(k, server)
	} else {
		pool = pool.withoutGone(b.Server)
	}
	if b.Outcome == notch.AttemptOK {
		pool = pool.withSample(q.Kind, b.Latency)
	}
	s.pools = s.pools.with(i, pool)
}

// conclude ends the request, waits for its other send, or sends it again.
func (s *stepper) conclude(i int, q request, o notch.AttemptOutcome) {
	final := o == notch.AttemptOK || o == notch.AttemptCut || o == notch.AttemptCanceled
	if final && !q.answered {
		q.answered = true
		s.out = append(s.out, outcomeCounters[o])
	}
	q.mayRun = q.mayRun || o == notch.AttemptFailed
	switch {
	case len(q.flights) > 0:
		s.requests = s.requests.Set(q.ID, &q)
	case q.answered:
		s.requests = s.requests.Delete(q.ID)
	default:
		s.again(i, q, o)
	}
}

// again sends a request that failed once more, or refuses it.
func (s *stepper) again(i int, q request, o notch.AttemptOutcome) {
	state := notch.RetryState{
		Attempts: q.attempts, Outcome: o, Remaining: q.Deadline.Sub(s.now), Tokens: s.pools[i].tokens,
		Repeat: (q.Idempotent || !q.mayRun) && q.Replayable,
	}
	if s.policy.Retrier.Retry(state) {
		s.count("retries")
		s.pools = s.pools.with(i, s.pools[i].withTokens(-1))
		if !s.dispatch(i, q) {
			s.enqueue(i, q, false)
		}
		return
	}
	reason := notch.RefusedAttempts
	if q.mayRun && !q.Idempotent {
		reason = notch.RefusedOutcome
	}
	s.refuse(q, reason, time.Second)
}

var outcomeCounters = [...]notch.Effect{
	notch.AttemptOK:       countAnswered,
	notch.AttemptCut:      notch.Count{Name: "answers-cut", Delta: 1},
	notch.AttemptCanceled: notch.Count{Name: "callers-gone", Delta: 1},
}
