// Package ctl is the operators' command, notchctl.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	notch "tamaracknotch"
	"tamaracknotch/api"
	"tamaracknotch/client"
)

// The exit codes.
const (
	exitOK       = 0
	exitFailed   = 1 // could not be done; an edit may be sent again with its id
	exitUsage    = 2
	exitInvalid  = 3 // the table or job breaks a rule, or a file can't be read
	exitConflict = 4 // the table has another version
	exitDiffers  = 5 // diff found differences
	exitWaiting  = 6 // accepted, but not in force everywhere within --timeout
)

type args struct {
	Servers []string `arg:"--servers,env:NOTCH_SERVERS" help:"operators' addresses of daemons; the first that answers is used" placeholder:"IP:PORT"`
	Callers []string `arg:"--callers,env:NOTCH_CALLERS" help:"callers' addresses of daemons, for jobs" placeholder:"IP:PORT"`
	Key     string   `arg:"--key,env:NOTCH_OPERATOR_KEY" help:"operators' key" placeholder:"KEY"`
	JSON    bool     `arg:"--json" help:"print JSON"`

	Get     *getCmd   `arg:"subcommand:get" help:"print a table"`
	Check   *fileCmd  `arg:"subcommand:check" help:"check a table's file without sending it"`
	Diff    *fileCmd  `arg:"subcommand:diff" help:"compare a table's file with the table in force"`
	Put     *putCmd   `arg:"subcommand:put" help:"replace a table"`
	Status  *struct{} `arg:"subcommand:status" help:"show entries and the revision that each obeys"`
	Workers *struct{} `arg:"subcommand:workers" help:"show workers and what is reserved on them"`
	Dump    *struct{} `arg:"subcommand:dump" help:"print the state of one daemon"`
	Metrics *struct{} `arg:"subcommand:metrics" help:"print the counters of one daemon"`
	Jobs    *jobsCmd  `arg:"subcommand:jobs" help:"submit, list, show and cancel jobs"`
}

type getCmd struct {
	Table string `arg:"positional,required" help:"routes or pools"`
}

type fileCmd struct {
	Table string `arg:"positional,required" help:"routes or pools"`
	File  string `arg:"positional,required" help:"YAML file"`
}

type putCmd struct {
	Table   string        `arg:"positional,required" help:"routes or pools"`
	File    string        `arg:"positional,required" help:"YAML file"`
	Base    *uint64       `arg:"--base" help:"version that the edit is based on; default: the present one"`
	EditID  string        `arg:"--edit-id" help:"id of the edit; a resend with the same id gets the first answer"`
	By      string        `arg:"--by,env:USER" help:"who edits"`
	Wait    bool          `arg:"--wait" help:"wait until the edit is in force on every entry"`
	Timeout time.Duration `arg:"--timeout" default:"30s" help:"longest wait"`
}

type jobsCmd struct {
	Submit *jobFileCmd `arg:"subcommand:submit" help:"submit the job in a JSON file"`
	List   *struct{}   `arg:"subcommand:list" help:"list jobs"`
	Show   *jobIDCmd   `arg:"subcommand:show" help:"show a job, its tasks and why it waits"`
	Cancel *jobIDsCmd  `arg:"subcommand:cancel" help:"cancel jobs"`
}

type jobFileCmd struct {
	File string `arg:"positional,required" help:"JSON file; - for standard input"`
}

type jobIDCmd struct {
	ID string `arg:"positional,required"`
}

type jobIDsCmd struct {
	IDs []string `arg:"positional,required"`
}

// Description implements go-arg's Described.
func (args) Description() string {
	return "notchctl edits the tables routes and pools of tamaracknotch and shows its state."
}

// Epilogue implements go-arg's Epilogued.
func (args) Epilogue() string {
	return "Exit codes: 0 done; 1 could not be done, an edit may be sent again with its --edit-id; 2 wrong usage;\n" +
		"3 the table or job breaks a rule, nothing changed; 4 the table has another version; 5 diff found differences;\n" +
		"6 accepted, but not in force everywhere within --timeout."
}

// command is one run of the program.
type command struct {
	args
	out, err io.Writer
	tables   *client.Client
	jobs     *client.Client
}

// defaultServers and defaultCallers are the defaults of notchd.
const (
	defaultServers = "127.0.0.1:8081"
	defaultCallers = "127.0.0.1:8080"
)

// Main runs the program and returns its exit code.
func Main(argv []string, out, errOut io.Writer) int {
	c := command{out: out, err: errOut}
	parser, err := arg.NewParser(arg.Config{Program: "notchctl", Out: errOut}, &c.args)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	switch err := parser.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return exitOK
	case err != nil:
		fmt.Fprintln(errOut, "notchctl:", err)
		return exitUsage
	case parser.Subcommand() == nil:
		parser.WriteHelp(errOut)
		return exitUsage
	}
	c.connect()
	ctx := context.Background()
	if err := c.run(ctx); err != nil {
		return c.report(err)
	}
	return exitOK
}

func (c *command) connect() {
	if len(c.Servers) == 0 {
		c.Servers = []string{defaultServers}
	}
	if len(c.Callers) == 0 {
		c.Callers = []string{defaultCallers}
	}
	c.tables = client.New(c.Servers, client.WithKey(c.Key))
	c.jobs = client.New(c.Callers)
}

func (c *command) run(ctx context.Context) error {
	switch {
	case c.Get != nil:
		return c.get(ctx)
	case c.Check != nil:
		return c.check()
	case c.Diff != nil:
		return c.diff(ctx)
	case c.Put != nil:
		return c.put(ctx)
	case c.Status != nil:
		return c.status(ctx)
	case c.Workers != nil:
		return c.workers(ctx)
	case c.Dump != nil:
		return c.raw(c.tables.State(ctx))
	case c.Metrics != nil:
		return c.raw(c.tables.Metrics(ctx))
	default:
		return c.runJobs(ctx)
	}
}

// exit is an error with an exit code of its own.
type exit struct {
	code int
	text string
}

// Error implements error.
func (e exit) Error() string { return e.text }

// report prints an error and returns the exit code that belongs to it.
func (c *command) report(err error) int {
	var e exit
	if errors.As(err, &e) {
		if e.text != "" {
			fmt.Fprintln(c.err, "notchctl:", e.text)
		}
		return e.code
	}
	fmt.Fprintln(c.err, "notchctl:", err)
	var p api.Problem
	if !errors.As(err, &p) {
		if errors.Is(err, notch.ErrInvalid) {
			return exitInvalid
		}
		return exitFailed
	}
	switch p.Status {
	case 409:
		return exitConflict
	case 400, 404, 422:
		return exitInvalid
	}
	return exitFailed
}

func (c *command) raw(b json.RawMessage, err error) error {
	if err != nil {
		return err
	}
	var v any
	if err := json.Unmarshal(b, &v); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	return c.printJSON(v)
}

func (c *command) printJSON(v any) error {
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func openFile(name string) (io.ReadCloser, error) {
	if name == "-" {
		return io.NopCloser(os.Stdin), nil
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, exit{exitInvalid, err.Error()}
	}
	return f, nil
}
