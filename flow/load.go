package flow

import (
	"slices"

	notch "tamaracknotch"
)

// agentLoad describes the runs on an agent and what they occupy. Values are immutable.
type agentLoad struct {
	runs                  []agentRun      // of any incarnation of the agent, in the order of their placement
	reserved              notch.Resources // by all runs
	opportunisticMilliCPU int64           // declared by the opportunistic tasks
	serviceMilliCPU       int64           // reserved by the service tasks
	throttledMB           int64           // memory reserved by throttled tasks
	endedRuns             int             // number of runs that were removed
}

// agentRun is a run on an agent.
type agentRun struct {
	ref        notch.RunRef
	stage      *notch.Stage // never modified; of a throttled run, with the processors that it counts on
	throttled  bool
	superseded bool       // a later run of its task on the agent occupies the room of both, as only one of them can be live
	addedAt    notch.Time // when this replica applied the placement
	renewedAt  notch.Time // when this replica last applied a renewal of the placement; zero: never
}

// withRun returns l with one more run. It takes over the room of an earlier run of its task.
func (l agentLoad) withRun(r agentRun) agentLoad {
	if i := l.occupant(r.ref.Task); i >= 0 {
		l = l.withSuperseded(i, true)
	}
	l.runs = append(slices.Clip(l.runs), r)
	return l.plus(r, 1)
}

// withoutRun returns l without a run. Its room is left to the latest earlier run of its task that isn't known to have ended.
func (l agentLoad) withoutRun(ref notch.RunRef) agentLoad {
	i := l.index(ref)
	if i < 0 {
		return l
	}
	r := l.runs[i]
	l.runs = slices.Concat(l.runs[:i], l.runs[i+1:])
	l.endedRuns++
	if r.superseded {
		return l
	}
	l = l.plus(r, -1)
	if earlier := l.latestOf(ref.Task); earlier >= 0 {
		l = l.withSuperseded(earlier, false)
	}
	return l
}

// withSuperseded returns l after the run at an index has left its room to a later one, or has it back.
func (l agentLoad) withSuperseded(i int, superseded bool) agentLoad {
	sign := int64(1)
	if superseded {
		sign = -1
	}
	l.runs = slices.Clone(l.runs)
	l.runs[i].superseded = superseded
	return l.plus(l.runs[i], sign)
}

// latestOf returns the index of the latest run of a task, or -1.
func (l agentLoad) latestOf(task notch.TaskRef) int {
	latest := -1
	for i, r := range l.runs {
		if r.ref.Task == task && (latest < 0 || r.ref.Number > l.runs[latest].ref.Number) {
			latest = i
		}
	}
	return latest
}

// occupant returns the index of the run that occupies the room of a task, or -1 if the agent has none for it.
func (l agentLoad) occupant(task notch.TaskRef) int {
	return slices.IndexFunc(l.runs, func(r agentRun) bool { return r.ref.Task == task && !r.superseded })
}

// plus returns l with the amounts that a run occupies added, or subtracted if sign is -1.
func (l agentLoad) plus(r agentRun, sign int64) agentLoad {
	st := r.stage
	if r.throttled {
		l.throttledMB += sign * st.Size.MemoryMB
	}
	size := st.Reserved()
	l.reserved = l.reserved.Plus(notch.Resources{
		MilliCPU: sign * size.MilliCPU, MemoryMB: sign * size.MemoryMB, Accelerators: sign * size.Accelerators,
	})
	switch {
	case st.Fills:
		l.opportunisticMilliCPU += sign * st.Size.MilliCPU
	case st.Target > 0:
		l.serviceMilliCPU += sign * st.Size.MilliCPU
	}
	return l
}

// countGroup returns the number of tasks of a group with runs, which is identified by a TaskRef with
// Index 0.
func (l agentLoad) countGroup(group notch.TaskRef) int {
	n := 0
	for _, r := range l.runs {
		if !r.superseded && groupOf(r.ref.Task) == group {
			n++
		}
	}
	return n
}

// stageOf returns the stage of a run, or nil if the run isn't on the agent.
func (l agentLoad) stageOf(ref notch.RunRef) *notch.Stage {
	for i := range l.runs {
		if l.runs[i].ref == ref {
			return l.runs[i].stage
		}
	}
	return nil
}

// placedAt returns when this replica applied the placement of a run, or the latest renewal of it; zero if the run isn't on the
// agent.
func (l agentLoad) placedAt(ref notch.RunRef) notch.Time {
	i := l.index(ref)
	if i < 0 {
		return 0
	}
	return max(l.runs[i].addedAt, l.runs[i].renewedAt)
}

// withRenewed returns l after the placement of a run was renewed.
func (l agentLoad) withRenewed(ref notch.RunRef, at notch.Time) agentLoad {
	i := l.index(ref)
	if i < 0 {
		return l
	}
	l.runs = slices.Clone(l.runs)
	l.runs[i].renewedAt = at
	return l
}

// index returns the index of a run, or -1 if it isn't on the agent.
func (l agentLoad) index(ref notch.RunRef) int {
	return slices.IndexFunc(l.runs, func(r agentRun) bool { return r.ref == ref })
}

// hasServiceTask reports whether a service task runs on the agent.
func (l agentLoad) hasServiceTask() bool {
	return slices.ContainsFunc(l.runs, func(r agentRun) bool { return r.stage.Target > 0 })
}

// opportunisticRuns returns the runs of opportunistic tasks.
func (l agentLoad) opportunisticRuns() []notch.RunRef {
	var out []notch.RunRef
	for _, r := range l.runs {
		if r.stage.Fills && !r.superseded {
			out = append(out, r.ref)
		}
	}
	return out
}

// noLoad is the load of an agent that never had a run.
var noLoad = &agentLoad{}

// load returns the load of an agent.
func (p Part) load(agent string) *agentLoad {
	if l, ok := p.loads.Get(agent); ok {
		return l
	}
	return noLoad
}

// addRun records a run on its agent.
func (s *stepper) addRun(ref notch.RunRef, r notch.Run, st *notch.Stage) {
	if r.Throttled {
		throttled := st.Throttled()
		st = &throttled
	}
	l := s.load(r.Life.Agent).withRun(agentRun{ref: ref, stage: st, throttled: r.Throttled, addedAt: s.now})
	s.loads = s.loads.Set(r.Life.Agent, &l)
}

// removeRun removes a run from an agent.
func (s *stepper) removeRun(agent string, ref notch.RunRef) {
	l := s.load(agent).withoutRun(ref)
	s.loads = s.loads.Set(agent, &l)
}
