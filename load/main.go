package load

import (
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"
)

// The exit codes of notchload.
const (
	exitOK     = 0
	exitBroken = 1 // a promise was seen broken, or the run failed
	exitUsage  = 2
)

type args struct {
	settings
}

// Description implements go-arg's Described.
func (args) Description() string {
	return "notchload puts load on three daemons in this process, retires a backend server, checks every promise and measures."
}

// Epilogue implements go-arg's Epilogued.
func (args) Epilogue() string {
	return "Exit codes: 0 every promise held; 1 a promise was broken or the run failed; 2 wrong usage."
}

// Main runs the program and returns its exit code.
func Main(argv []string, out, errOut io.Writer) int {
	var a args
	parser, err := arg.NewParser(arg.Config{Program: "notchload", Out: errOut}, &a)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	err = parser.Parse(argv)
	if errors.Is(err, arg.ErrHelp) {
		parser.WriteHelp(out)
		return exitOK
	}
	if err == nil {
		err = a.settings.check()
	}
	if err != nil {
		fmt.Fprintln(errOut, "notchload:", err)
		return exitUsage
	}
	return defaultRun(a.settings, out, errOut)
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
