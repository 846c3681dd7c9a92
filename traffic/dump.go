package traffic

// LaneDump is the state of a lane in GET /v1/state.
type LaneDump struct {
	Part     string     `json:"part"`
	Lane     int        `json:"lane"`
	Requests int        `json:"requests"`
	Pools    []PoolDump `json:"pools"`
}

// PoolDump is a lane's state of a pool.
type PoolDump struct {
	Pool        string       `json:"pool"`
	InFlight    int          `json:"in-flight"`
	Waiting     int          `json:"waiting"`
	Slots       int          `json:"slots"`
	RetryTokens float64      `json:"retry-tokens"`
	MeanMS      float64      `json:"mean-ms"`
	Servers     []ServerDump `json:"backend-servers"`
}

// ServerDump is a lane's state of a backend server.
type ServerDump struct {
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
	s := LaneDump{Part: "traffic", Lane: p.lane, Requests: p.requests.Len()}
	for _, q := range p.pools {
		ps := PoolDump{
			Pool: q.config.Name, InFlight: q.inFlight, Waiting: q.queue.Len(), Slots: q.totalSlots,
			RetryTokens: q.retryTokens, MeanMS: q.mean.Seconds() * 1000,
		}
		for it := q.servers.Iterator(); !it.Done(); {
			_, x := it.Next()
			ps.Servers = append(ps.Servers, ServerDump{
				ID: string(x.id), Slots: x.slots, InFlight: x.inFlight, MeanMS: x.mean.Seconds() * 1000,
				TailMS: x.tail.Seconds() * 1000, Failures: x.consecutiveFailures, Leaving: x.backend.Leaving,
			})
		}
		s.Pools = append(s.Pools, ps)
	}
	return s
}
