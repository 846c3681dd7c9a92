package link

import (
	"sync"
	"time"

	notch "tamaracknotch"
)

// outbox is the queue of messages for one peer. Urgent messages go first, so that heartbeats don't
// wait behind calls and results; the others keep their order, and so do the urgent ones.
type outbox struct {
	ready chan struct{} // holds a token while messages are queued

	mu     sync.Mutex
	urgent []queued
	normal []queued
}

// queued is a message in an outbox.
type queued struct {
	message notch.Message
	at      time.Time // when it was queued
}

func newOutbox() *outbox { return &outbox{ready: make(chan struct{}, 1)} }

// put adds a message. It drops the message if queueLength messages wait already.
func (o *outbox) put(m notch.Message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.urgent)+len(o.normal) >= queueLength {
		return
	}
	queue := &o.normal
	if isUrgent(m) {
		queue = &o.urgent
	}
	*queue = append(*queue, queued{m, time.Now()})
	o.signal()
}

// take removes and returns the next message. It reports false if there is none.
func (o *outbox) take() (queued, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	queue := &o.urgent
	if len(*queue) == 0 {
		queue = &o.normal
	}
	if len(*queue) == 0 {
		return queued{}, false
	}
	m := (*queue)[0]
	(*queue)[0] = queued{}
	*queue = (*queue)[1:]
	if len(o.urgent)+len(o.normal) > 0 {
		o.signal()
	}
	return m, true
}

// isUrgent reports whether a message goes first: those of high priority, but for grants and
// snapshots, which hold whole tables and would keep calls and results from a slow connection.
func isUrgent(m notch.Message) bool {
	switch m.(type) {
	case notch.EntryGrant, notch.InstallSnapshot:
		return false
	}
	return notch.PriorityOf(notch.MessageReceived{Message: m}) == notch.HighPriority
}

func (o *outbox) signal() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// len returns the number of messages that wait.
func (o *outbox) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.urgent) + len(o.normal)
}
