package engine

import "sync"

// mailbox is a queue without a bound, so that two loops that post to each other
// can't deadlock. Callers from outside the loops bound how much they put into it.
type mailbox[T any] struct {
	mu     sync.Mutex
	items  []T
	closed bool
	ready  chan struct{} // holds a token if items may be queued
}

func newMailbox[T any]() *mailbox[T] { return &mailbox[T]{ready: make(chan struct{}, 1)} }

// put adds v. It never blocks. After close it drops v.
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

// take removes and returns all queued items. It also returns whether the mailbox is
// closed.
func (m *mailbox[T]) take() (items []T, closed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	items, m.items = m.items, nil
	return items, m.closed
}

// close rejects further items. The reader takes those that are queued and then ends.
func (m *mailbox[T]) close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.signal()
}
