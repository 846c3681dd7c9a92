package flow

import (
	"time"

	notch "tamaracknotch"
)

// held takes the answer to a hold.
func (s *stepper) held(c contact, b notch.AgentAnswered) {
	c.asked = 0
	a, _ := s.agents.Get(c.life.Agent)
	switch {
	case b.Answer.Kind == notch.AgentOther:
		c.silent++
		c.due = s.now.Add(s.timing.Retry)
		a.Left = true
		s.propose(notch.AdmitAgent{Agent: a})
	case b.Answer.Kind != notch.AgentOK:
		c.silent++
		c.due = s.now.Add(s.timing.Retry * time.Duration(min(c.silent, maxBackoff)))
	case b.Answer.Born != 0 && b.Answer.Born > c.life.Born:
		c.due = s.now.Add(s.timing.Retry)
		a.Born, a.Draining, a.Left = b.Answer.Born, false, false
		s.propose(notch.AdmitAgent{Agent: a})
	default:
		s.lists(c, a, b)
		return
	}
	s.contacts = s.contacts.Set(c.life.Agent, c)
}

// maxBackoff bounds the growth of the pause between calls to a silent agent, in
// units of Timing.Retry.
const maxBackoff = 6

// lists takes what an agent says of its runs.
func (s *stepper) lists(c contact, a notch.Agent, b notch.AgentAnswered) {
	if c.heard == 0 {
		s.dirty = true
	}
	c.silent, c.heard = 0, s.now
	ends, upTo := s.newEnds(c, b.Answer.Ends)
	ends = append(ends, s.missing(c, a, b)...)
	for _, l := range b.Answer.Live {
		s.live(c, a, l)
	}
	s.relieve(a, b.Answer.Live)
	s.evacuate(a, b.Answer.Live)
	switch {
	case len(ends) > 0:
		c.listed = upTo
		c.due = s.now.Add(s.timing.Repropose)
		s.propose(notch.EndRuns{Life: c.life, Ends: ends, UpTo: upTo})
	case upTo > c.acked:
		c.listed, c.acked = upTo, upTo
	}
	s.contacts = s.contacts.Set(a.ID, c)
	if len(ends) == 0 {
		s.hold(a.ID)
	}
}

// evacuate moves off a draining agent what would be cut when it leaves and loses
// nothing by a move: tasks that last, and those that save their progress.
func (s *stepper) evacuate(a notch.Agent, live []notch.LiveRun) {
	if !a.Draining || a.Left {
		return
	}
	for _, l := range live {
		if st := s.stageIs(l.Run); st.Lasts || st.Saves {
			s.stopRun(a, l.Run)
			s.count("runs-evacuated", 1)
		}
	}
}

// newEnds returns the listed ends that concern runs which aren't known to have ended. An
// end that was proposed before is among them as long as it isn't committed: the leader may
// lose the lead before it is, so that it mustn't be acknowledged.
func (s *stepper) newEnds(c contact, listed []notch.ListedEnd) ([]notch.RunEnd, uint64) {
	upTo := c.acked
	var out []notch.RunEnd
	for _, l := range listed {
		if l.N <= c.acked {
			continue
		}
		upTo = max(upTo, l.N)
		if _, ok := s.run(l.End.Run); ok || s.doneAfterAll(l.End) {
			out = append(out, l.End)
		}
	}
	return out, upTo
}

// doneAfterAll reports whether an end shows that a run was given up which got done, and
// no other run of its task was placed since.
func (s *stepper) doneAfterAll(e notch.RunEnd) bool {
	j, ok := s.jobs.Get(e.Run.Task.Flow)
	if !ok || e.Kind != notch.RunDone {
		return false
	}
	t, ok := j.Task(e.Run.Task)
	return ok && j.Wanted(t) && len(t.Runs) == 0 && t.Latest == e.Run.Number
}

// run returns a run that isn't known to have ended.
func (s *stepper) run(ref notch.RunRef) (notch.Run, bool) {
	j, ok := s.jobs.Get(ref.Task.Flow)
	if !ok {
		return notch.Run{}, false
	}
	t, ok := j.Task(ref.Task)
	if !ok {
		return notch.Run{}, false
	}
	return t.Run(ref.Number)
}

// missing returns the ends of runs that an agent's lists don't hold although they
// would if the runs went on or could still begin. For the others it takes the next
// step towards knowing.
func (s *stepper) missing(c contact, a notch.Agent, b notch.AgentAnswered) []notch.RunEnd {
	if b.Answer.Partial {
		return nil
	}
	listed := map[notch.RunRef]bool{}
	for _, l := range b.Answer.Live {
		listed[l.Run] = true
	}
	for _, e := range b.Answer.Ends {
		listed[e.End.Run] = true
	}
	var out []notch.RunEnd
	refs, _ := s.runs.Get(a.ID)
	for _, ref := range refs {
		r, ok := s.run(ref)
		if !ok || listed[ref] {
			continue
		}
		if kind, over := s.absent(c, a, ref, r, b.SentAt); over {
			out = append(out, notch.RunEnd{Run: ref, Kind: kind})
			s.notice("run given up: its agent doesn't list it", runFields(ref, a.ID, string(kind))...)
		}
	}
	return out
}

// absent decides about a run that the lists asked for at the instant asked lack.
func (s *stepper) absent(c contact, a notch.Agent, ref notch.RunRef, r notch.Run, asked notch.Time) (notch.RunEndKind, bool) {
	if r.Token < s.leading.Term {
		// The agent has seen this leader's token: an older start can't take effect.
		return notch.RunNever, true
	}
	if r.Life != c.life {
		return notch.RunLost, true // likewise, by the token of the new life
	}
	st, _ := s.starts.Get(ref)
	switch {
	case st.outcome == notch.AgentOK && !asked.Before(st.done):
		return notch.RunLost, true
	case st.outcome != notch.AgentSilent:
		return "", false // not answered yet, or about to be given up
	case st.stopped != 0 && !asked.Before(st.stopped):
		return notch.RunNever, true
	case !asked.Before(st.done):
		s.stopRun(a, ref)
	}
	return "", false
}

// live takes an agent's word about a run that goes on.
func (s *stepper) live(c contact, a notch.Agent, l notch.LiveRun) {
	j, ok := s.jobs.Get(l.Run.Task.Flow)
	if !ok {
		s.stopRun(a, l.Run)
		return
	}
	t, _ := j.Task(l.Run.Task)
	r, ok := t.Run(l.Run.Number)
	if !ok || r.Life != c.life || !j.Wanted(t) {
		s.stopRun(a, l.Run)
	}
}

// acknowledged goes on with an agent whose ends were committed.
func (s *stepper) acknowledged(c notch.EndRuns) {
	k, ok := s.contacts.Get(c.Life.Agent)
	if !ok || k.life != c.Life || c.UpTo <= k.acked {
		return
	}
	k.acked = c.UpTo
	k.listed = max(k.listed, c.UpTo)
	s.contacts = s.contacts.Set(c.Life.Agent, k)
	s.hold(c.Life.Agent)
}
