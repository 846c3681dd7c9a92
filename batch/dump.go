package batch

// State is what the part shows of itself.
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

// QueueState is the queued work of a team.
type QueueState struct {
	Queue    string `json:"pool-and-team"`
	Queued   int    `json:"queued"`
	MilliCPU int64  `json:"reserved-milli-cpu"`
	MemoryMB int64  `json:"reserved-memory-mb"`
}

// Dump implements [notch.Dumper].
func (p Part) Dump() any {
	s := State{
		Part: "batch", Leading: p.leading.Leading, Jobs: p.jobs.Len(), Tasks: p.tasks.Len(), Workers: p.workers.Len(),
		Leases: p.beats.Len(),
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
