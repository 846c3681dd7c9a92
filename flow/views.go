package flow

import (
	"maps"
	"slices"

	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// agentViews shows a placer the agents of a pool that accept runs, with the placements of the
// current plan. It is used during one plan only.
type agentViews struct {
	s           *stepper
	plan        uint64                           // number of the current plan
	agents      []viewedAgent                    // by id
	latestGains agentGains                       // of any agent
	runsByStage map[notch.TaskRef]map[string]int // number of runs by stage and agent id; the Index of the stage is 0
	shortages   map[demandKind]shortages

	freeMilliCPU  int64 // of all agents
	totalMilliCPU int64

	stageRef   notch.TaskRef
	stage      notch.Stage
	candidates candidates // for the stage
	narrow     bool       // the placer sees only candidates.first
	limitHit   bool       // only the stage's limit of runs may have kept its tasks from an agent
	examined   int        // number of times that the placer examined an agent
	withImages int        // number of agents whose images were added to their views

	throttled bool // the tasks of the stage are placed throttled

	apart bool // the placer sees only agents without suspected tasks on probation

	avoidedBy *notch.WorkflowTask // the placer sees only agents that haven't crashed under this task; nil: all
}

// viewedAgent is an agent as the current plan has left it.
type viewedAgent struct {
	memory       *agentMemory
	view         *notch.AgentView // that of the memory, unless it is owned
	owned        bool             // the view belongs to this plan, which may modify it
	hasImages    bool             // the view includes the images of its service tasks
	hostsSuspect bool             // this plan placed a suspected task on it
	throttledMB  int64            // memory of the throttled tasks that this plan placed on it
}

// candidates are the agents that have gained something since a plan in which a demand fitted on no
// agent.
type candidates struct {
	lackedAt      uint64 // number of that plan; 0: the demand is new
	opportunistic bool
	agents        []int // indexes, ascending
	first         []int // those that are looked at first, ascending; nil: all
}

// maxFirstCandidates is how many agents of a large pool a plan looks at first. Among as many there are good
// ones for any task, and a plan that scored all of them for each group would take most of the control
// thread.
const maxFirstCandidates = 500

// agentViewsOf returns the views of a pool's agents for the current plan.
func (s *stepper) agentViewsOf(pool notch.Pool) *agentViews {
	remembered := s.planMemory.pools[pool.Name]
	v := &agentViews{s: s, plan: s.planMemory.plan + 1, runsByStage: map[notch.TaskRef]map[string]int{}, shortages: maps.Clone(remembered.shortages)}
	if v.shortages == nil {
		v.shortages = map[demandKind]shortages{}
	}
	v.agents = make([]viewedAgent, 0, len(remembered.agents))
	memories := remembered.agents
	for it, agents := s.sessions.Iterator(), s.agents.Iterator(); !it.Done(); {
		id, session, _ := it.Next()
		a := seek(agents, id)
		if a == nil || a.Pool != pool.Name || !s.acceptsRuns(pool, a, session) {
			continue
		}
		var before *agentMemory
		before, memories = nextMemory(memories, id)
		v.add(newAgentMemory(before, a, session, s.load(id), v.plan))
	}
	return v
}

// seek advances an iterator to an id and past it. It returns nil if there is no such agent.
func seek(agents *immutable.SortedMapIterator[string, *notch.Agent], id string) *notch.Agent {
	for !agents.Done() {
		switch next, a, _ := agents.Next(); {
		case next == id:
			return a
		case next > id:
			agents.Seek(next)
			return nil
		}
	}
	return nil
}

// add adds the view of an agent.
func (v *agentViews) add(m *agentMemory) {
	v.agents = append(v.agents, viewedAgent{memory: m, view: m.view})
	v.latestGains = v.latestGains.latest(m.agentGains)
	v.freeMilliCPU += m.view.Free.MilliCPU
	v.totalMilliCPU += m.agent.Size.MilliCPU
}

// ownView returns the view of agent i, which the plan may modify.
func (v *agentViews) ownView(i int) *notch.AgentView {
	a := &v.agents[i]
	if !a.owned {
		view := *a.view
		a.view, a.owned = &view, true
	}
	return a.view
}

// remembered returns what the next plan may know about the pool. It omits the shortages of kinds
// that no group asked for, unless the plan left groups out that may ask for them.
func (v *agentViews) remembered(incomplete bool) poolMemory {
	maps.DeleteFunc(v.shortages, func(k demandKind, l shortages) bool {
		return l.lookedAt < v.plan && (!incomplete || !v.mayAskFor(k))
	})
	m := poolMemory{agents: make([]*agentMemory, len(v.agents)), shortages: v.shortages}
	for i, a := range v.agents {
		m.agents[i] = a.memory
	}
	return m
}

// mayAskFor reports whether a group that waits may ask for a kind of demand.
func (v *agentViews) mayAskFor(k demandKind) bool {
	if k.limited == (notch.TaskRef{}) {
		return true
	}
	_, ok := v.s.waiting.Get(k.limited.Flow)
	return ok
}

// acceptsRuns reports whether new runs may be placed on an agent.
func (s *stepper) acceptsRuns(pool notch.Pool, a *notch.Agent, session *agentSession) bool {
	if a.Draining || a.Left || a.Unannounced || session.incarnation != a.Incarnation() || pool.IsLeaving(a.ID, a.Host) {
		return false
	}
	return session.lastAnsweredAt != 0 && session.unanswered == 0 && !session.succeeded && !session.hasStrays && !s.now.Before(session.noRunsBefore) && s.now.Sub(session.lastAnsweredAt) < s.maxSilence(*session)
}

// agentViewOf returns a view without the images of the tasks.
func agentViewOf(a notch.Agent, load *agentLoad) *notch.AgentView {
	return &notch.AgentView{
		Agent: a, Free: a.Size.Minus(load.reserved),
		OpportunisticMilliCPU: load.opportunisticMilliCPU, ServiceMilliCPU: load.serviceMilliCPU,
	}
}

// addImages adds the service images on agent i to its view.
func (v *agentViews) addImages(i int) {
	a := &v.agents[i]
	a.hasImages = true
	if !a.memory.load.hasServiceTask() {
		return
	}
	if a.memory.images == nil {
		a.memory = a.memory.withImages(v.imagesOf(a.memory))
		v.withImages++
	}
	v.ownView(i).ServiceImages = a.memory.images
}

// imagesOf returns the service images on an agent, less the headroom that its opportunistic tasks take.
func (v *agentViews) imagesOf(m *agentMemory) []notch.ServiceImage {
	out := v.s.serviceImages(m.agent.ID, m.load)
	for _, l := range declaredLoads(*m.agent, m.load.runs) {
		v.takeHeadroom(out, l)
	}
	return out
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
		if r.stage.Fills && !r.superseded {
			out = mergeLoad(out, declaredLoad(a, r.stage))
		}
	}
	return out
}

