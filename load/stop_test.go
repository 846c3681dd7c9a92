package load

import (
	"context"
	"io"
	"testing"
	"time"

	"tamaracknotch/daemon"
)

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
