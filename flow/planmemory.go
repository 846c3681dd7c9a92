package flow

import (
	"slices"

	notch "tamaracknotch"
)

// planMemory is what the latest plan of this term found out about agents and demands. With it, the
// next plan examines an agent for a demand that fitted nowhere only if the agent has gained
// something since. Values are immutable.
type planMemory struct {
	plan  uint64                // number of the latest plan
	pools map[string]poolMemory // by name
}

// poolMemory is what plans found out about a pool.
type poolMemory struct {
	agents    []*agentMemory // those that accepted runs at the latest plan, by id
	shortages map[demandKind]shortages
}

// agentMemory is an agent that accepted runs at the latest plan, with what it offered. Plans share the values of
// agents that haven't changed.
type agentMemory struct {
	agentGains
	agent      *notch.Agent
	load       *agentLoad
	view       *notch.AgentView     // without the images of the tasks and the placements of the plan
	answeredAt notch.Time           // an answer with the headroom of its service tasks; zero: a task was placed since
	images     []notch.ServiceImage // of its service tasks, less what its opportunistic tasks take, as of the first plan that asked for them; nil: none did
}

// agentGains tells when an agent last gained something that a task may have lacked, by the number
// of the first plan after that.
type agentGains struct {
	room     uint64 // free resources; or it began to accept runs
	headroom uint64
}

// gained returns the latest gain that matters to tasks that are opportunistic or not.
func (g agentGains) gained(opportunistic bool) uint64 {
	if opportunistic {
		return max(g.room, g.headroom)
	}
	return g.room
}

// latest returns the later gains of g and o.
func (g agentGains) latest(o agentGains) agentGains {
	return agentGains{room: max(g.room, o.room), headroom: max(g.headroom, o.headroom)}
}

// newAgentMemory returns the memory of an agent at the numbered plan. Before is its memory at the
// plan before, or nil if it didn't accept runs then.
func newAgentMemory(before *agentMemory, a *notch.Agent, session *agentSession, load *agentLoad, plan uint64) *agentMemory {
	if before != nil && before.agent == a && before.load == load && (before.answeredAt == session.lastAnsweredAt || !load.hasServiceTask()) {
		return before
	}
	m := &agentMemory{agent: a, load: load, view: agentViewOf(*a, load), answeredAt: session.lastAnsweredAt}
	if before != nil {
		m.agentGains = before.agentGains
	}
	if before == nil || a.Size != before.agent.Size || load.endedRuns != before.load.endedRuns || !slices.Equal(a.Labels, before.agent.Labels) {
		m.room = plan
	}
	if load.hasServiceTask() && (before == nil || m.answeredAt != before.answeredAt) {
		m.headroom = plan
	}
	return m
}

// withoutAnswer returns m after a service task was placed, of which the headroom isn't known yet.
func (m agentMemory) withoutAnswer() *agentMemory {
	m.answeredAt, m.images = 0, nil
	return &m
}

// withImages returns m with the service images of the agent. They are never modified.
func (m agentMemory) withImages(images []notch.ServiceImage) *agentMemory {
	m.images = images
	return &m
}

// nextMemory returns the memory of an agent among memories in the order of their ids, and those after it. It
// returns nil if the agent isn't among them.
func nextMemory(memories []*agentMemory, id string) (*agentMemory, []*agentMemory) {
	for len(memories) > 0 && memories[0].agent.ID < id {
		memories = memories[1:]
	}
	if len(memories) == 0 || memories[0].agent.ID != id {
		return nil, memories
	}
	return memories[0], memories[1:]
}
