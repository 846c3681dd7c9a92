package daemon

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	notch "tamaracknotch"
)

// Guards against an entry that stops before its load balancer can have noticed: it must be unready at once, and
// serve callers until the drain delay is over.
func TestStopServesUnreadyForDrainDelay(t *testing.T) {
	const delay = 2 * time.Second
	s := Defaults("a", "north")
	s.DataDir, s.Bootstrap, s.Lanes, s.DrainDelay = t.TempDir(), true, 1, Duration(delay)
	s.Listen, s.Operators, s.Link = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := New(s, log, metrics.NewRegistry(), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Kill()
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	begunAt := time.Now()
	ended := make(chan error, 1)
	go func() { ended <- d.Stop(context.Background()) }()
	for !errors.Is(d.Ready(), notch.ErrClosed) {
		if time.Since(begunAt) > delay/2 {
			t.Fatalf("readiness: got %v, want %v", d.Ready(), notch.ErrClosed)
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(time.Until(begunAt.Add(delay / 2)))
	res, err := http.Get("http://" + d.CallerAddr() + "/")
	if err != nil {
		t.Fatalf("a request %v after the beginning: got %v, want an answer", time.Since(begunAt), err)
	}
	res.Body.Close()
	if !res.Close {
		t.Error("the answer: got that the connection stays open, want that it ends")
	}
	if err := <-ended; err != nil {
		t.Errorf("stop: got %v", err)
	}
	if got := time.Since(begunAt); got < delay {
		t.Errorf("the stop took %v, want at least %v", got, delay)
	}
}
