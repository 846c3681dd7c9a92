package flow

import (
	"testing"
	"time"

	notch "tamaracknotch"
)

// submitChain submits a workflow with one task whose declared run time is d.
func (s *testLeader) submitChain(id string, d time.Duration) {
	s.commit(notch.SubmitWorkflow{Flow: notch.Workflow{ID: id, Route: "r", Spec: "x", Stages: []notch.Stage{
		{Count: 1, Size: notch.Resources{MilliCPU: 100, MemoryMB: 100}, Estimate: d},
	}}})
}

// overload queues a start for long enough that the leader counts as overloaded.
func (s *testLeader) overload() {
	p := s.part()
	p.startQueue = p.startQueue.withRun(notch.RunRef{Task: notch.TaskRef{Flow: "queued"}, Number: 1}, 9, s.now.Add(-overloadedAfter))
	s.state = notch.NewState(p)
}

// pollsAfterEnd returns whether a leader asks agent 0 for ends at once when the end of a run there has been committed, while
// another run of a workflow with the given run time goes on there.
func pollsAfterEnd(s *testLeader, other time.Duration) bool {
	life := lifeOf(0, 1)
	s.submitChain("ended", time.Second)
	s.submitChain("other", other)
	s.commit(notch.PlaceRuns{Token: 2, Placements: []notch.RunPlacement{
		{Task: notch.TaskRef{Flow: "ended"}, Life: life}, {Task: notch.TaskRef{Flow: "other"}, Life: life},
	}})
	end := notch.RunEnd{Run: notch.RunRef{Task: notch.TaskRef{Flow: "ended"}, Number: 1}, Kind: notch.RunDone}
	s.step(notch.AgentAnswered{
		Life: life, Order: notch.AgentOrder{Kind: notch.AgentRenew, Token: 2<<incarnationBits | 1}, SentAt: s.now,
		Answer: notch.AgentAnswer{Kind: notch.AgentOK, Clock: int64(s.now / 1e6), Born: 1, Ends: []notch.ListedEnd{{N: 1, End: end}},
			Live: []notch.LiveRun{{Run: notch.RunRef{Task: notch.TaskRef{Flow: "other"}, Number: 1}}}},
	})
	for _, f := range s.commitOut(notch.EndRuns{Life: life, Ends: []notch.RunEnd{end}, UpTo: 1}) {
		if c, ok := f.(notch.CallAgent); ok && c.Order.Kind == notch.AgentRenew {
			return true
		}
	}
	return false
}

// TestOverloadedLeaderPollsBySlack guards against a leader that can't make all starts and spends its time on one call, answer and
// log entry for each end, although the workflows have time (SHORT).
func TestOverloadedLeaderPollsBySlack(t *testing.T) {
	for _, c := range []struct {
		name     string
		overload bool
		other    time.Duration // run time of the workflow that goes on; the objective is twice that
		target   time.Duration // that the objective is longer
		want     bool          // asks for ends at once
	}{
		{"a leader that keeps up", false, 10 * time.Second, time.Second, true},
		{"overloaded, a workflow with time", true, 10 * time.Second, time.Second, false},
		{"overloaded, a workflow whose time follows what it declares", true, 10 * time.Second, 300 * time.Millisecond, true},
		{"overloaded, a workflow without time", true, 0, 0, true},
	} {
		s := newTestLeader(1)
		tables := testTables()
		tables.Routes[0].Target = c.target
		s.step(notch.TablesCommitted{Tables: tables})
		if c.overload {
			s.overload()
		}
		if got := pollsAfterEnd(s, c.other); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
		p := s.part()
		session, _ := p.session("w0")
		if got, want := session.nextRenewalAt.Sub(s.now), maxPollDelay; !c.want && got > want {
			t.Errorf("%s: the next renewal is after %v, want at most %v", c.name, got, want)
		}
	}
}

