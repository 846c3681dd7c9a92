package notch

import "strconv"

// Daemon describes one process of the system.
type Daemon struct {
	Name        string // host name, unique among daemons
	Address     string // IP number and port of its link listener
	Domain      string // failure domain
	Incarnation uint64 // grows with every start
	Replica     bool   // has a data folder
	Operators   string // its operators' address; empty: none
}

// ServerID identifies one incarnation of a backend server.
type ServerID string

// BackendServer is what a backend server announces about itself.
type BackendServer struct {
	Name        string
	Incarnation uint64 // grows with every start of the backend server
	Address     string // IP number and port
	Host        string
	Domain      string
	Pool        string
	Slots       int // requests it takes at once
	Connections int // connections it accepts
	Leaving     bool
}

// ID returns the identity of this incarnation.
func (b BackendServer) ID() ServerID {
	return ServerID(b.Name + "#" + strconv.FormatUint(b.Incarnation, 10))
}

// WithPool returns b bound by the limits and marks of its pool.
func (b BackendServer) WithPool(p Pool) BackendServer {
	if p.Slots > 0 {
		b.Slots = min(b.Slots, p.Slots)
	}
	if p.Connections > 0 {
		b.Connections = min(b.Connections, p.Connections)
	}
	if p.IsLeaving(b.Name, b.Host) || !p.Admits(b.Host) {
		b.Leaving = true
	}
	return b
}
