package flow

// State is the JSON form of the part's state for operators.
type State struct {
	Part            string       `json:"part"`
	Leading         bool         `json:"leading"`
	Workflows       int          `json:"jobs"`
	ActiveWorkflows int          `json:"open-jobs"`
	QueuedStarts    int          `json:"queued-starts,omitempty"`
	Agents          []AgentState `json:"agents,omitempty"`
}

// AgentState is the JSON form of the state of one agent. Only the leader knows the last four fields.
type AgentState struct {
	ID            string `json:"id"`
	Born          int64  `json:"born"`
	Draining      bool   `json:"draining,omitempty"`
	Left          bool   `json:"left,omitempty"`
	Runs          int    `json:"runs"`
	MilliCPU      int64  `json:"reserved-milli-cpu"`
	MemoryMB      int64  `json:"reserved-memory-mb"`
	Unanswered    int    `json:"calls-without-answer,omitempty"`
	ProposedUpTo  uint64 `json:"ends-listed,omitempty"`
	CommittedUpTo uint64 `json:"ends-acknowledged,omitempty"`
	Blocked       bool   `json:"nothing-may-fill,omitempty"`
}

// Dump implements [notch.Dumper].
func (p Part) Dump() any {
	out := State{Part: "flow", Leading: p.leadership.Leading, Workflows: p.workflows.Len(), ActiveWorkflows: p.active, QueuedStarts: p.startQueue.len()}
	for it := p.agents.Iterator(); !it.Done(); {
		id, a, _ := it.Next()
		load := p.load(id)
		session, _ := p.session(id)
		colocated, _ := p.colocations.Get(id)
		out.Agents = append(out.Agents, AgentState{
			ID: id, Born: a.Born, Draining: a.Draining, Left: a.Left, Runs: len(load.runs), MilliCPU: load.reserved.MilliCPU,
			MemoryMB: load.reserved.MemoryMB, Unanswered: session.unanswered, ProposedUpTo: session.proposedUpTo, CommittedUpTo: session.committedUpTo, Blocked: colocated.blocked,
		})
	}
	return out
}
