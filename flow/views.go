package flow

import (
	"slices"

	notch "tamaracknotch"
)

// agentViews shows a placer the agents of a pool that accept runs, with the placements of the
// current plan. It is used during one plan only.
type agentViews struct {
	s           *stepper
	agents      []notch.AgentView
	loads       []agentLoad                      // of the agents before the plan
	colocated   []bool                           // by agent; the view includes the images of service tasks and opportunistic tasks
	runsByStage map[notch.TaskRef]map[string]int // number of runs by stage and agent id; the Index of the stage is 0
	shortages   shortages
	stageRef    notch.TaskRef
	stage       notch.Stage
}

func (s *stepper) agentViewsOf(pool notch.Pool) *agentViews {
	v := &agentViews{s: s, runsByStage: map[notch.TaskRef]map[string]int{}}
	for it := s.sessions.Iterator(); !it.Done(); {
		id, session, _ := it.Next()
		a, ok := s.agents.Get(id)
		if ok && a.Pool == pool.Name && s.acceptsRuns(pool, a, session) {
			load, _ := s.loads.Get(id)
			v.agents = append(v.agents, agentViewOf(a, load))
			v.loads = append(v.loads, load)
		}
	}
	v.colocated = make([]bool, len(v.agents))
	return v
}

// acceptsRuns reports whether new runs may be placed on an agent.
func (s *stepper) acceptsRuns(pool notch.Pool, a notch.Agent, session agentSession) bool {
	if a.Draining || a.Left || session.incarnation != a.Incarnation() || pool.IsLeaving(a.ID, a.Host) {
		return false
	}
	return session.lastAnsweredAt != 0 && session.unanswered == 0 && !s.now.Before(session.noRunsBefore) && s.now.Sub(session.lastAnsweredAt) < s.timing.MaxSilence
}

// agentViewOf returns a view without the images of the tasks.
func agentViewOf(a notch.Agent, load agentLoad) notch.AgentView {
	return notch.AgentView{
		Agent: a, Free: a.Size.Minus(load.reserved),
		OpportunisticMilliCPU: load.opportunisticMilliCPU, ServiceMilliCPU: load.serviceMilliCPU,
	}
}

// addImages adds the service images on agent i to its view.
func (v *agentViews) addImages(i int) {
	v.colocated[i] = true
	view := &v.agents[i]
	view.ServiceImages = v.s.serviceImages(view.Agent.ID, v.loads[i])
	if len(view.ServiceImages) == 0 {
		return
	}
	for _, l := range declaredLoads(view.Agent, v.loads[i].runs) {
		v.takeHeadroom(view.ServiceImages, l)
	}
}

// takeHeadroom adds in place what one more load takes from each service image.
func (v *agentViews) takeHeadroom(services []notch.ServiceImage, l notch.OpportunisticLoad) {
	for i := range services {
		services[i].TakenHeadroom += v.s.colocationModel.InterferenceCoefficient(services[i].Image, l.Image) * l.CPUShare
	}
}

// declaredLoads returns the loads of the opportunistic tasks among runs, by image.
func declaredLoads(a notch.Agent, runs []agentRun) []notch.OpportunisticLoad {
	var out []notch.OpportunisticLoad
	for _, r := range runs {
		if r.stage.Fills {
			out = mergeLoad(out, declaredLoad(a, r.stage))
		}
	}
	return out
}

// declaredLoad returns the load of an opportunistic task.
func declaredLoad(a notch.Agent, st *notch.Stage) notch.OpportunisticLoad {
	return notch.OpportunisticLoad{Image: st.Image, CPUShare: cpuShare(a, st.Size.MilliCPU)}
}

// setStage sets the stage whose tasks are placed next.
func (v *agentViews) setStage(stage notch.TaskRef, st notch.Stage) {
	v.stageRef, v.stage = stage, st
	if st.PerAgent > 0 && v.runsByStage[stage] == nil {
		v.runsByStage[stage] = v.s.countRunsByAgent(stage)
	}
}

// countRunsByAgent counts the runs of a round's stage on each agent.
func (s *stepper) countRunsByAgent(stage notch.TaskRef) map[string]int {
	out := map[string]int{}
	w, ok := s.workflows.Get(stage.Flow)
	if !ok {
		return out
	}
	for _, t := range w.Tasks[w.GroupIndex(stage.Round, stage.Stage)] {
		for _, r := range t.Runs {
			out[r.Life.Agent]++
		}
	}
	return out
}

// Len implements [notch.AgentViews].
func (v *agentViews) Len() int { return len(v.agents) }

// At implements [notch.AgentViews].
func (v *agentViews) At(i int) (*notch.AgentView, bool) {
	if !v.colocated[i] && (v.stage.Fills || v.stage.Target > 0) {
		v.addImages(i)
	}
	view := &v.agents[i]
	if v.stage.Label != "" && !slices.Contains(view.Agent.Labels, v.stage.Label) {
		return view, false
	}
	if v.stage.PerAgent > 0 && v.runsByStage[v.stageRef][view.Agent.ID] >= v.stage.PerAgent {
		return view, false
	}
	return view, true
}

// assign adds a task of the current stage to agent i and returns the agent's incarnation.
func (v *agentViews) assign(i int) notch.AgentIncarnation {
	view := &v.agents[i]
	view.Free = view.Free.Minus(v.stage.Reserved())
	switch {
	case v.stage.Fills:
		view.OpportunisticMilliCPU += v.stage.Size.MilliCPU
		v.takeHeadroom(view.ServiceImages, declaredLoad(view.Agent, &v.stage))
	case v.stage.Target > 0:
		view.ServiceMilliCPU += v.stage.Size.MilliCPU
	}
	if v.stage.Target > 0 {
		view.ServiceImages = mergeServiceImage(slices.Clone(view.ServiceImages), notch.ServiceImage{Image: v.stage.Image})
	}
	if v.stage.PerAgent > 0 {
		v.runsByStage[v.stageRef][view.Agent.ID]++
	}
	return view.Agent.Incarnation()
}

// addShortage remembers that one more task of the current stage fits on no agent, unless the
// agents were refused for another reason than their free resources and headroom.
func (v *agentViews) addShortage(scores notch.AgentScores) {
	if v.stage.PerAgent == 0 && !scores.HasCapacity() {
		v.shortages = v.shortages.with(shortageOf(v.stage))
	}
}
