package flow

import notch "tamaracknotch"

// recordLocated proposes to record that a long-running run was started by the incarnation that it was placed on, so that a
// later leader doesn't wait for a late start of it if its agent is lost. One that was started by a copy may have another
// copy under way.
func (s *stepper) recordLocated(ref notch.RunRef, r notch.Run, orders runOrders) {
	if s.stageOf(ref).Lasts && s.placedHere(r) && orders.startSentAt != 0 && orders.repeats == 0 && orders.askedOf == (notch.AgentIncarnation{}) {
		s.propose(notch.EndRuns{Life: r.Life, Located: []notch.RunRef{ref}})
	}
}

// applyLocated applies the record that a run was located.
func (s *stepper) applyLocated(ref notch.RunRef, at notch.Time) {
	w, ok := s.workflows.Get(ref.Task.Flow)
	if !ok {
		return
	}
	t, ok := w.Task(ref.Task)
	if _, live := t.Run(ref.Number); ok && live {
		s.putWorkflow(w.WithTask(ref.Task, t.WithLocated(ref.Number), at))
	}
}
