package load

import (
	"bufio"
	"context"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"tamaracknotch/daemon"
)

// Guards against requests that are laid on a graceful stop, or on none, by mistake.
func TestVerdicts(t *testing.T) {
	start := time.Now()
	at := func(s string) time.Time {
		d, err := time.ParseDuration(s)
		if err != nil {
			t.Fatal(err)
		}
		return start.Add(d)
	}
	stop := &gracefulStop{entry: "entry-3", begunAt: at("1s"), drainDelay: 400 * time.Millisecond}
	f, err := os.Open("testdata/verdicts.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		text, _, _ := strings.Cut(lines.Text(), "#")
		w := strings.Fields(text)
		if len(w) == 0 {
			continue
		}
		r := failedRequest{entry: w[0], reachedAt: at(w[1]), failedAt: at(w[2]), gaveUp: w[3] == "yes"}
		if got, want := stop.judge(r), verdict(w[4]); got != want {
			t.Errorf("%s: got %s, want %s", lines.Text(), got, want)
		}
		if got, want := (*gracefulStop)(nil).judge(r), unanswered; got != want {
			t.Errorf("%s: without a stop: got %s, want %s", lines.Text(), got, want)
		}
	}
}

// Guards against an entry that stays ready while it stops, and whose requests are then said to be sent too late.
func TestStoppingEntryMayNotBeReady(t *testing.T) {
	begunAt := time.Now()
	stop := &gracefulStop{entry: "entry-3", begunAt: begunAt, drainDelay: drainDelay}
	for _, test := range []struct {
		entry    string
		probedAt time.Time
		want     bool
	}{
		{"entry-3", begunAt.Add(-time.Millisecond), true},
		{"entry-3", begunAt, false},
		{"entry-3", begunAt.Add(time.Minute), false},
		{"entry-1", begunAt.Add(time.Minute), true},
	} {
		if got := stop.allowsReady(test.entry, test.probedAt); got != test.want {
			t.Errorf("%s, %v after the beginning: got %t, want %t", test.entry, test.probedAt.Sub(begunAt), got, test.want)
		}
	}
}

// Guards against a graceful stop that the end of the load cuts short, so that it cuts off requests itself.
func TestStopOutlastsLoad(t *testing.T) {
	x, err := startTestbed(settings{Policies: daemon.DefaultPolicies(), Duration: minDuration, Quiet: true}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	defer x.close()
	loadCtx, cancel := context.WithCancel(context.Background())
	cancel()
	begunAt := time.Now()
	x.stopEntry(loadCtx, x.daemons[2])
	if got := time.Since(begunAt); got < drainDelay {
		t.Errorf("the stop took %v, want at least the drain delay of %v", got, drainDelay)
	}
}
