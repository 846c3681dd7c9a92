package batch

// State is the summary of the part in GET /v1/state.
type State struct {
	Part      string       `json:"part"`
	Leading   bool         `json:"leading"`
	Jobs      int          `json:"jobs"`
	Tasks     int          `json:"tasks"`
	Workers   int          `json:"workers"`
	Leases    int          `json:"worker-leases"`
	Throttled []string     `json:"throttled-workers,omitempty"`
	Queues    []QueueState `json:"queues,omitempty"`
}

// QueueState is the queue of one team in one pool, with the team's reservations.
type QueueState struct {
	Queue    string `json:"pool-and-team"`
	Queued   int    `json:"queued"`
	MilliCPU int64  `json:"reserved-milli-cpu"`
	MemoryMB int64  `json:"reserved-memory-mb"`
}

// Dump implements [notch.Dumper].
func (p Part) Dump() any {
	s := State{
		Part: "batch", Leading: p.leadership.Leading, Jobs: p.jobs.Len(), Tasks: p.tasks.Len(), Workers: p.workers.Len(),
		Leases: p.sessions.Len(),
	}
	for it := p.throttled.Iterator(); !it.Done(); {
		name, _, _ := it.Next()
		s.Throttled = append(s.Throttled, name)
	}
	for it := p.queues.Iterator(); !it.Done(); {
		name, q, _ := it.Next()
		s.Queues = append(s.Queues, QueueState{Queue: name, Queued: q.bySeq.Len(), MilliCPU: q.used.MilliCPU, MemoryMB: q.used.MemoryMB})
	}
	return s
}
