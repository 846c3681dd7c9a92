package flow

import (
	"cmp"
	"strconv"
	"strings"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/lease"
)

// agentSession records what the leader has learned about one incarnation of an agent from the
// answers to its orders.
type agentSession struct {
	incarnation           notch.AgentIncarnation
	startedAt             notch.Time
	token                 uint64 // sent with every order to this incarnation
	lease                 lease.AgentLease
	renewalSentAt         notch.Time      // when the lease renewal that isn't answered yet was sent; zero: none
	pollWait              time.Duration   // how long the agent may delay its answer to the latest renewal
	lastAnsweredAt        notch.Time      // when the latest lease renewal was answered; zero: none was
	predecessorAnsweredAt notch.Time      // when the incarnation before it last answered this leader; zero: never
	nextRenewalAt         notch.Time      // no lease renewal is sent before then
	unanswered            int             // successive lease renewals that brought no lists of runs and ends
	succeeded             bool            // an answer showed a later incarnation, which isn't committed yet
	live                  []notch.LiveRun // of the latest lists, if each has a reservation here; never modified
	hasStrays             bool            // the latest lists held a live run that has no reservation here
	missesRuns            bool            // the latest lists lacked a run that may still be live or start
	proposedUpTo          uint64          // ends up to this position were proposed
	committedUpTo         uint64          // ends up to this position are committed
	ackBefore             uint64          // no ends from this position on are acknowledged yet; 0: all that are committed may be
	forgottenUpTo         uint64          // the agent has answered an acknowledgement of the ends up to this position
	noRunsBefore          notch.Time      // no new runs are placed before then
	endsProposedAt        notch.Time      // when the ends of abandoned runs were last proposed
	waitsLoggedAt         notch.Time      // when it was last looked which of its runs are waited for
	grantedAt             notch.Time      // when the last order was sent that grants a lease, to this or an earlier incarnation; by former leaders: when this one was elected
	ackToken              uint64          // of the renewal under way, if it acknowledges ends; 0: it doesn't
	starts                openStarts      // to this incarnation and to earlier ones
	heardAt               notch.Time      // when the agent last answered an order, whichever incarnation of it did
	aliveAt               notch.Time      // when the latest order was sent that this incarnation answered with its lists; zero: none
}

// agent returns what an agent announced about itself, or false if it isn't known.
func (p Part) agent(id string) (notch.Agent, bool) {
	a, ok := p.agents.Get(id)
	if !ok {
		return notch.Agent{}, false
	}
	return *a, true
}

// session returns the session of an agent, or false if the leader has none.
func (p Part) session(agent string) (agentSession, bool) {
	session, ok := p.sessions.Get(agent)
	if !ok {
		return agentSession{}, false
	}
	return *session, true
}

// putSession replaces the session of an agent.
func (s *stepper) putSession(agent string, session agentSession) {
	s.sessions = s.sessions.Set(agent, &session)
}

// agentClock is a reading of the clock of one incarnation of an agent.
type agentClock struct {
	incarnation notch.AgentIncarnation
	lease.AgentClock
}

// runOrders records the state of the orders about one run.
type runOrders struct {
	queued          bool                   // the start wasn't sent yet
	startSentAt     notch.Time             // zero: it wasn't sent, at least not by this leader
	startOutcome    notch.AgentAnswerKind  // empty: the start is not answered yet
	repeats         int                    // how often the start was sent again
	repeatedAt      notch.Time             // when it was last sent again; zero: never
	listed          bool                   // the incarnation that it was placed on has listed it as live
	confirmedHere   bool                   // that incarnation has confirmed the start, by the clock in the answer
	startAnsweredAt notch.Time             // when startOutcome became known
	atWorkSince     notch.Time             // when the agent first confirmed or listed it; zero: it didn't yet
	brokenSentAt    notch.Time             // when the start was sent, if its connection ended at once; zero: it didn't
	askedOf         notch.AgentIncarnation // the later incarnation to which the start was sent, as it may have had the run; zero: none
	proposedEnd     notch.RunEndKind       // how the run was given up, if that isn't committed yet; empty: it wasn't
	stopped         bool                   // a stop was sent
	stopSentAt      notch.Time             // zero: no stop is under way
	stopAnsweredAt  notch.Time             // when a stop was confirmed; zero: none was
	refusedAt       notch.Time             // when a repeated start was last answered and not carried out; zero: never
	refusedAsOld    bool                   // the incarnation that it was placed on has refused its start as old
	renewedAt       notch.Time             // when the renewal of its placement was last proposed; zero: never
	nextProposedAt  notch.Time             // when the next run of its task was last proposed for its agent; zero: never
	nextFailures    int                    // failures of the task then
	waitLogged      waitReason             // the latest reason that was logged why the run is waited for; empty: none was
}

// located reports whether the run was carried out by the incarnation that it was placed on.
func (o runOrders) located() bool { return o.listed || o.confirmedHere }

// runFields returns the fields of a log message about a run.
func runFields(ref notch.RunRef, agent, outcome string) []notch.LogField {
	return []notch.LogField{
		notch.TextField("request-id", ref.Task.Flow), notch.TextField("task", ref.Task.String()),
		notch.TextField("run", strconv.FormatUint(ref.Number, 10)), notch.TextField("agent", agent), notch.TextField("outcome", outcome),
	}
}

type runRefHasher struct{}

// Hash implements immutable.Hasher.
func (runRefHasher) Hash(r notch.RunRef) uint32 {
	h := uint64(r.Task.Round)<<32 ^ uint64(r.Task.Stage)<<24 ^ uint64(r.Task.Index)<<8 ^ r.Number
	for _, c := range []byte(r.Task.Flow) {
		h = h*31 + uint64(c)
	}
	return uint32(notch.HashSeed(h))
}

// Equal implements immutable.Hasher.
func (runRefHasher) Equal(a, b notch.RunRef) bool { return a == b }

func compareRunRefs(a, b notch.RunRef) int {
	return cmp.Or(strings.Compare(a.Task.Flow, b.Task.Flow), cmp.Compare(a.Task.Round, b.Task.Round),
		cmp.Compare(a.Task.Stage, b.Task.Stage), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Number, b.Number))
}
