package table

// State is the JSON form of the part's state for operators.
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
		Part: "table", Revision: p.inForce.Revision, Committed: p.committed.Revision, Routes: p.inForce.RoutesVersion,
		Pools: p.inForce.PoolsVersion, RoutesBy: p.routesEdit.author, PoolsBy: p.poolsEdit.author, Edits: p.history.order.Len(),
	}
}
