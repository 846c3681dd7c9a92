package daemon

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
)

// logQueue is how many lines may wait for a slow reader of the log.
const logQueue = 4096

// logWriter writes lines on a goroutine of its own, so that whoever logs never waits:
// where the reader of the log is too slow, lines are dropped and counted.
type logWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.RWMutex
	closed bool
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{lines: make(chan []byte, logQueue), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			out.Write(line)
		}
	}()
	return w
}

// Write takes a line. It never blocks.
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

// Close takes no more lines. Those that wait are still written.
func (w *logWriter) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
}

// end closes w and waits for the last line, or for ctx if nobody reads.
func (w *logWriter) end(ctx context.Context) error {
	w.Close()
	select {
	case <-w.done:
	case <-ctx.Done():
	}
	return nil
}
