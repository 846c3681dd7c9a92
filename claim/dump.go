package claim

// State is what the part shows of itself.
type State struct {
	Part   string `json:"part"`
	Claims int    `json:"claims"`
}

// Dump implements [notch.Dumper].
func (p Part) Dump() any { return State{Part: "claim", Claims: p.byID.Len()} }
