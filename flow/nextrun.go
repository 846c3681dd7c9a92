package flow

import (
	notch "tamaracknotch"
	"tamaracknotch/graph"
)

// placeNextHere places the next run of a task on the agent of a run that the present incarnation of the agent won't carry out,
// as it has refused the run or has seen a higher token, but a later one may. The run is kept until no copy of its start can be late, so that the task isn't placed
// elsewhere, also by a later leader. On the same agent the next run does no harm: if a later incarnation comes, the next run
// has ended with the present one. This is for a number that the agent refuses; while it doesn't, its start is repeated, as
// one number is carried out once.
func (s *stepper) placeNextHere(session agentSession, a notch.Agent, ref notch.RunRef, r notch.Run) {
	orders, _ := s.runOrders.Get(ref)
	w, ok := s.workflows.Get(ref.Task.Flow)
	if !ok || !s.mayOrder() {
		return
	}
	t, _ := w.Task(ref.Task)
	if !w.MayRun(t) || s.heldBack(t) || !isLatestLive(t, r) || !s.takesNext(session, a, w, ref) {
		return
	}
	proposed := orders.nextProposedAt != 0
	if proposed && (s.now.Sub(orders.nextProposedAt) < s.timing.ReproposeInterval || t.Failures > orders.nextFailures) {
		return // a task that has failed here may do better elsewhere
	}
	orders.nextProposedAt, orders.nextFailures = s.now, t.Failures
	s.runOrders = s.runOrders.Set(ref, orders)
	// An incarnation that carries out the next run refuses the copies of this one.
	s.putSession(a.ID, s.withRaisedToken(session))
	s.logMessage("the next run goes to the agent of a run that can't start there any more, but may on its next incarnation",
		append(runFields(ref, a.ID, string(orders.startOutcome)), s.proofFields(session, ref)...)...)
	s.count("runs-placed-again", 1)
	s.propose(notch.PlaceRuns{Token: s.leadership.Term, Placements: []notch.RunPlacement{
		{Task: ref.Task, After: t.Latest, Life: session.incarnation, Throttled: r.Throttled},
	}})
}

// isLatestLive reports whether no later run of a task is live, and none on another agent.
func isLatestLive(t notch.WorkflowTask, r notch.Run) bool {
	for _, other := range t.Runs {
		if other.Number > r.Number || other.Life.Agent != r.Life.Agent {
			return false
		}
	}
	return true
}

// takesNext reports whether an agent may have the next run of the task of a run, in the room that this one occupies.
func (s *stepper) takesNext(session agentSession, a notch.Agent, w *graph.Workflow, ref notch.RunRef) bool {
	present := a.Incarnation() == session.incarnation && !a.Draining && !a.Left && !a.Unannounced && !session.hasStrays
	return present && s.takes(a, w, ref) && s.stillFits(a, ref)
}

// takes reports whether an agent takes the task of a run.
func (s *stepper) takes(a notch.Agent, w *graph.Workflow, ref notch.RunRef) bool {
	return a.Pool == s.poolOf(w).Name && takesLabel(a, w.Stage(ref.Task.Stage).Label)
}

// isSuperseded reports whether a later run of the task of a run was placed on the agent.
func (s *stepper) isSuperseded(agent string, ref notch.RunRef) bool {
	for _, r := range s.load(agent).runs {
		if r.ref == ref {
			return r.superseded
		}
	}
	return false
}
