package daemon

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
)

// logQueueLength is the number of lines that are queued for a slow reader of the log.
const logQueueLength = 4096

// logWriter writes lines on a separate goroutine, so that logging never blocks. If
// the queue is full, because the reader of the log is too slow, it drops the line and
// counts it.
type logWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.RWMutex
	closed bool
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{lines: make(chan []byte, logQueueLength), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			out.Write(line)
		}
	}()
	return w
}

// Write queues a line. It never blocks.
func (w *logWriter) Write(b []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return len(b), nil
	}
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Close makes Write ignore further lines. The queued lines are still written.
func (w *logWriter) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
}

// closeAndWait closes w and waits until the last line is written. It stops waiting when
// ctx ends, as the log may have no reader.
func (w *logWriter) closeAndWait(ctx context.Context) error {
	w.Close()
	select {
	case <-w.done:
	case <-ctx.Done():
	}
	return nil
}
