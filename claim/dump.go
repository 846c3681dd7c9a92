package claim

// State is the JSON form of the part's state for operators.
type State struct {
	Part   string `json:"part"`
	Claims int    `json:"claims"`
}

// Dump implements [notch.Dumper].
func (p Part) Dump() any { return State{Part: "claim", Claims: p.byID.Len()} }
