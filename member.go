package notch

import "strconv"

// Daemon describes one process of the system as the other daemons know it.
type Daemon struct {
	Name        string // host name, unique among daemons
	Address     string // IP number and port of its link listener
	Domain      string // failure domain
	Incarnation uint64 // grows with every start
	Replica     bool   // has a data folder
	Operators   string // address of its listener for operators; empty: none
}

// ServerID identifies one incarnation of a backend server.
type ServerID string

// BackendServer describes one incarnation of a backend server, as it announced itself.
type BackendServer struct {
	Name        string
	Incarnation uint64 // grows with every start of the backend server
	Address     string // IP number and port
	Host        string
	Domain      string
	Pool        string
	Slots       int // requests that it handles at once
	Connections int // connections that it accepts at once
	Leaving     bool
}

// ID returns the identity of b's incarnation.
func (b BackendServer) ID() ServerID {
	return ServerID(b.Name + "#" + strconv.FormatUint(b.Incarnation, 10))
}

// WithPool returns b with the limits of its pool applied. It is marked as leaving
// if the pool marks it or its host as leaving, or doesn't admit its host.
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
