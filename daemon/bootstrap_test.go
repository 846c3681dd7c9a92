package daemon

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	notch "tamaracknotch"
	"tamaracknotch/wal"
)

// TestInterruptedBootstrap guards against a cluster that never begins: the process that began it
// ended, as its disk was full or the power was lost, between the identity and the first entries.
func TestInterruptedBootstrap(t *testing.T) {
	s := Defaults("a", "north")
	s.DataDir, s.Bootstrap, s.Lanes = t.TempDir(), true, 1
	s.Listen, s.Operators, s.Link = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	if _, err := wal.New(wal.Folder(s.DataDir)).Identity(wal.Identity{Storage: 7, Cluster: 9, Founder: true}); err != nil {
		t.Fatal(err)
	}
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
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, err := d.Engine().Submit(ctx, notch.Barrier{}); err != nil {
		t.Errorf("barrier: got %v, want a result", err)
	}
}
