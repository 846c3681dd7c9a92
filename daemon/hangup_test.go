package daemon

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// logBuffer collects log output and lets a test wait for a text in it.
type logBuffer struct {
	mu   sync.Mutex
	cond *sync.Cond
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.cond.Broadcast()
	return l.text.Write(b)
}

// await blocks until the log holds text.
func (l *logBuffer) await(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !strings.Contains(l.text.String(), text) {
		l.cond.Wait()
	}
}

// TestHangup checks that SIGHUP, which some platforms send after a change of
// settings, doesn't end the daemon.
func TestHangup(t *testing.T) {
	out := &logBuffer{}
	out.cond = sync.NewCond(&out.mu)
	ctx, cancel := context.WithCancel(context.Background())
	code := make(chan int)
	go func() {
		code <- Run(ctx, []string{
			"--name", "a", "--failure-domain", "north", "--listen", "127.0.0.1:0", "--operators", "127.0.0.1:0",
			"--link", "127.0.0.1:0", "--drain-delay", "0s", "--lanes", "1",
		}, out, io.Discard, nil)
	}()
	out.await("serving")
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	out.await("settings may have changed")
	cancel()
	if got, want := <-code, exitOK; got != want {
		t.Errorf("got exit code %d, want %d", got, want)
	}
}
