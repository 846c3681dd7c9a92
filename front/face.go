package front

import (
	"net"

	notch "tamaracknotch"
)

// Face is the protocol that a daemon speaks with callers, operators, the balancer and
// agents. Each method begins to serve on a listener. It stands here and not in the root
// package because that one imports no network.
type Face interface {
	Callers(s notch.System, l net.Listener) notch.Server
	Operators(s notch.System, l net.Listener) notch.Server
	Health(s notch.System, l net.Listener) notch.Server
	// Agents returns what carries orders to agents, or nil if none take orders.
	Agents() notch.Agents
}
