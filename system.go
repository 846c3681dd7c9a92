package notch

import "context"

// System is what a front end asks of the daemon that it belongs to.
type System interface {
	// Submit has a command committed and returns its result. ErrNotKnown says that
	// it may still be committed, ErrNotRun that it never will.
	Submit(ctx context.Context, c Command) (Result, error)
	// Ask returns the leader's answer to a question.
	Ask(ctx context.Context, q Question) (View, error)
	// Say passes on an agent's word about itself. It returns the operators' address
	// of the daemon that the agent should call next, if one is known.
	Say(ctx context.Context, a Agent) (address string, err error)
	// Tables returns the revision in force.
	Tables() Tables
	// Ready returns nil if the balancer should send callers here, or why not.
	Ready() error
	// Log writes a line.
	Log(n Notice)
}

// Server serves one listener.
type Server interface {
	// Shutdown takes no new connections and waits for requests in flight.
	Shutdown(ctx context.Context) error
	Close() error
}
