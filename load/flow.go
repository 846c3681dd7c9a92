package load

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"tamaracknotch/daemon"
)

// flowPatience bounds a demonstration.
const flowPatience = 30 * time.Second

// showFlow shows a job made of stages on its way through one daemon on loopback.
func showFlow(demo Demo, out, errOut io.Writer) int {
	if err := demonstrate(demo, out); err != nil {
		fmt.Fprintln(errOut, "notchload:", err)
		return exitBroken
	}
	return exitOK
}

func demonstrate(demo Demo, out io.Writer) error {
	if demo.Show == nil {
		return errors.New("no adapter is built in")
	}
	dir, err := os.MkdirTemp("", "notchload")
	if err != nil {
		return errors.Wrap(err, "make a data folder")
	}
	defer os.RemoveAll(dir)
	s := daemon.Defaults("entry-1", "north")
	s.Face, s.DataDir, s.Bootstrap, s.Replicas = demo.Name, dir, true, 1
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := daemon.New(s, log, metrics.NewRegistry(), daemon.Faces{demo.Name: demo.Face})
	if err != nil {
		return err
	}
	if err := d.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), flowPatience)
	defer cancel()
	defer d.Stop(ctx)
	return demo.Show(ctx, d.Callers(), d.Operators(), out)
}
