package gateway

// State is the JSON dump of the part.
type State struct {
	Part    string `json:"part"`
	Leader  string `json:"leader,omitempty"`
	Leading bool   `json:"leading"`
	Waiting int    `json:"calls-waiting"`
}

// Dump implements [notch.Dumper].
func (p Part) Dump() any {
	return State{Part: "gateway", Leader: p.leader, Leading: p.leading, Waiting: p.calls.Len()}
}
