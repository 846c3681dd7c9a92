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
	ref       notch.RunRef
	stage     *notch.Stage // never modified; of a throttled run, with the processors that it counts on
	throttled bool
	addedAt   notch.Time // when this replica applied the placement
	renewedAt notch.Time // when this replica last applied a renewal of the placement; zero: never
}

// withRun returns l with one more run.
func (l agentLoad) withRun(r agentRun) agentLoad {
	l.runs = append(slices.Clip(l.runs), r)
	if r.throttled {
		l.throttledMB += r.stage.Size.MemoryMB
	}
	return l.plus(r.stage, 1)
}

// withoutRun returns l without a run.
func (l agentLoad) withoutRun(ref notch.RunRef) agentLoad {
	i := l.index(ref)
	if i < 0 {
		return l
	}
	r := l.runs[i]
	l.runs = slices.Concat(l.runs[:i], l.runs[i+1:])
	l.endedRuns++
	if r.throttled {
		l.throttledMB -= r.stage.Size.MemoryMB
	}
	return l.plus(r.stage, -1)
}

// plus returns l with the amounts that a task of the stage occupies added, or subtracted if sign is -1.
func (l agentLoad) plus(st *notch.Stage, sign int64) agentLoad {
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

// countGroup returns the number of runs of tasks of a group, which is identified by a TaskRef with
// Index 0.
func (l agentLoad) countGroup(group notch.TaskRef) int {
	n := 0
	for _, r := range l.runs {
		if groupOf(r.ref.Task) == group {
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
		if r.stage.Fills {
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
