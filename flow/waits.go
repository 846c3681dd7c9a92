package flow

import (
	"time"

	notch "tamaracknotch"
)

// waitReason says what a run is waited for that isn't known to be live, while its task has no other run.
type waitReason string

const (
	waitsForLease     waitReason = "lease"      // its agent is silent, and a lease may last
	waitsForLateStart waitReason = "late-start" // its agent is silent, and a later incarnation may carry its start out
	waitsForLateCopy  waitReason = "late-copy"  // its agent won't run it, and a later incarnation may carry its start out
	waitsForAnswer    waitReason = "answer"     // its agent doesn't list it, and has neither confirmed nor refused its start or a stop
	waitsForOtherRun  waitReason = "other-run"  // its agent lists another run of the task
)

// Waits shorter than waitLogAfter are usual. A failure domain that is lost leaves thousands of runs that wait, of which
// the log names some each second.
const (
	waitLogAfter    = 3 * time.Second
	maxWaitsLogged  = 40 // in waitLogInterval
	waitLogInterval = time.Second
)

// waitLog limits the log messages about runs that are waited for.
type waitLog struct {
	since  notch.Time // when the present interval began
	logged int        // in it
}

// withMessage returns l after one more message, or false if the limit is reached.
func (l waitLog) withMessage(now notch.Time) (waitLog, bool) {
	if now.Sub(l.since) >= waitLogInterval {
		l = waitLog{since: now}
	}
	if l.logged >= maxWaitsLogged {
		return l, false
	}
	l.logged++
	return l, true
}

// logWait logs that a run is waited for, and what that rests on: once for each reason. Until is when the wait ends at the
// latest by what is known now; zero: that depends on answers.
func (s *stepper) logWait(session agentSession, ref notch.RunRef, reason waitReason, until notch.Time) {
	r, ok := s.run(ref)
	orders, _ := s.runOrders.Get(ref)
	if !ok || orders.waitLogged == reason || s.now.Sub(s.knownSince(ref, orders)) < waitLogAfter {
		return
	}
	log, ok := s.waitLog.withMessage(s.now)
	if !ok {
		s.count("waits-not-logged", 1)
		return
	}
	s.waitLog = log
	orders.waitLogged = reason
	s.runOrders = s.runOrders.Set(ref, orders)
	left := "unknown"
	if until != 0 {
		left = max(0, until.Sub(s.now)).String()
	}
	fields := append(runFields(ref, r.Life.Agent, string(reason)), s.proofFields(session, ref)...)
	s.logMessage("run is waited for", append(fields, notch.TextField("at-most", left),
		notch.TextField("placed", s.age(s.load(r.Life.Agent).placedAt(ref))), notch.TextField("stop", s.age(orders.stopAnsweredAt)),
		notch.IntField("unanswered", session.unanswered), notch.TextField("last-heard", s.age(session.heardAt)),
		notch.DurationField("leading-for", s.now.Sub(s.leadership.Ready)))...)
}

// knownSince returns when this leader last sent the start of a run, or else when it learned of the run.
func (s *stepper) knownSince(ref notch.RunRef, orders runOrders) notch.Time {
	return max(orders.startSentAt, orders.repeatedAt, s.leadership.Ready, s.load(s.agentOf(ref)).placedAt(ref))
}

// agentOf returns the agent of a run; empty if the run has ended.
func (s *stepper) agentOf(ref notch.RunRef) string {
	r, _ := s.run(ref)
	return r.Life.Agent
}

// logSilentWaits logs which runs of a silent agent are waited for, and returns the session of the agent after that.
func (s *stepper) logSilentWaits(session agentSession, runs []agentRun) agentSession {
	if s.now.Sub(lastSignOf(session)) < waitLogAfter || s.now.Sub(session.waitsLoggedAt) < waitLogInterval {
		return session
	}
	session.waitsLoggedAt = s.now
	s.putSession(session.incarnation.Agent, session)
	for _, placed := range runs {
		switch {
		case s.isQueued(placed.ref):
		case s.mayRunOnSuccessor(session, placed.ref):
			s.logWait(session, placed.ref, waitsForLateStart, s.lateLeasesEnd(session))
		case !session.lease.Expired(s.now):
			s.logWait(session, placed.ref, waitsForLease, 0)
		}
	}
	return session
}

// logMissingWait logs why a run is waited for that its agent doesn't list.
func (s *stepper) logMissingWait(session agentSession, ref notch.RunRef, r notch.Run) {
	if orders, _ := s.runOrders.Get(ref); orders.stopAnsweredAt == 0 && !s.mayStartYet(session, ref, r) {
		s.logWait(session, ref, waitsForAnswer, 0)
		return
	}
	s.logWait(session, ref, waitsForLateCopy, s.lateCopiesEnd(session, ref, r))
}

// lateCopiesEnd returns when no copy of the start of a run can be late any more, of those that this leader knows of or a
// former one may have sent.
func (s *stepper) lateCopiesEnd(session agentSession, ref notch.RunRef, r notch.Run) notch.Time {
	var end notch.Time
	if !s.placedHere(r) {
		end = s.formerCopiesEnd(ref)
	}
	for _, c := range session.starts {
		if c.run == ref {
			end = max(end, c.sentAt.Add(maxOrderLateness))
		}
	}
	return end
}
