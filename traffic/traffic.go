// Package traffic holds the decisions about callers' requests: the choice of a
// backend server, queueing, admission, hedges, retries and outlier ejection.
// Each lane owns one [Part] for its share of the pools.
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

// Policy holds the interchangeable policies of a lane.
type Policy struct {
	Picker        notch.Picker
	Order         notch.QueueOrder
	Admitter      notch.Admitter
	Retrier       notch.Retrier
	EjectOutliers bool // eject backend servers that fail repeatedly
}

// DefaultPolicy returns the policies that performed best in the comparisons in
// docs/DESIGN.md.
func DefaultPolicy() Policy {
	p, _ := pick.New(pick.Names()[0])
	return Policy{Picker: p, Order: queue.DefaultShortFirst, Admitter: queue.DefaultDeadlineAdmitter, Retrier: retry.DefaultBudgeted, EjectOutliers: true}
}

// NaivePolicy returns the naive baseline of every policy.
func NaivePolicy() Policy {
	return Policy{Picker: pick.Random{}, Order: queue.FIFO{}, Admitter: queue.BoundedAdmitter{}, Retrier: retry.Unlimited{}}
}

// request is the state of a caller's request that waits or has attempts pending.
type request struct {
	notch.Request
	arrived    notch.Time
	attempts   int  // sends so far
	mayHaveRun bool // an attempt may have reached a backend server
	waiting    bool
	key        queueKey         // while waiting
	pending    []pendingAttempt // attempts that haven't ended
	answered   bool             // the caller has its answer; attempts may still be pending
	tried      []notch.ServerID
}

// pendingAttempt is an attempt that hasn't ended.
type pendingAttempt struct {
	number int
	server notch.ServerID
}

// withAttempt returns q after one more attempt, at the given backend server.
func (q request) withAttempt(id notch.ServerID) request {
	q.attempts++
	q.waiting = false
	q.pending = append(slices.Clip(q.pending), pendingAttempt{q.attempts, id})
	q.tried = append(slices.Clip(q.tried), id)
	return q
}

// withoutAttempt returns q after the end of an attempt. The result is false if no
// such attempt is pending.
func (q request) withoutAttempt(b notch.AttemptEnded) (request, bool) {
	i := slices.Index(q.pending, pendingAttempt{b.Attempt, b.Server})
	if i < 0 {
		return q, false
	}
	q.pending = slices.Delete(slices.Clone(q.pending), i, i+1)
	return q, true
}

// Part is the state of one lane.
type Part struct {
	lane         int
	domain       string
	policy       Policy
	tables       notch.Tables
	servers      []notch.BackendServer
	grant        notch.SlotsGranted
	grantedSlots map[notch.ServerID]int // of grant
	pools        pools
	requests     *immutable.Map[uint64, *request] // the requests are never modified
	reportedLoad notch.LaneLoad                   // as last sent to the control loop
}

// Option adjusts a new Part.
type Option func(*Part)

// WithPolicy replaces DefaultPolicy.
func WithPolicy(policy Policy) Option { return func(p *Part) { p.policy = policy } }

// New returns the part of a lane of an entry in the given failure domain, without
// pools.
func New(lane int, domain string, opts ...Option) Part {
	p := Part{
		lane: lane, domain: domain, policy: DefaultPolicy(),
		requests:     immutable.NewMap[uint64, *request](nil),
		reportedLoad: notch.LaneLoad{Lane: -1},
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
		s.onRequestArrived(b.Request)
	case notch.AttemptEnded:
		s.onAttemptEnded(b)
	case notch.HedgeDue:
		s.onHedgeDue(b.Request)
	case notch.CallerGone:
		s.onCallerGone(b.Request)
	case notch.Tick:
		s.tick()
	case notch.TablesInForce:
		s.tables = b.Tables
		s.rebuildPools()
	case notch.ServersChanged:
		s.servers = b.Servers
		s.rebuildPools()
	case notch.SlotsGranted:
		s.onSlotsGranted(b)
	case notch.LeaseExtended:
		s.grant.Until = b.Until
	}
	return s.Part, s.out
}

// stepper is a Part during a step, with the effects collected so far.
type stepper struct {
	Part
	now  notch.Time
	seed uint64
	out  []notch.Effect
}

