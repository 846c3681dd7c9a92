package notch

import "context"

// System is the daemon as its front ends see it.
type System interface {
	// Submit submits a command and returns its result once it is applied. The error
	// ErrResultUnknown means that the command may still be committed, ErrNotRun that it
	// never will be.
	Submit(ctx context.Context, c Command) (Result, error)
	// Query returns the leader's answer to a query.
	Query(ctx context.Context, q Query) (QueryResult, error)
	// AnnounceAgent passes on an agent's announcement of its state. It returns the
	// operators' address of the daemon that the agent should call next; empty if
	// none is known.
	AnnounceAgent(ctx context.Context, a Agent) (address string, err error)
	// LeasedTables returns the revision of the tables in force at the daemon. The error
	// is ErrNoLease if callers must not be answered by them.
	LeasedTables() (Tables, error)
	// Ready returns nil if the load balancer should send callers to this daemon.
	// Otherwise the error states why not.
	Ready() error
	// Log writes a log message.
	Log(m LogMessage)
}

// Server serves one listener.
type Server interface {
	// Drain makes each connection end after its next answer, so that callers go elsewhere.
	Drain()
	// Shutdown accepts no new connections and waits for the requests in flight.
	Shutdown(ctx context.Context) error
	Close() error
}
