package load

import (
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"tamaracknotch/daemon"
)

// TestTestbedEndsAfterStop guards against a main job that panics at its end, because the daemon
// that it stopped gracefully is ended again with the testbed.
func TestTestbedEndsAfterStop(t *testing.T) {
	x, err := startTestbed(settings{Policies: daemon.DefaultPolicies(), Duration: minDuration, Quiet: true}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	addrs := x.callerAddrs()
	if err := x.daemons[2].Stop(context.Background()); err != nil {
		t.Errorf("stop: got %v, want none", err)
	}
	x.close()
	x.close()
	for _, a := range addrs {
		if conn, err := net.DialTimeout("tcp", a, time.Second); err == nil {
			conn.Close()
			t.Errorf("%s: got a connection after the end, want none", a)
		}
	}
	if _, err := os.Stat(x.dir); !os.IsNotExist(err) {
		t.Errorf("data folder: got %v, want that it is removed", err)
	}
}
