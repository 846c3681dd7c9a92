package flow

import (
	"slices"
	"strconv"
	"sync"

	notch "tamaracknotch"
)

// tick renews the leases that are due and abandons the runs of agents whose leases have
// expired. It reports whether runs wait for an agent that is silent.
func (s *stepper) tick() (awaits bool) {
	if !s.mayOrder() {
		return false
	}
	s.sendStarts()
	s.logQueuedStarts()
	for it := s.sessions.Iterator(); !it.Done(); {
		id, session, _ := it.Next()
		if session.unanswered == 0 && (session.renewalSentAt != 0 || s.now.Before(session.nextRenewalAt)) {
			continue // most agents: they answer, and a renewal is under way or isn't due
		}
		load := s.load(id)
		awaits = awaits || len(load.runs) > 0 && session.unanswered > 0
		if len(load.runs) > 0 && s.now.Sub(session.endsProposedAt) >= s.timing.ReproposeInterval {
			s.abandonRuns(id, *session, load.runs)
		}
		if session.renewalSentAt == 0 && !s.now.Before(session.nextRenewalAt) {
			a, _ := s.agent(id)
			if a.Left && len(load.runs) == 0 {
				s.sessions = s.sessions.Delete(id)
				continue
			}
			s.renewLease(id)
		}
	}
	return awaits
}

// abandonRuns ends the runs of an agent that doesn't answer, once its leases have expired or it has provably ended. An
// agent that sent its leave message, or whose address refuses connections, may run on until then.
func (s *stepper) abandonRuns(id string, session agentSession, runs []agentRun) {
	if session.unanswered == 0 {
		return
	}
	proof := s.hasEnded(session)
	if proof == "" {
		session = s.logSilentWaits(session, runs)
	}
	if proof == "" && !session.lease.Expired(s.now) {
		return
	}
	var abandoned []agentRun
	for _, r := range runs {
		if (proof != "" || !s.mayRunOnSuccessor(session, r.ref)) && !s.isQueued(r.ref) {
			abandoned = append(abandoned, r)
		}
	}
	if len(abandoned) == 0 {
		return
	}
	session.endsProposedAt = s.now
	s.putSession(id, session)
	a, _ := s.agent(id)
	s.logMessage("gives up the runs of an agent", notch.TextField("agent", id), notch.TextField("why", string(notch.RunLeaseExpired)),
		notch.IntField("runs", len(abandoned)), notch.IntField("not-listed", s.countUnlisted(abandoned)),
		notch.TextField("last-grant", s.age(session.grantedAt)), notch.TextField("last-heard", s.age(session.heardAt)),
		notch.TextField("left", strconv.FormatBool(a.Left)), notch.TextField("host", a.Host), notch.TextField("proof", proof))
	slices.SortFunc(abandoned, func(a, b agentRun) int { return compareRunRefs(a.ref, b.ref) })
	commonCause := sync.OnceValue(func() bool { return s.commonCause(a) })
	var ends []notch.RunEnd
	for _, r := range abandoned {
		s.noteProposedEnd(r.ref, notch.RunLeaseExpired)
		ends = append(ends, notch.RunEnd{Run: r.ref, Kind: notch.RunLeaseExpired, Suspicion: s.suspicionAfter(session, r, commonCause)})
	}
	s.propose(notch.EndRuns{Life: session.incarnation, Ends: ends})
}
