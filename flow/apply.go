package flow

import (
	"fmt"
	"slices"

	notch "tamaracknotch"
	"tamaracknotch/graph"
)

// The limits of a job.
const (
	MaxTasks  = 20_000 // over all rounds and stages
	MaxStages = 256
	MaxSpec   = 64 << 10 // bytes
	MaxID     = 128      // bytes
)

func (s *stepper) apply(e notch.Entry) {
	var r notch.Result = notch.Done{}
	switch c := e.Command.(type) {
	case notch.SubmitFlow:
		r = s.submit(c.Flow, e.At)
	case notch.CancelFlow:
		r = s.cancel(c.ID, e.At)
	case notch.AdmitAgent:
		s.admit(c.Agent)
	case notch.PlaceRuns:
		s.placeAll(c, e.At)
	case notch.EndRuns:
		s.endAll(c, e.At)
	default:
		return
	}
	s.dirty = true
	s.emit(notch.Applied{Origin: e.Origin, Ticket: e.Ticket, Result: r})
}

// submit adds a job. A job that is known already is accepted without effect.
func (s *stepper) submit(f notch.Flow, at notch.Time) notch.FlowResult {
	if _, ok := s.jobs.Get(f.ID); ok {
		return notch.FlowResult{ID: f.ID, Outcome: notch.FlowAccepted}
	}
	route, ok := s.tables.Route(f.Route)
	if !ok {
		return notch.FlowResult{ID: f.ID, Outcome: notch.FlowNoRoute, Reason: fmt.Sprintf("there is no route %q", f.Route)}
	}
	if reason := unsound(f); reason != "" {
		return notch.FlowResult{ID: f.ID, Outcome: notch.FlowInvalid, Reason: reason}
	}
	s.forgetEnded(at)
	f.Pool, f.Terms = route.Pool, route
	s.putJob(graph.New(f, at))
	s.count("flows-accepted", 1)
	return notch.FlowResult{ID: f.ID, Outcome: notch.FlowAccepted}
}

// unsound returns why a job breaks a rule.
func unsound(f notch.Flow) string {
	switch {
	case f.ID == "" || len(f.ID) > MaxID:
		return fmt.Sprintf("the id must have 1 to %d bytes", MaxID)
	case len(f.Spec) > MaxSpec:
		return fmt.Sprintf("the specification must have at most %d bytes", MaxSpec)
	case len(f.Stages) < 1 || len(f.Stages) > MaxStages:
		return fmt.Sprintf("there must be 1 to %d stages", MaxStages)
	case f.Rounds < 0 || f.Every < 0:
		return "rounds and their distance must not be negative"
	}
	tasks := 0
	for i, st := range f.Stages {
		if st.Count < 1 {
			return fmt.Sprintf("stage %d has no tasks", i)
		}
		if !st.Size.Valid() {
			return fmt.Sprintf("stage %d asks for a negative size", i)
		}
		if slices.ContainsFunc(st.After, func(a int) bool { return a < 0 || a >= i }) {
			return fmt.Sprintf("stage %d waits for a stage that doesn't come before it", i)
		}
		tasks += st.Count * f.RoundCount()
	}
	if tasks > MaxTasks {
		return fmt.Sprintf("there are %d tasks, at most %d are allowed", tasks, MaxTasks)
	}
	return ""
}

func (s *stepper) cancel(id string, at notch.Time) notch.FlowResult {
	j, ok := s.jobs.Get(id)
	if !ok {
		return notch.FlowResult{ID: id, Outcome: notch.FlowUnknown}
	}
	next := j.WithCancel(at)
	s.putJob(next)
	s.stopUnwanted(next)
	return notch.FlowResult{ID: id, Outcome: notch.FlowAccepted}
}

// putJob replaces a job and what is derived from it.
func (s *stepper) putJob(j *graph.Job) {
	id := j.Flow.ID
	old, known := s.jobs.Get(id)
	s.jobs = s.jobs.Set(id, j)
	if j.State.Ended() && (!known || !old.State.Ended()) {
		s.ended = s.ended.Append(id)
		s.count("flows-"+string(j.State), 1)
	}
	if j.State.Ended() && j.Live() == 0 {
		s.forgetTails(old)
		s.open = s.open.Delete(id)
		return
	}
	if !known {
		s.open = s.open.Set(id, j.At)
	}
}

// forgetTails drops what was learnt of the tails of a job that is over.
func (s *stepper) forgetTails(j *graph.Job) {
	if j == nil {
		return
	}
	for i, st := range j.Flow.Stages {
		if st.Target > 0 {
			s.interplay = s.interplay.WithoutGroup(notch.TaskRef{Flow: j.Flow.ID, Stage: i})
		}
	}
}

// forgetEnded drops jobs that ended long ago. It depends on the entry's time alone,
// so that all replicas agree.
func (s *stepper) forgetEnded(at notch.Time) {
	for s.ended.Len() > 0 {
		id := s.ended.Get(0)
		if j, ok := s.jobs.Get(id); ok && (at.Sub(j.Ended) < s.timing.Keep || j.Live() > 0) {
			return
		}
		s.jobs = s.jobs.Delete(id)
		s.ended = s.ended.Slice(1, s.ended.Len())
	}
}

