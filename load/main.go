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
	exitBroken = 1 // a promise was seen broken, or the run failed
	exitUsage  = 2
)

type args struct {
	settings
	Flow       *flowCmd       `arg:"subcommand:flow" help:"show a job made of stages on its way, through an adapter's protocol"`
	Experiment *experimentCmd `arg:"subcommand:experiment" help:"measure decisions in virtual time beside their baselines"`
}

type experimentCmd struct {
	Name  string `arg:"positional,required" help:"traffic, batch, control or capacity"`
	Full  bool   `arg:"--full" help:"at the users' full size; takes minutes"`
	Check bool   `arg:"--check" help:"exit with 1 if a target is missed"`
}

// flowCmd shows a job through one daemon.
type flowCmd struct{}

// Demo shows a job made of stages in the protocol of an adapter.
type Demo struct {
	Name string // of the adapter
	Face func() front.Face
	Show func(ctx context.Context, callers, operators string, out io.Writer) error
}

// Description implements go-arg's Described.
func (args) Description() string {
	return "notchload puts load on three daemons in this process, retires a backend server, checks every promise and measures."
}

// Epilogue implements go-arg's Epilogued.
func (args) Epilogue() string {
	return "Exit codes: 0 every promise held; 1 a promise was broken, the run failed, or with --check a target was missed; 2 wrong usage."
}

// Main runs the program and returns its exit code.
func Main(argv []string, out, errOut io.Writer, demo Demo) int {
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
		return showFlow(demo, out, errOut)
	}
	if a.Experiment != nil {
		return runExperiment(a, out, errOut)
	}
	return defaultRun(a.settings, out, errOut)
}

func runExperiment(a args, out, errOut io.Writer) int {
	tables, err := experiment.Run(a.Experiment.Name, a.Experiment.Full, a.Seed)
	if err != nil {
		fmt.Fprintln(errOut, "notchload:", err)
		return exitUsage
	}
	if a.JSON != "" {
		if err := writeJSON(a.JSON, out, tables); err != nil {
			fmt.Fprintln(errOut, "notchload:", err)
			return exitBroken
		}
	}
	if a.JSON != "-" {
		for _, t := range tables {
			t.Print(out)
		}
	}
	if a.Experiment.Check && missed(tables) {
		return exitBroken
	}
	return exitOK
}

// missed reports whether some target is missed.
func missed(tables []experiment.Table) bool {
	for _, t := range tables {
		for _, c := range t.Checks {
			if !c.Met() {
				return true
			}
		}
	}
	return false
}

func defaultRun(s settings, out, errOut io.Writer) int {
	report, err := run(s, errOut)
	if err != nil {
		fmt.Fprintln(errOut, "notchload:", err)
		return exitBroken
	}
	if s.JSON != "" {
		if err := writeJSON(s.JSON, out, report); err != nil {
			fmt.Fprintln(errOut, "notchload:", err)
			return exitBroken
		}
	}
	if s.JSON != "-" {
		report.Print(out)
	}
	for _, p := range report.Promises {
		if p.Violations > 0 {
			return exitBroken
		}
	}
	return exitOK
}
