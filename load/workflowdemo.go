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

// demoTimeout bounds the demonstration of a workflow.
const demoTimeout = 30 * time.Second

// runDemo runs the demonstration of a workflow and returns the exit code.
func runDemo(demo WorkflowDemo, out, errOut io.Writer) int {
	if err := demonstrateWorkflow(demo, out); err != nil {
		fmt.Fprintln(errOut, "notchload:", err)
		return exitFailed
	}
	return exitOK
}

// demonstrateWorkflow starts one daemon on loopback and runs the demonstration
// against it.
func demonstrateWorkflow(demo WorkflowDemo, out io.Writer) error {
	if demo.Run == nil {
		return errors.New("this program is built without a protocol adapter")
	}
	dir, err := os.MkdirTemp("", "notchload")
	if err != nil {
		return errors.Wrap(err, "create the data folder")
	}
	defer os.RemoveAll(dir)
	s := daemon.Defaults("entry-1", "north")
	s.Protocol, s.DataDir, s.Bootstrap, s.Replicas = demo.Name, dir, true, 1
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := daemon.New(s, log, metrics.NewRegistry(), daemon.ProtocolAdapters{demo.Name: demo.NewAdapter})
	if err != nil {
		return err
	}
	if err := d.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	defer d.Stop(ctx)
	return demo.Run(ctx, d.CallerAddr(), d.OperatorAddr(), out)
}