// admit takes an agent's word. A life that has left, or is older than the one
// known, says nothing; whoever drains goes on draining.
func (s *stepper) admit(a notch.Agent) {
	old, ok := s.agents.Get(a.ID)
	if a.Left {
		// A goodbye says nothing else, and may leave out which life it is of.
		if !ok || a.Born != 0 && a.Born != old.Born {
			return
		}
		old.Left, old.Draining = true, true
		a = old
	} else if ok && (old.Born > a.Born || old.Born == a.Born && old.Left) {
		return
	}
	if ok && old.Born == a.Born {
		a.Draining = a.Draining || old.Draining
	}
	s.agents = s.agents.Set(a.ID, a)
	if !ok || old.Born != a.Born {
		s.meet(a, s.now)
	}
	if c, known := s.contacts.Get(a.ID); known && a.Left {
		c.leftAt = s.now
		s.contacts = s.contacts.Set(a.ID, c)
	}
}

func (s *stepper) placeAll(c notch.PlaceRuns, at notch.Time) {
	s.placing = 0
	for _, pl := range c.Placements {
		j, ok := s.jobs.Get(pl.Task.Flow)
		if !ok {
			continue
		}
		t, ok := j.Task(pl.Task)
		a, known := s.agents.Get(pl.Life.Agent)
		if !ok || !known || a.Life() != pl.Life || a.Left || t.Latest != pl.After || !j.Wanted(t) {
			continue
		}
		r := notch.Run{Number: t.Latest + 1, Life: pl.Life, Token: c.Token, Since: at}
		s.putJob(j.WithTask(pl.Task, t.WithRun(r), at))
		ref := notch.RunRef{Task: pl.Task, Number: r.Number}
		s.occupy(a.ID, ref, j.Flow.Stages[pl.Task.Stage])
		s.startRun(a, j.Flow.Spec, ref, r, t.Saved)
	}
	s.count("runs-placed", len(c.Placements))
}

// occupy notes a run on an agent.
func (s *stepper) occupy(agent string, ref notch.RunRef, st notch.Stage) {
	runs, _ := s.runs.Get(agent)
	s.runs = s.runs.Set(agent, append(slices.Clip(runs), ref))
	s.reserve(agent, st, 1)
}

// vacate undoes occupy.
func (s *stepper) vacate(agent string, ref notch.RunRef, st notch.Stage) {
	runs, _ := s.runs.Get(agent)
	s.runs = s.runs.Set(agent, slices.DeleteFunc(slices.Clone(runs), func(r notch.RunRef) bool { return r == ref }))
	s.reserve(agent, st, -1)
}

func (s *stepper) reserve(agent string, st notch.Stage, sign int64) {
	size := st.Reserved()
	used, _ := s.used.Get(agent)
	s.used = s.used.Set(agent, used.Plus(notch.Resources{
		MilliCPU: sign * size.MilliCPU, MemoryMB: sign * size.MemoryMB, Accelerators: sign * size.Accelerators,
	}))
	if st.Fills {
		fills, _ := s.fills.Get(agent)
		s.fills = s.fills.Set(agent, fills+sign*st.Size.MilliCPU)
	}
}

func (s *stepper) endAll(c notch.EndRuns, at notch.Time) {
	for _, e := range c.Ends {
		s.end(c.Life, e, at)
	}
	s.acknowledged(c)
}

// end takes one end. An end of a run that isn't known to go on changes nothing, unless it
// shows that the run got done: else it was taken before.
func (s *stepper) end(life notch.Life, e notch.RunEnd, at notch.Time) {
	j, ok := s.jobs.Get(e.Run.Task.Flow)
	if !ok {
		return
	}
	t, ok := j.Task(e.Run.Task)
	if !ok {
		return
	}
	st := j.Flow.Stages[e.Run.Task.Stage]
	if s.doneAfterAll(e) {
		s.putJob(j.WithTask(e.Run.Task, s.taskAfter(j, st, t, e, at), at))
		s.count("runs-done-after-all", 1)
		return
	}
	r, ok := t.Run(e.Run.Number)
	if !ok || r.Life.Agent != life.Agent {
		return
	}
	s.vacate(life.Agent, e.Run, st)
	s.starts = s.starts.Delete(e.Run)
	s.paces = s.paces.Delete(e.Run)
	next := j.WithTask(e.Run.Task, s.taskAfter(j, st, t.WithoutRun(r.Number), e, at), at)
	s.putJob(next)
	s.count("runs-"+string(e.Kind), 1)
	if next.State.Ended() || e.Kind == notch.RunDone {
		s.stopUnwanted(next)
	}
}

// taskAfter returns a task after the end of one of its runs, which is gone from it.
func (s *stepper) taskAfter(j *graph.Job, st notch.Stage, t notch.FlowTask, e notch.RunEnd, at notch.Time) notch.FlowTask {
	t.Idle = at
	if t.State != notch.TaskOpen {
		return t
	}
	if e.Saved != "" {
		t.Saved = e.Saved
	}
	switch e.Kind {
	case notch.RunDone:
		if !st.Lasts {
			t.State = notch.TaskDone
		}
	case notch.RunFailed:
		t.Failures++
		if !st.Lasts && t.Failures >= s.attempts(j) {
			t.State = notch.TaskFailed
		}
	}
	return t
}

// attempts returns how often a task of the job may fail.
func (s *stepper) attempts(j *graph.Job) int {
	return max(1, s.terms(j).Attempts)
}

// terms returns the job's route as it stands, or stood when the job was accepted.
func (s *stepper) terms(j *graph.Job) notch.Route {
	if route, ok := s.tables.Route(j.Flow.Route); ok {
		return route
	}
	return j.Flow.Terms
}
