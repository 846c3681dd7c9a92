package flow

import (
	"time"

	notch "tamaracknotch"
)

// A later leader must know how old the last copy of a start may be. So copies are sent for maxTimeToSend after a committed
// placement, by the leader that proposed it. To send more of them, or those of a run that another one placed, a leader
// renews the placement first.

// maxTimeToRepeat limits how long a leader goes on to repeat a start that an agent doesn't answer, although it answers with
// its lists.
const maxTimeToRepeat = 30 * time.Second

// mayStillSend reports whether a copy of the start of a run may be sent now.
func (s *stepper) mayStillSend(r notch.Run) bool {
	return s.leads() && r.SentBy() == s.leadership.Term && s.now.Before(r.SentSince().Add(maxTimeToSend))
}

// renewsPlacement proposes to renew the placement of a run, unless that has just been done.
func (s *stepper) renewsPlacement(ref notch.RunRef) {
	orders, _ := s.runOrders.Get(ref)
	if orders.renewedAt != 0 && s.now.Sub(orders.renewedAt) < s.timing.ReproposeInterval {
		return
	}
	orders.renewedAt = s.now
	s.runOrders = s.runOrders.Set(ref, orders)
	s.toRenew = append(s.toRenew, ref)
}

// proposeRenewals proposes the renewals of placements that were found due in this step.
func (s *stepper) proposeRenewals() {
	if len(s.toRenew) == 0 {
		return
	}
	s.count("placements-renewed", len(s.toRenew))
	s.propose(notch.PlaceRuns{Token: s.leadership.Term, Renewed: s.toRenew})
	s.toRenew = nil
}

// renewPlacements applies the renewal of placements. The leader that proposed it sends the starts.
func (s *stepper) renewPlacements(refs []notch.RunRef, token uint64, at notch.Time) {
	for _, ref := range refs {
		r, ok := s.run(ref)
		if !ok {
			continue
		}
		w, _ := s.workflows.Get(ref.Task.Flow)
		t, _ := w.Task(ref.Task)
		s.putWorkflow(w.WithTask(ref.Task, t.WithRenewed(ref.Number, token, at), at))
		load := s.load(r.Life.Agent).withRenewed(ref, s.now)
		s.loads = s.loads.Set(r.Life.Agent, &load)
		s.sendRenewed(ref)
	}
}

// sendRenewed sends the start of a run whose placement was renewed, if this leader proposed that and the agent still answers. The lists
// of the incarnation that answers lacked the run.
func (s *stepper) sendRenewed(ref notch.RunRef) {
	r, _ := s.run(ref)
	session, ok := s.session(r.Life.Agent)
	if !ok || !s.mayOrder() || !s.mayStillSend(r) || session.unanswered > 0 || session.lastAnsweredAt == 0 || !mayOvertakeAck(session) {
		return
	}
	orders, _ := s.runOrders.Get(ref)
	underWay := orders.startSentAt != 0 && orders.startOutcome != notch.AgentNoAnswer
	if underWay || orders.listed || orders.stopped || orders.proposedEnd != "" {
		return
	}
	if r.Life != session.incarnation && !s.wasAsked(session, ref) {
		return // the next list decides whether the incarnation may have it
	}
	a, _ := s.agent(r.Life.Agent)
	s.repeatsStart(session, a, ref, orders)
}
