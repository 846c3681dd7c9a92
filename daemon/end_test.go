package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// TestEndsOnce guards against a daemon that panics, hangs or keeps its sockets when it is
// stopped and killed in any order, also at once and before its start.
func TestEndsOnce(t *testing.T) {
	for _, schedule := range readSchedules(t, "testdata/end/schedules.txt") {
		t.Run(schedule, func(t *testing.T) {
			t.Parallel()
			s := Defaults("a", "north")
			s.DataDir, s.Bootstrap, s.Lanes, s.DrainDelay = t.TempDir(), true, 1, 0
			s.Listen, s.Operators, s.Link, s.Health, s.Metrics = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
			log := logrus.New()
			log.SetOutput(io.Discard)
			d, err := New(s, log, metrics.NewRegistry(), nil)
			if err != nil {
				t.Fatal(err)
			}
			sockets := []net.Listener{d.callers, d.operators, d.links, d.health, d.metrics}
			for step := range strings.SplitSeq(schedule, " then ") {
				runStep(t, d, step)
			}
			for _, l := range sockets {
				if conn, err := net.Dial("tcp", l.Addr().String()); err == nil {
					conn.Close()
					t.Errorf("%v: got a connection after the end, want none", l.Addr())
				}
			}
		})
	}
}

// runStep makes the calls of a step at once and waits until all have returned.
func runStep(t *testing.T, d *Daemon, step string) {
	t.Helper()
	calls := map[string]func(){
		"start": func() { d.Start() },
		"stop":  func() { d.Stop(context.Background()) },
		"kill":  d.Kill,
	}
	var wg sync.WaitGroup
	for name := range strings.FieldsSeq(step) {
		call := calls[name]
		if call == nil {
			t.Fatalf("unknown call %q", name)
		}
		wg.Go(call)
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatalf("%s: got no return within a minute", step)
	}
}

// readSchedules returns the lines of a file that hold a schedule.
func readSchedules(t *testing.T, name string) (out []string) {
	f, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if line := strings.TrimSpace(lines.Text()); line != "" && !strings.HasPrefix(line, "#") {
			out = append(out, line)
		}
	}
	return out
}
