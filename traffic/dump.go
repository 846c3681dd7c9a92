package traffic

// State is what a lane shows of itself.
type State struct {
	Part     string      `json:"part"`
	Lane     int         `json:"lane"`
	Requests int         `json:"requests"`
	Pools    []PoolState `json:"pools"`
}

// PoolState is a lane's view of a pool.
type PoolState struct {
	Pool        string        `json:"pool"`
	InFlight    int           `json:"in-flight"`
	Waiting     int           `json:"waiting"`
	Slots       int           `json:"slots"`
	RetryTokens float64       `json:"retry-tokens"`
	MeanMS      float64       `json:"mean-ms"`
	Servers     []ServerState `json:"backend-servers"`
}

// ServerState is a lane's view of a backend server.
type ServerState struct {
	ID       string  `json:"id"`
	Slots    int     `json:"slots"`
	InFlight int     `json:"in-flight"`
	MeanMS   float64 `json:"mean-ms"`
	TailMS   float64 `json:"p95-ms"`
	Failures int     `json:"failures-in-a-row"`
	Leaving  bool    `json:"leaving,omitempty"`
}

// Dump implements [notch.Dumper].
func (p Part) Dump() any {
	s := State{Part: "traffic", Lane: p.lane, Requests: p.requests.Len()}
	for _, q := range p.pools {
		ps := PoolState{
			Pool: q.config.Name, InFlight: q.inFlight, Waiting: q.queue.Len(), Slots: q.capacity,
			RetryTokens: q.tokens, MeanMS: q.mean.Seconds() * 1000,
		}
		for it := q.servers.Iterator(); !it.Done(); {
			_, x := it.Next()
			ps.Servers = append(ps.Servers, ServerState{
				ID: string(x.id), Slots: x.slots, InFlight: x.inFlight, MeanMS: x.mean.Seconds() * 1000,
				TailMS: x.tail.Seconds() * 1000, Failures: x.failures, Leaving: x.server.Leaving,
			})
		}
		s.Pools = append(s.Pools, ps)
	}
	return s
}