// declaredLoad returns the load of an opportunistic task.
func declaredLoad(a notch.Agent, st *notch.Stage) notch.OpportunisticLoad {
	return notch.OpportunisticLoad{Image: st.Image, CPUShare: cpuShare(a, st.Size.MilliCPU)}
}

// setStage sets the stage whose tasks are placed next. It returns false if a task of the stage fits
// on no agent, going by what this plan and the ones before found out.
func (v *agentViews) setStage(ref notch.TaskRef, st notch.Stage) bool {
	v.stageRef, v.stage = ref, st
	kind := v.demandKind()
	lackedAt := max(v.latestShortage(kind, st.Size), v.latestShortage(kind.withoutLabel(), st.Size))
	v.limitHit = false
	if st.PerAgent > 0 {
		limitedAt := v.latestShortage(kind.withLimitOf(ref), st.Size)
		v.limitHit = limitedAt > lackedAt
		lackedAt = max(lackedAt, limitedAt)
	}
	if lackedAt != 0 && v.latestGains.gained(st.Fills) <= lackedAt {
		return false
	}
	if v.candidates.agents == nil || v.candidates.lackedAt != lackedAt || v.candidates.opportunistic != st.Fills {
		v.candidates = v.candidatesSince(lackedAt, st.Fills)
	}
	v.narrow = v.candidates.first != nil && st.Rack == "" && st.Label == ""
	if st.PerAgent > 0 && v.runsByStage[ref] == nil {
		v.runsByStage[ref] = v.s.countRunsByAgent(ref)
	}
	return true
}

// demandKind returns the kind of demand of the current stage.
func (v *agentViews) demandKind() demandKind {
	kind := demandKindOf(&v.stage)
	kind.throttled = v.throttled
	return kind
}

// candidatesSince returns the agents that have gained something since the numbered plan.
func (v *agentViews) candidatesSince(lackedAt uint64, opportunistic bool) candidates {
	out := candidates{lackedAt: lackedAt, opportunistic: opportunistic, agents: []int{}}
	for i, a := range v.agents {
		if a.memory.gained(opportunistic) > lackedAt {
			out.agents = append(out.agents, i)
		}
	}
	out.first = v.firstOf(out.agents)
	return out
}

// firstOf returns the part of many agents that this plan looks at first. The next plan takes the part after
// it. It returns nil for few agents.
func (v *agentViews) firstOf(agents []int) []int {
	if len(agents) <= maxFirstCandidates {
		return nil
	}
	from := int(v.plan * maxFirstCandidates % uint64(len(agents)))
	to := from + maxFirstCandidates
	if to <= len(agents) {
		return agents[from:to]
	}
	return slices.Concat(agents[:to-len(agents)], agents[from:])
}

// widen lets the placer see all candidates. It returns false if it did already.
func (v *agentViews) widen() bool {
	was := v.narrow
	v.narrow = false
	return was
}