func (s *stepper) count(name string) { s.out = append(s.out, notch.Count{Name: name, Delta: 1}) }

// These counters are incremented for every request, so their effects are allocated
// only once.
var (
	countRequest  notch.Effect = notch.Count{Name: "requests", Delta: 1}
	countSend     notch.Effect = notch.Count{Name: "sends", Delta: 1}
	countAnswered notch.Effect = notch.Count{Name: "answered", Delta: 1}
)

func (s *stepper) hasLease() bool { return s.now.Before(s.grant.Until) }

func (s *stepper) onRequestArrived(r notch.Request) {
	s.out = append(s.out, countRequest)
	i := s.pools.find(r.Route.Pool)
	if i < 0 {
		s.refuse(request{Request: r}, notch.RefusedNoServer, 0)
		return
	}
	q := request{Request: r, arrived: s.now}
	s.pools = s.pools.with(i, s.pools[i].withRetryTokens(s.policy.Retrier.TokensPerRequest()))
	if !s.hasLease() {
		s.refuse(q, notch.RefusedNoLease, time.Second)
		return
	}
	if s.pools[i].queue.Len() == 0 && s.dispatch(i, q) {
		return
	}
	s.enqueue(i, q, true)
}

// dispatch sends q to a backend server of pool i that has a free slot. It returns
// false if there is none.
func (s *stepper) dispatch(i int, q request) bool {
	available := candidates{pool: &s.pools[i], domain: s.domain, now: s.now, tried: q.tried}
	k := s.policy.Picker.Pick(available, s.seed+q.ID)
	if k < 0 {
		return false
	}
	pool := s.pools[i]
	server := pool.servers.Get(k).withAttemptStarted()
	s.pools = s.pools.with(i, pool.withServer(k, server).withInFlight(1))
	q = q.withAttempt(server.id)
	s.requests = s.requests.Set(q.ID, &q)
	if server.backend.Domain != s.domain {
		s.count("sends-to-other-domains")
	}
	s.out = append(s.out, countSend)
	s.out = append(s.out, notch.Dispatch{
		Request: q.ID, Attempt: q.attempts, Server: server.backend,
		Idle: s.maxIdleConnections(server.backend), Deadline: q.Deadline,
	})
	s.scheduleHedge(pool, q)
	return true
}

// scheduleHedge schedules a HedgeDue event for the time at which the answer to a
// first attempt is late.
func (s *stepper) scheduleHedge(p pool, q request) {
	if q.attempts > 1 || !q.Idempotent || !q.Replayable {
		return
	}
	k := p.kind(q.Kind)
	if after, ok := s.policy.Retrier.Hedge(k.tail, k.samples); ok {
		s.out = append(s.out, notch.Wake{After: after, Body: notch.HedgeDue{Request: q.ID}})
	}
}

// onHedgeDue sends a late request to a second backend server if one has a free slot, the
// retry budget permits it, and no request waits in the pool.
func (s *stepper) onHedgeDue(id uint64) {
	stored, ok := s.requests.Get(id)
	if !ok {
		return
	}
	q := *stored
	if q.answered || len(q.pending) != 1 || !s.hasLease() {
		return
	}
	i := s.pools.find(q.Route.Pool)
	if i < 0 || s.pools[i].retryTokens < 1 || s.pools[i].queue.Len() > 0 {
		return
	}
	if s.dispatch(i, q) {
		s.count("hedges")
		s.pools = s.pools.with(i, s.pools[i].withRetryTokens(-1))
	}
}

// maxIdleConnections returns this entry's share of the connections that a backend
// server accepts beyond its slots.
func (s *stepper) maxIdleConnections(b notch.BackendServer) int {
	return max(0, (b.Connections-b.Slots)/max(1, s.grant.Entries))
}

func (s *stepper) refuse(q request, reason notch.RefusalReason, after time.Duration) {
	s.requests = s.requests.Delete(q.ID)
	s.count("refused-" + kebab(reason))
	s.out = append(s.out, notch.Refuse{Request: q.ID, Reason: reason, NotRun: !q.mayHaveRun, RetryAfter: after})
}

