package notch

// Journal makes a replica's log and snapshots durable. Its methods are called
// from one goroutine at a time.
type Journal interface {
	// Load returns what was synced. It reports ErrCorrupt if that is damaged.
	Load() (Recovered, error)
	// Append syncs the records in order, with one sync for all.
	Append(records []Persist) error
	// SaveSnapshot syncs a snapshot and drops what it makes superfluous.
	SaveSnapshot(s SaveSnapshot) error
	// Adopt syncs which cluster the data folder belongs to.
	Adopt(cluster uint64) error
	Close() error
}

// Link carries messages between daemons. It may lose, delay and reorder them.
type Link interface {
	Send(to string, m Message)
	Connect(d Daemon)
	SetHello(h Hello)
	Close() error
}

// Agents carries orders to agents.
type Agents interface {
	// Call sends an order and waits for the answer, for at most c.Timeout.
	Call(c CallAgent) AgentAnswer
	Close() error
}

// Clock tells the time for events.
type Clock interface {
	Now() Time
	// Wall returns the Unix time in ms, which may jump.
	Wall() int64
}

// Dumper is a part that shows its state on request.
type Dumper interface {
	// Dump returns a value that encodes to JSON with kebab-case names.
	Dump() any
}
