package table

// State is what the part shows of itself.
type State struct {
	Part      string `json:"part"`
	Revision  uint64 `json:"revision-in-force"`
	Committed uint64 `json:"revision-committed"`
	Routes    uint64 `json:"routes-version"`
	Pools     uint64 `json:"pools-version"`
	RoutesBy  string `json:"routes-by,omitempty"`
	PoolsBy   string `json:"pools-by,omitempty"`
	Edits     int    `json:"edits-remembered"`
}

// Dump implements [notch.Dumper].
func (p Part) Dump() any {
	return State{
		Part: "table", Revision: p.inForce.Revision, Committed: p.tables.Revision, Routes: p.inForce.RoutesVersion,
		Pools: p.inForce.PoolsVersion, RoutesBy: p.routes.by, PoolsBy: p.pools.by, Edits: p.edits.order.Len(),
	}
}
