package daemon

import (
	"net"

	notch "tamaracknotch"
	"tamaracknotch/engine"
	"tamaracknotch/entry"
	"tamaracknotch/front"
)

// ownAdapter serves the daemon's own protocol.
type ownAdapter struct{ d *Daemon }

// Callers implements front.ProtocolAdapter.
func (a ownAdapter) Callers(_ notch.System, l net.Listener) notch.Server {
	return front.Serve(l, front.CallerHandler(a.d.engine, a.d.settings.AgentKey, entry.New(a.d.engine, a.d.settings.Name)))
}

// Operators implements front.ProtocolAdapter.
func (a ownAdapter) Operators(_ notch.System, l net.Listener) notch.Server {
	return front.Serve(l, front.OperatorHandler(a.d.engine, a.d.settings.OperatorKey, a.d, a.d.registry))
}

// Health implements front.ProtocolAdapter.
func (a ownAdapter) Health(_ notch.System, l net.Listener) notch.Server {
	return front.Serve(l, front.ReadinessHandler(a.d))
}

// Agents implements front.ProtocolAdapter. It returns nil, as workers of the own
// protocol fetch their orders.
func (ownAdapter) Agents(int, notch.Clock) notch.Agents { return nil }

// Hosts implements front.ProtocolAdapter. The own protocol has no inventory of hosts.
func (ownAdapter) Hosts(string) (notch.HostInventory, error) { return nil, nil }

// system implements notch.System, through which protocol adapters use the daemon.
type system struct {
	*engine.Engine
	d *Daemon
}

// Ready implements notch.System.
func (s system) Ready() error { return s.d.Ready() }

// Log implements notch.System.
func (s system) Log(m notch.LogMessage) { s.d.sink().Log(m) }
