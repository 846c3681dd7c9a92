package member

// State is the JSON dump of the part.
type State struct {
	Part    string   `json:"part"`
	Cluster uint64   `json:"cluster"`
	Daemons []Daemon `json:"daemons"`
	Servers []Server `json:"backend-servers"`
}

// Daemon is the dump of another daemon.
type Daemon struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"failure-domain"`
	Up      bool   `json:"up"`
}

// Server is the dump of an announced backend server.
type Server struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Pool    string `json:"pool"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Dump implements [notch.Dumper].
func (p Part) Dump() any {
	s := State{Part: "member", Cluster: p.cluster}
	for it := p.peers.Iterator(); !it.Done(); {
		_, q, _ := it.Next()
		s.Daemons = append(s.Daemons, Daemon{Name: q.daemon.Name, Address: q.daemon.Address, Domain: q.daemon.Domain, Up: q.up})
	}
	for it := p.servers.Iterator(); !it.Done(); {
		_, x, _ := it.Next()
		b := x.server
		s.Servers = append(s.Servers, Server{ID: string(b.ID()), Address: b.Address, Pool: b.Pool, Slots: b.Slots, Leaving: b.Leaving})
	}
	return s
}
