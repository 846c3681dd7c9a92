// Package load implements notchload, the load and experiment tool. The default run
// starts three daemons on loopback in one process, with simulated callers, backend
// servers, workers and a load balancer. It takes measurements and checks that the
// promises of the system hold.
package load

import (
	"context"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"tamaracknotch/experiment"
	"tamaracknotch/front"
)

// The exit codes of notchload.
const (
	exitOK     = 0
	exitFailed = 1 // a promise was violated, a target was missed, or the run failed
	exitUsage  = 2
)

type args struct {
	settings
	Flow       *workflowCmd   `arg:"subcommand:flow" help:"run a workflow through the protocol of an adapter and print its progress"`
	Experiment *experimentCmd `arg:"subcommand:experiment" help:"compare decision policies with their baselines in virtual time"`
}

type experimentCmd struct {
	Name  string `arg:"positional,required" help:"traffic, batch, control or capacity"`
	Full  bool   `arg:"--full" help:"simulate the full size of the users' systems; takes minutes"`
	Check bool   `arg:"--check" help:"exit with 1 if a target is missed"`
}

// workflowCmd has no flags of its own.
type workflowCmd struct{}

// WorkflowDemo runs a workflow through the protocol of an adapter. Run prints the
// progress to out, given the addresses of a daemon for callers and operators.
type WorkflowDemo struct {
	Name       string // name of the adapter
	NewAdapter func() front.ProtocolAdapter
	Run        func(ctx context.Context, callers, operators string, out io.Writer) error
}

// Description implements go-arg's Described.
func (args) Description() string {
	return "notchload runs three daemons in this process under load, retires a backend server, stops a daemon, checks every promise and prints measurements."
}

// Epilogue implements go-arg's Epilogued.
func (args) Epilogue() string {
	return "Exit codes: 0 every promise held; 1 a promise was violated, the run failed, or with --check a target was missed; 2 wrong usage."
}

// Main runs the program and returns its exit code.
func Main(argv []string, out, errOut io.Writer, demo WorkflowDemo) int {
	var a args
	parser, err := arg.NewParser(arg.Config{Program: "notchload", Out: errOut}, &a)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	err = parser.Parse(argv)
	if errors.Is(err, arg.ErrHelp) {
		parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return exitOK
	}
	if err == nil {
		err = a.settings.check()
	}
	if err != nil {
		fmt.Fprintln(errOut, "notchload:", err)
		return exitUsage
	}
	if a.Flow != nil {
		return runDemo(demo, out, errOut)
	}
	if a.Experiment != nil {
		return runExperiment(a, out, errOut)
	}
	return defaultRun(a.settings, out, errOut)
}

// runExperiment runs an experiment, prints its tables and returns the exit code.
func runExperiment(a args, out, errOut io.Writer) int {
	tables, err := experiment.Run(a.Experiment.Name, a.Experiment.Full, a.Seed)
	if err != nil {
		fmt.Fprintln(errOut, "notchload:", err)
		return exitUsage
	}
	if a.JSON != "" {
		if err := writeJSON(a.JSON, out, tables); err != nil {
			fmt.Fprintln(errOut, "notchload:", err)
			return exitFailed
		}
	}
	if a.JSON != "-" {
		for _, t := range tables {
			t.Print(out)
		}
	}
	if a.Experiment.Check && anyTargetMissed(tables) {
		return exitFailed
	}
	return exitOK
}

// anyTargetMissed reports whether a target of an experiment is missed.
func anyTargetMissed(tables []experiment.Table) bool {
	for _, t := range tables {
		for _, c := range t.Checks {
			if !c.Met() {
				return true
			}
		}
	}
	return false
}

// defaultRun runs the load, prints the report and returns the exit code.
func defaultRun(s settings, out, errOut io.Writer) int {
	report, err := runLoad(s, errOut)
	if err != nil {
		fmt.Fprintln(errOut, "notchload:", err)
		return exitFailed
	}
	if s.JSON != "" {
		if err := writeJSON(s.JSON, out, report); err != nil {
			fmt.Fprintln(errOut, "notchload:", err)
			return exitFailed
		}
	}
	if s.JSON != "-" {
		report.Print(out)
	}
	for _, p := range report.Promises {
		if p.Violations > 0 {
			return exitFailed
		}
	}
	return exitOK
}
