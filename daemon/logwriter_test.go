package daemon

import (
	"io"
	"strings"
	"testing"
)

// TestLogNeverBlocks writes more lines than the queue holds while nothing reads the
// log. No write may block, and each line is either written or counted as dropped.
func TestLogNeverBlocks(t *testing.T) {
	r, out := io.Pipe()
	w := newLogWriter(out)
	const lines = 3 * logQueueLength
	for range lines {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("got %d and %v, want 5 and no error", n, err)
		}
	}
	w.Close()
	go func() {
		<-w.done
		out.Close()
	}()
	text, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	got := strings.Count(string(text), "line\n")
	if want := lines - int(w.dropped.Load()); got != want {
		t.Errorf("got %d lines, want the %d that weren't dropped", got, want)
	}
	if got > logQueueLength+1 {
		t.Errorf("got %d lines kept, want at most %d", got, logQueueLength+1)
	}
	if _, err := w.Write([]byte("late\n")); err != nil {
		t.Errorf("after the end: got %v, want no error", err)
	}
}
