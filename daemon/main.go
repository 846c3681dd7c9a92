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
	exitFailed = 1 // could not start, or requests were cut at the stop
	exitUsage  = 2 // a setting is wrong
)

// Description implements go-arg's Described.
func (Settings) Description() string {
	return "notchd carries callers' requests to backend servers and runs batch jobs on workers."
}

// Epilogue implements go-arg's Epilogued.
func (Settings) Epilogue() string {
	return "SIGTERM and SIGINT stop gracefully: unready, wait --drain-delay, take no new connections, finish requests.\n" +
		"Exit codes: 0 stopped; 1 could not start, or requests were cut at the stop; 2 a setting is wrong."
}

// collectAt is the growth of the heap, in percent, at which the garbage collector
// starts, where no limit of memory is set.
const collectAt = 300

// The parts of a limit of memory: the collector starts early, and works harder near
// softShare of the limit, as a process that passes it is ended.
const (
	collectLimitedAt = 100 // percent
	softShare        = 0.7
)

// tuneCollector trades memory for shorter tails as far as the limit in MB allows.
func tuneCollector(limitMB int) {
	if limitMB == 0 {
		debug.SetGCPercent(collectAt)
		return
	}
	debug.SetGCPercent(collectLimitedAt)
	debug.SetMemoryLimit(int64(float64(limitMB) * softShare * (1 << 20)))
}

// Main runs the program until a signal stops it and returns its exit code.
func Main(argv []string, out, errOut io.Writer, faces Faces) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	return Run(ctx, argv, out, errOut, faces)
}

// waitForStop waits for the end of ctx. A hang-up says that settings have changed;
// they are read at a start only, so that nothing in flight is disturbed.
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

// Run runs the program until ctx ends and returns its exit code.
func Run(ctx context.Context, argv []string, out, errOut io.Writer, faces Faces) int {
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
	tuneCollector(s.MemoryMB)
	var log *logrus.Logger
	app := fx.New(Module(s, faces, out), fx.Populate(&log))
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
