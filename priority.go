package notch

// Priority is the class of an event. A loop reduces the queued events of a higher
// priority first, and those of equal priority in the order in which they were posted.
type Priority uint8

// The priorities of events.
const (
	NormalPriority Priority = iota
	// HighPriority is that of the events by which replicas elect a leader, keep it and
	// commit entries, and by which entries keep their leases. Each costs little and
	// causes a bounded number of others, so they don't keep normal events from being
	// reduced.
	HighPriority
)

// PriorityOf returns the priority of an event. All events that restore or report the
// state of the journal have the same one, because their order matters.
func PriorityOf(b Body) Priority {
	switch b := b.(type) {
	case Recovered, Persisted, PersistFailed, JournalFailing, JournalRecovered, SnapshotSaved:
		return HighPriority
	case MessageReceived:
		return priorityOfMessage(b.Message)
	}
	return NormalPriority
}

func priorityOfMessage(m Message) Priority {
	switch m.(type) {
	case VoteRequest, VoteReply, AppendRequest, AppendReply, InstallSnapshot, TimeoutNow:
		return HighPriority
	case EntryReport, EntryGrant, LeaveMessage, LeaderQuery, LeaderHint:
		return HighPriority
	}
	return NormalPriority
}

// KeepsContact reports whether a message is one of those by which replicas keep contact: votes,
// heartbeats that follow a confirmed entry, and the answers to heartbeats and entries. They are
// small, and may overtake all others.
func KeepsContact(m Message) bool {
	switch m := m.(type) {
	case VoteRequest, VoteReply, AppendReply:
		return true
	case AppendRequest:
		return m.Contact
	}
	return false
}
