// Package engine runs reducers: one goroutine for the control state, one for each
// lane of traffic, one for the journal. It carries out the effects and feeds the
// outcomes back as events.
package engine

import "sync"

// mailbox is an unbounded queue, so that two loops that post to each other can't
// block each other. What may enter it from outside is bounded by its callers.
type mailbox[T any] struct {
	mu     sync.Mutex
	items  []T
	closed bool
	ready  chan struct{} // holds a token while items may wait
}

func newMailbox[T any]() *mailbox[T] { return &mailbox[T]{ready: make(chan struct{}, 1)} }

// put adds v. It never blocks. After close it does nothing.
func (m *mailbox[T]) put(v T) {
	m.mu.Lock()
	if !m.closed {
		m.items = append(m.items, v)
	}
	m.mu.Unlock()
	m.signal()
}

func (m *mailbox[T]) signal() {
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// take returns everything that waits.
func (m *mailbox[T]) take() (items []T, closed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	items, m.items = m.items, nil
	return items, m.closed
}

// close lets the reader end once it has taken what waits.
func (m *mailbox[T]) close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.signal()
}
