package flow

import (
	"slices"

	notch "tamaracknotch"
)

// views shows the agents of a pool that take work to a placer, with what the present
// plan has already assigned. It lives during one plan only.
type views struct {
	s     *stepper
	list  []notch.AgentView
	same  map[notch.TaskRef]map[string]int // runs by stage and agent; the stage's Index is 0
	asked notch.TaskRef
	stage notch.Stage
}

func (s *stepper) viewsOf(pool notch.Pool) *views {
	v := &views{s: s, same: map[notch.TaskRef]map[string]int{}}
	for it := s.contacts.Iterator(); !it.Done(); {
		id, c, _ := it.Next()
		a, ok := s.agents.Get(id)
		if ok && a.Pool == pool.Name && s.takesWork(pool, a, c) {
			v.list = append(v.list, s.viewOf(a))
		}
	}
	return v
}

// takesWork reports whether new runs may be placed on an agent.
func (s *stepper) takesWork(pool notch.Pool, a notch.Agent, c contact) bool {
	if a.Draining || a.Left || c.life != a.Life() || pool.IsLeaving(a.ID, a.Host) {
		return false
	}
	return c.heard != 0 && c.silent == 0 && !s.now.Before(c.paused) && s.now.Sub(c.heard) < s.timing.Fresh
}

func (s *stepper) viewOf(a notch.Agent) notch.AgentView {
	used, _ := s.used.Get(a.ID)
	fills, _ := s.fills.Get(a.ID)
	view := notch.AgentView{Agent: a, Free: a.Size.Minus(used), Filling: fills, Served: s.served(a.ID)}
	refs, _ := s.runs.Get(a.ID)
	for _, ref := range refs {
		view = withTask(view, s.stageIs(ref))
	}
	return view
}

// withTask returns a view with the load of one more task.
func withTask(v notch.AgentView, st notch.Stage) notch.AgentView {
	switch {
	case st.Fills:
		v.Filled = append(slices.Clip(v.Filled), notch.Load{Image: st.Image, Share: shareOf(v.Agent, st.Size.MilliCPU)})
	case st.Target > 0:
		v.Serving += st.Size.MilliCPU
	}
	return v
}

// ask sets what the next calls are about.
func (v *views) ask(stage notch.TaskRef, st notch.Stage) {
	v.asked, v.stage = stage, st
	if st.PerAgent > 0 && v.same[stage] == nil {
		v.same[stage] = v.s.runsByAgent(stage)
	}
}

// runsByAgent counts the runs of a round's stage on each agent.
func (s *stepper) runsByAgent(stage notch.TaskRef) map[string]int {
	out := map[string]int{}
	j, ok := s.jobs.Get(stage.Flow)
	if !ok {
		return out
	}
	for _, t := range j.Tasks[j.Group(stage.Round, stage.Stage)] {
		for _, r := range t.Runs {
			out[r.Life.Agent]++
		}
	}
	return out
}

// Len implements [notch.AgentViews].
func (v *views) Len() int { return len(v.list) }

// At implements [notch.AgentViews].
func (v *views) At(i int) (notch.AgentView, bool) {
	view := v.list[i]
	if v.stage.Label != "" && !slices.Contains(view.Agent.Labels, v.stage.Label) {
		return view, false
	}
	if v.stage.PerAgent > 0 {
		view.Same = v.same[v.asked][view.Agent.ID]
		if view.Same >= v.stage.PerAgent {
			return view, false
		}
	}
	return view, true
}

// take assigns a task of the stage asked about to agent i.
func (v *views) take(i int) notch.Life {
	view := &v.list[i]
	view.Free = view.Free.Minus(v.stage.Reserved())
	if v.stage.Fills {
		view.Filling += v.stage.Size.MilliCPU
	}
	*view = withTask(*view, v.stage)
	if v.stage.Target > 0 {
		view.Served = withServed(slices.Clone(view.Served), notch.Served{Image: v.stage.Image})
	}
	if v.stage.PerAgent > 0 {
		v.same[v.asked][view.Agent.ID]++
	}
	return view.Agent.Life()
}
