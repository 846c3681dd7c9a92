package daemon

import (
	"net"

	notch "tamaracknotch"
	"tamaracknotch/engine"
	"tamaracknotch/entry"
	"tamaracknotch/front"
)

// ownFace speaks the daemon's own protocol.
type ownFace struct{ d *Daemon }

// Callers implements front.Face.
func (f ownFace) Callers(_ notch.System, l net.Listener) notch.Server {
	return front.Serve(l, front.Callers(f.d.engine, f.d.settings.AgentKey, entry.New(f.d.engine, f.d.settings.Name)))
}

// Operators implements front.Face.
func (f ownFace) Operators(_ notch.System, l net.Listener) notch.Server {
	return front.Serve(l, front.Operators(f.d.engine, f.d.settings.OperatorKey, f.d, f.d.registry))
}

// Health implements front.Face.
func (f ownFace) Health(_ notch.System, l net.Listener) notch.Server {
	return front.Serve(l, front.Readiness(f.d))
}

// Agents implements front.Face. Workers of the own protocol fetch their orders.
func (ownFace) Agents() notch.Agents { return nil }

// system is what an adapter's front ends see of the daemon.
type system struct {
	*engine.Engine
	d *Daemon
}

// Ready implements notch.System.
func (s system) Ready() error { return s.d.Ready() }

// Log implements notch.System.
func (s system) Log(n notch.Notice) { s.d.sink().Log(n) }