// latestShortage returns the number of the latest plan in which a demand of at most the given size
// fitted on no agent, or 0. It records that this plan has a group of the kind.
func (v *agentViews) latestShortage(kind demandKind, size notch.Resources) uint64 {
	l, ok := v.shortages[kind]
	if !ok {
		return 0
	}
	l.lookedAt = v.plan
	v.shortages[kind] = l
	return l.latest(size)
}

// countRunsByAgent counts the runs of a round's stage on each agent.
func (s *stepper) countRunsByAgent(stage notch.TaskRef) map[string]int {
	out := map[string]int{}
	w, ok := s.workflows.Get(stage.Flow)
	if !ok {
		return out
	}
	w.EachGroupRun(w.GroupIndex(stage.Round, stage.Stage), func(_ notch.TaskRef, _ notch.WorkflowTask, r notch.Run) {
		out[r.Life.Agent]++
	})
	return out
}

// Len implements [notch.AgentViews].
func (v *agentViews) Len() int { return len(v.agents) }

// Candidates implements [notch.AgentViews].
func (v *agentViews) Candidates() []int {
	if v.narrow {
		return v.candidates.first
	}
	return v.candidates.agents
}

// ReservedShare implements [notch.AgentViews].
func (v *agentViews) ReservedShare() float64 {
	return 1 - float64(v.freeMilliCPU)/float64(max(1, v.totalMilliCPU))
}

// At implements [notch.AgentViews].
func (v *agentViews) At(i int) (*notch.AgentView, bool) {
	v.examined++
	a := &v.agents[i]
	if !a.hasImages && (v.stage.Fills || v.stage.Target > 0) {
		v.addImages(i)
	}
	view := a.view
	if v.apart && (a.hostsSuspect || v.s.hasSuspect(a.memory.load)) {
		return view, false
	}
	if v.throttled && !a.mayAddThrottled(v.stage.Size.MemoryMB) {
		return view, false
	}
	if v.avoidedBy != nil && v.hasCrashedUnder(i, *v.avoidedBy) {
		return view, false
	}
	if !takesLabel(view.Agent, v.stage.Label) {
		return view, false
	}
	if v.stage.PerAgent > 0 && v.runsByStage[v.stageRef][view.Agent.ID] >= v.stage.PerAgent {
		v.limitHit = v.limitHit || v.stage.Reserved().Fits(view.Free)
		return view, false
	}
	return view, true
}

// hasCrashedUnder reports whether agent i, or an earlier one at its address, may have crashed under a task.
func (v *agentViews) hasCrashedUnder(i int, t notch.WorkflowTask) bool {
	address := v.agents[i].view.Agent.Address
	return slices.ContainsFunc(t.Suspects, func(life notch.AgentIncarnation) bool { return v.s.addressOf(life) == address })
}

// assign adds a task of the current stage to agent i and returns the agent's incarnation.
func (v *agentViews) assign(i int) notch.AgentIncarnation {
	view := v.ownView(i)
	view.Free = view.Free.Minus(v.stage.Reserved())
	v.freeMilliCPU -= v.stage.Reserved().MilliCPU
	switch {
	case v.stage.Fills:
		view.OpportunisticMilliCPU += v.stage.Size.MilliCPU
		view.ServiceImages = slices.Clone(view.ServiceImages) // they may be those of the memory
		v.takeHeadroom(view.ServiceImages, declaredLoad(view.Agent, &v.stage))
	case v.stage.Target > 0:
		view.ServiceMilliCPU += v.stage.Size.MilliCPU
	}
	if v.stage.Target > 0 {
		v.agents[i].memory = v.agents[i].memory.withoutAnswer()
		view.ServiceImages = mergeServiceImage(slices.Clone(view.ServiceImages), notch.ServiceImage{Image: v.stage.Image})
	}
	if v.stage.PerAgent > 0 {
		v.runsByStage[v.stageRef][view.Agent.ID]++
	}
	if v.throttled {
		v.agents[i].throttledMB += v.stage.Size.MemoryMB
	}
	return view.Agent.Incarnation()
}

// maxThrottledMemory is the share of an agent's memory that throttled tasks may reserve. They run for long, and the
// memory is kept from tasks that are more urgent.
const maxThrottledMemory = 0.5

// mayAddThrottled reports whether throttled tasks may reserve more of the agent's memory.
func (a *viewedAgent) mayAddThrottled(memoryMB int64) bool {
	reserved := a.memory.load.throttledMB + a.throttledMB + memoryMB
	return float64(reserved) <= maxThrottledMemory*float64(a.view.Agent.Size.MemoryMB)
}

// addShortage remembers that one more task of the current stage fits on no agent, unless the
// agents were refused for another reason than their free resources, their headroom and the stage's
// limit of runs.
func (v *agentViews) addShortage(scores notch.AgentScores) {
	if scores.HasCapacity() {
		return
	}
	kind := v.demandKind()
	if v.limitHit {
		kind = kind.withLimitOf(v.stageRef)
	}
	l := v.shortages[kind].with(shortage{size: v.stage.Size, plan: v.plan})
	l.lookedAt = v.plan
	v.shortages[kind] = l
}
