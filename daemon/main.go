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
	tuneCollector(s.MemoryMB)
	app := fx.New(Module(s, faces, errOut))
	if err := app.Start(ctx); err != nil {
		fmt.Fprintln(errOut, "notchd:", dig.RootCause(err))
		return exitFailed
	}
	<-ctx.Done()
	stop, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stop); err != nil {
		fmt.Fprintln(errOut, "notchd:", err)
		return exitFailed
	}
	return exitOK
}
