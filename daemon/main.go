package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/dig"
	"go.uber.org/fx"
)

// The exit codes of notchd.
const (
	exitOK     = 0
	exitFailed = 1 // the daemon could not start, or its stop cut off requests
	exitUsage  = 2 // a setting is invalid
)

// Description implements go-arg's Described.
func (Settings) Description() string {
	return "notchd forwards callers' requests to backend servers and runs batch jobs on workers."
}

// Epilogue implements go-arg's Epilogued.
func (Settings) Epilogue() string {
	return "SIGTERM and SIGINT stop the daemon gracefully: it becomes unready, waits for --drain-delay, " +
		"accepts no new connections and finishes the requests in flight.\n" +
		"Exit codes: 0 stopped; 1 could not start, or the stop cut off requests; 2 a setting is invalid."
}

// gcPercent is the growth of the heap, in percent, that starts a garbage collection
// if no memory limit is set.
const gcPercent = 300

// With a memory limit, a smaller growth of the heap starts a garbage collection. Near
// softLimitShare of the limit the collector runs more often, because a process that
// exceeds the limit is killed.
const (
	gcPercentWithLimit = 100 // percent
	gcPercentReplica   = 400 // percent; for replicas, which allocate the most
	softLimitShare     = 0.7 // of the memory limit
)

// configureGC spends memory on a lower tail latency, as far as the memory limit in MB
// allows. Zero means no limit.
func configureGC(limitMB int, replica bool) {
	if limitMB == 0 {
		debug.SetGCPercent(gcPercent)
		return
	}
	percent := gcPercentWithLimit
	if replica {
		percent = gcPercentReplica
	}
	debug.SetGCPercent(percent)
	debug.SetMemoryLimit(int64(float64(limitMB) * softLimitShare * (1 << 20)))
}

// Main runs the daemon until a signal stops it, and returns the exit code.
func Main(argv []string, out, errOut io.Writer, adapters ProtocolAdapters) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	return Run(ctx, argv, out, errOut, adapters)
}

// waitForStop waits until ctx ends. SIGHUP means that settings may have changed. It is
// only logged: settings are read at the start alone, so that a change doesn't disturb
// requests in flight.
func waitForStop(ctx context.Context, hup <-chan os.Signal, log *logrus.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			log.Info("settings may have changed; they are read at the next start")
		}
	}
}

// Run runs the daemon until ctx ends, and returns the exit code.
func Run(ctx context.Context, argv []string, out, errOut io.Writer, adapters ProtocolAdapters) int {
	var s Settings
	parser, err := arg.NewParser(arg.Config{Program: "notchd", Out: errOut}, &s)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	switch err := parser.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(out)
		return exitOK
	case err != nil:
		fmt.Fprintln(errOut, "notchd:", err)
		return exitUsage
	}
	if err := s.Check(); err != nil {
		fmt.Fprintln(errOut, "notchd:", err)
		return exitUsage
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	configureGC(s.MemoryMB, s.DataDir != "")
	var log *logrus.Logger
	app := fx.New(Module(s, adapters, out), fx.Populate(&log))
	if err := app.Start(ctx); err != nil {
		fmt.Fprintln(errOut, "notchd:", dig.RootCause(err))
		return exitFailed
	}
	waitForStop(ctx, hup, log)
	stop, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stop); err != nil {
		fmt.Fprintln(errOut, "notchd:", err)
		return exitFailed
	}
	return exitOK
}
