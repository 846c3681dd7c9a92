package notch

import "time"

// Journal stores a replica's log and snapshots on disk. Its methods are called
// from one goroutine at a time. A write that failed may be repeated, unless the error
// is ErrCorrupt: it has no effect before it succeeds.
type Journal interface {
	// Load returns the synced state. It returns ErrCorrupt if the data is
	// damaged.
	Load() (Recovered, error)
	// Append writes the records in order and syncs them all at once.
	Append(records []Persist) error
	// SaveSnapshot writes and syncs a snapshot, and drops the log that it makes
	// unnecessary.
	SaveSnapshot(s SaveSnapshot) error
	// SetCluster writes and syncs which cluster the data folder belongs to.
	SetCluster(cluster uint64) error
	Close() error
}

// Link carries messages between daemons. It may lose, delay and reorder them.
type Link interface {
	// Send sends a message to the named daemon.
	Send(to string, m Message)
	// Connect opens a link to a daemon.
	Connect(d Daemon)
	// SetHello replaces the message that opens new links, and tells the linked daemons what is
	// new in it.
	SetHello(h Hello)
	Close() error
}

// Agents sends orders to agents.
type Agents interface {
	// Call sends an order and waits for the answer, at most for c.Timeout. From c.SendBy on it sends nothing.
	Call(c CallAgent) AgentAnswer
	Close() error
}

// HostInventory knows which hosts exist.
type HostInventory interface {
	// Hosts returns the names of all hosts that exist, also of those that are down. It waits for the whole list, at most
	// for the timeout.
	Hosts(timeout time.Duration) ([]string, error)
	Close() error
}

// Clock supplies the time of events.
type Clock interface {
	// Now returns the current time.
	Now() Time
	// UnixMilli returns the Unix time in ms. It may jump.
	UnixMilli() int64
}

// Dumper is implemented by parts that can show their state to operators.
type Dumper interface {
	// Dump returns a value whose JSON encoding has kebab-case keys.
	Dump() any
}
