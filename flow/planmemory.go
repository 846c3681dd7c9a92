package flow

import (
	"slices"
	"strings"

	notch "tamaracknotch"
)

// planMemory is what the latest plan of this term found out about agents and demands. With it, the
// next plan examines an agent for a demand that fitted nowhere only if the agent has gained
// something since. Values are immutable.
type planMemory struct {
	plan  uint64                // number of the latest plan
	pools map[string]poolMemory // by name: the pools that the latest plan looked at
}

// poolMemory is what plans found out about a pool.
type poolMemory struct {
	agents    []agentMemory // those that accepted runs at the latest plan, by id
	shortages map[demandKind]shortages
}

// agentMemory identifies what an agent offered at the latest plan.
type agentMemory struct {
	agentGains
	id         string
	size       notch.Resources
	labels     []string
	endedRuns  int
	answeredAt notch.Time // latest answer with the headroom of its service tasks; zero: a task was placed since
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
// plan before, or a zero value if it didn't accept runs then.
func newAgentMemory(before agentMemory, a notch.Agent, session agentSession, load agentLoad, plan uint64) agentMemory {
	m := agentMemory{
		id: a.ID, size: a.Size, labels: a.Labels, endedRuns: load.endedRuns, answeredAt: session.lastAnsweredAt,
		agentGains: before.agentGains,
	}
	if before.id == "" || m.size != before.size || m.endedRuns != before.endedRuns || !slices.Equal(m.labels, before.labels) {
		m.room = plan
	}
	if m.answeredAt != before.answeredAt && load.hasServiceTask() {
		m.headroom = plan
	}
	return m
}

// agent returns the memory of an agent, or a zero value if the agent didn't accept runs.
func (m poolMemory) agent(id string) agentMemory {
	i, ok := slices.BinarySearchFunc(m.agents, id, func(a agentMemory, id string) int { return strings.Compare(a.id, id) })
	if !ok {
		return agentMemory{}
	}
	return m.agents[i]
}