func (s *stepper) onCallerGone(id uint64) {
	stored, ok := s.requests.Get(id)
	if !ok || !stored.waiting {
		return
	}
	q := *stored
	i := s.pools.find(q.Route.Pool)
	if i >= 0 {
		s.pools = s.pools.with(i, s.pools[i].withoutWaiting(q.key))
	}
	s.refuse(q, notch.RefusedCallerGone, 0)
}

func (s *stepper) onAttemptEnded(b notch.AttemptEnded) {
	stored, ok := s.requests.Get(b.Request)
	if !ok {
		return
	}
	q, ok := stored.withoutAttempt(b)
	if !ok {
		return
	}
	i := s.pools.find(q.Route.Pool)
	if i < 0 {
		s.endWithoutPool(q, b)
		return
	}
	s.releaseSlot(i, q, b)
	s.finishAttempt(i, q, b.Outcome)
	s.dispatchWaiting(i)
}

// endWithoutPool ends a request whose pool is no longer in the tables.
func (s *stepper) endWithoutPool(q request, b notch.AttemptEnded) {
	q.mayHaveRun = q.mayHaveRun || b.Outcome != notch.AttemptNotSent && b.Outcome != notch.AttemptRefused
	switch {
	case len(q.pending) > 0:
		s.requests = s.requests.Set(q.ID, &q)
	case q.answered || b.Outcome == notch.AttemptOK:
		s.requests = s.requests.Delete(q.ID)
	default:
		s.refuse(q, notch.RefusedNoServer, 0)
	}
}

// releaseSlot frees the attempt's slot and updates the statistics of the backend
// server and its pool.
func (s *stepper) releaseSlot(i int, q request, b notch.AttemptEnded) {
	pool := s.pools[i].withInFlight(-1)
	if k, ok := pool.serverIndex[b.Server]; ok {
		server := pool.servers.Get(k).withAttemptEnded(b, !s.now.Before(q.Deadline))
		if s.policy.EjectOutliers && server.isOutlier() && pool.mayEject(s.now) {
			server = server.withEjection(s.now)
			s.count("ejections")
			s.out = append(s.out, notch.LogMessage{Text: "backend server ejected", Fields: []notch.LogField{{Name: "server", Value: string(server.id)}}})
		}
		pool = pool.withServer(k, server)
	} else {
		pool = pool.withRemovedAttemptEnded(b.Server)
	}
	if b.Outcome == notch.AttemptOK {
		pool = pool.withSample(q.Kind, b.Latency)
	}
	s.pools = s.pools.with(i, pool)
}

// finishAttempt ends the request, keeps it while another attempt is pending, or
// retries it.
func (s *stepper) finishAttempt(i int, q request, o notch.AttemptOutcome) {
	final := o == notch.AttemptOK || o == notch.AttemptTruncated || o == notch.AttemptCancelled
	if final && !q.answered {
		q.answered = true
		s.out = append(s.out, outcomeCounters[o])
	}
	q.mayHaveRun = q.mayHaveRun || o == notch.AttemptFailed
	switch {
	case len(q.pending) > 0:
		s.requests = s.requests.Set(q.ID, &q)
	case q.answered:
		s.requests = s.requests.Delete(q.ID)
	default:
		s.retryOrRefuse(i, q, o)
	}
}

// retryOrRefuse retries a failed request or refuses it.
func (s *stepper) retryOrRefuse(i int, q request, o notch.AttemptOutcome) {
	state := notch.RetryState{
		Attempts: q.attempts, Outcome: o, Remaining: q.Deadline.Sub(s.now), Tokens: s.pools[i].retryTokens,
		Repeatable: (q.Idempotent || !q.mayHaveRun) && q.Replayable,
	}
	if s.policy.Retrier.Retry(state) {
		s.count("retries")
		s.pools = s.pools.with(i, s.pools[i].withRetryTokens(-1))
		if !s.dispatch(i, q) {
			s.enqueue(i, q, false)
		}
		return
	}
	reason := notch.RefusedAttempts
	if q.mayHaveRun && !q.Idempotent {
		reason = notch.RefusedOutcome
	}
	s.refuse(q, reason, time.Second)
}

var outcomeCounters = [...]notch.Effect{
	notch.AttemptOK:        countAnswered,
	notch.AttemptTruncated: notch.Count{Name: "answers-cut", Delta: 1},
	notch.AttemptCancelled: notch.Count{Name: "callers-gone", Delta: 1},
}