// TestPollsOfManyAgentsAreLonger guards against a leader of many agents that spends its core on lists without news (SHORT), and against
// long waits of those for which somebody waits.
func TestPollsOfManyAgentsAreLonger(t *testing.T) {
	for _, c := range []struct {
		name     string
		agents   int
		together bool // opportunistic and service tasks run on the agent
		over     bool // a service task exceeds its target
		want     time.Duration
	}{
		{"few agents", 400, false, false, time.Second},
		{"many agents", 1350, false, false, 1500 * time.Millisecond},
		{"more agents", 3900, false, false, 2 * time.Second},
		{"few agents, tasks of both kinds", 400, true, false, 600 * time.Millisecond},
		{"many agents, tasks of both kinds", 720, true, false, 800 * time.Millisecond},
		{"more agents, tasks of both kinds", 3900, true, false, 1500 * time.Millisecond},
		{"more agents, a service task that exceeds its target", 3900, true, true, 600 * time.Millisecond},
	} {
		s := newTestLeader(c.agents)
		p := stepper{Part: s.part(), now: s.now}
		if c.together {
			colocated := colocationState{bothKinds: true}
			if c.over {
				colocated.overTargetSince = s.now
			}
			p.colocations = p.colocations.Set("w0", colocated)
		}
		session, _ := p.session("w0")
		if got := p.longPoll("w0", session); got != c.want {
			t.Errorf("%s: got a poll of %v, want %v", c.name, got, c.want)
		}
	}
}

// TestAgentOnLongPollGetsRuns guards against agents that count as silent, and get no work, while their answer is only delayed as allowed.
func TestAgentOnLongPollGetsRuns(t *testing.T) {
	for _, c := range []struct {
		wait, since time.Duration
		want        bool
	}{
		{time.Second, 2400 * time.Millisecond, true},
		{time.Second, 2600 * time.Millisecond, false},
		{2 * time.Second, 3400 * time.Millisecond, true},
		{2 * time.Second, 3600 * time.Millisecond, false},
	} {
		s := newTestLeader(1)
		p := stepper{Part: s.part(), now: s.now}
		session, _ := p.session("w0")
		a, _ := p.agent("w0")
		session.pollWait = c.wait
		p.now = session.lastAnsweredAt.Add(c.since)
		if got := p.acceptsRuns(notch.Pool{Name: "p"}, &a, &session); got != c.want {
			t.Errorf("a poll of %v, %v after the last answer: gets runs is %v, want %v", c.wait, c.since, got, c.want)
		}
	}
}

// TestUnansweredStartPausesAgent guards against further starts to an agent that leaves one unanswered, until its poll shows its
// silence, up to 3 s later.
func TestUnansweredStartPausesAgent(t *testing.T) {
	for _, c := range []struct {
		kind notch.AgentAnswerKind
		want bool // the agent gets runs
	}{{notch.AgentOK, true}, {notch.AgentNoAnswer, false}} {
		s := newTestLeader(1)
		s.submitChain("f", time.Second)
		s.commit(notch.PlaceRuns{Token: 2, Placements: []notch.RunPlacement{{Task: notch.TaskRef{Flow: "f"}, Life: lifeOf(0, 1)}}})
		s.answerStartOf(notch.RunRef{Task: notch.TaskRef{Flow: "f"}, Number: 1}, c.kind)
		p := stepper{Part: s.part(), now: s.now}
		session, _ := p.session("w0")
		a, _ := p.agent("w0")
		if got := p.acceptsRuns(notch.Pool{Name: "p"}, &a, &session); got != c.want {
			t.Errorf("after the answer %q: gets runs is %v, want %v", c.kind, got, c.want)
		}
		p.now = p.now.Add(pauseAfterRefusal)
		if !p.acceptsRuns(notch.Pool{Name: "p"}, &a, &session) {
			t.Errorf("after the answer %q and a pause: the agent gets no runs", c.kind)
		}
	}
}

// TestNextLeaderWaitsForLongestLease guards against a new leader that takes the lease of an agent for expired which a former one granted with
// a long poll, and starts the agent's tasks elsewhere while they run (TWICE).
func TestNextLeaderWaitsForLongestLease(t *testing.T) {
	for _, c := range []struct {
		agents int
		longer time.Duration // than Timing.Lease
	}{{900, 0}, {1350, 500 * time.Millisecond}, {3900, time.Second}} {
		s := newTestLeader(c.agents)
		p := stepper{Part: s.part(), now: s.now}
		session, _ := p.session("w0")
		granted := p.leaseFor(p.longPoll("w0", session))
		if want := p.timing.Lease + c.longer; granted != want {
			t.Errorf("%d agents: granted %v, want %v", c.agents, granted, want)
		}
		if waits := p.formerLeasesEnd(s.now).Sub(s.now); waits < granted*102/100 {
			t.Errorf("%d agents: the next leader waits for %v, but a lease lasts %v and its clock may be slow", c.agents, waits, granted)
		}
	}
}
