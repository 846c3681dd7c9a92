package front

import (
	"net"

	notch "tamaracknotch"
)

// ProtocolAdapter implements the protocol that a daemon speaks with callers,
// operators, the load balancer and agents. Each method that takes a listener starts
// to serve it. The interface is declared here because the root package imports no
// network packages.
type ProtocolAdapter interface {
	Callers(s notch.System, l net.Listener) notch.Server
	Operators(s notch.System, l net.Listener) notch.Server
	Health(s notch.System, l net.Listener) notch.Server
	// Agents returns the client that sends orders to agents, or nil if the protocol
	// sends no orders. It has at most the given number of connections open.
	Agents(connections int, clock notch.Clock) notch.Agents
	// Hosts returns the client of the inventory of hosts at an address, or nil if there is none. The error tells what is
	// wrong with the address.
	Hosts(address string) (notch.HostInventory, error)
}
