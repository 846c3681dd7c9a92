package engine

import (
	"sync"

	notch "tamaracknotch"
)

// mailbox is a queue without a bound, so that two loops that post to each other
// can't deadlock. Callers from outside the loops bound how much they put into it.
type mailbox[T any] struct {
	clock notch.Clock
	ready chan struct{} // holds a token if items may be queued

	mu       sync.Mutex
	items    []T
	oldestAt notch.Time // when the first of items was put
	closed   bool
}

func newMailbox[T any](clock notch.Clock) *mailbox[T] {
	return &mailbox[T]{clock: clock, ready: make(chan struct{}, 1)}
}

// put adds v. It never blocks. After close it drops v.
func (m *mailbox[T]) put(v T) {
	m.mu.Lock()
	if !m.closed {
		if len(m.items) == 0 {
			m.oldestAt = m.clock.Now()
		}
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

// batch is what a mailbox held.
type batch[T any] struct {
	items    []T
	oldestAt notch.Time // when the first of items was put; stale if there are none
	closed   bool       // the mailbox accepts no more
}

// take removes and returns all queued items.
func (m *mailbox[T]) take() batch[T] {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := batch[T]{items: m.items, oldestAt: m.oldestAt, closed: m.closed}
	m.items = nil
	return b
}

// close rejects further items. The reader takes those that are queued and then ends.
func (m *mailbox[T]) close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.signal()
}
