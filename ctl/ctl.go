// Package ctl implements notchctl, the operators' command.
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
	exitFailed   = 1 // the command failed; an edit may be sent again with its id
	exitUsage    = 2
	exitInvalid  = 3 // the table or job is invalid, or a file can't be read
	exitConflict = 4 // the table has a version other than the one that the edit is based on
	exitDiffers  = 5 // diff found differences
	exitWaiting  = 6 // accepted, but not in force everywhere within --timeout
)

type args struct {
	Servers []string `arg:"--servers,env:NOTCH_SERVERS" help:"daemons' addresses for operators; they are tried in turn" placeholder:"IP:PORT"`
	Callers []string `arg:"--callers,env:NOTCH_CALLERS" help:"daemons' addresses for callers, used by jobs" placeholder:"IP:PORT"`
	Key     string   `arg:"--key,env:NOTCH_OPERATOR_KEY" help:"operators' key" placeholder:"KEY"`
	JSON    bool     `arg:"--json" help:"print JSON"`

	Get     *getCmd   `arg:"subcommand:get" help:"print a table"`
	Check   *fileCmd  `arg:"subcommand:check" help:"check the file of a table without sending it"`
	Diff    *fileCmd  `arg:"subcommand:diff" help:"compare the file of a table with the table in force"`
	Put     *putCmd   `arg:"subcommand:put" help:"replace a table"`
	Status  *struct{} `arg:"subcommand:status" help:"list entries and the revision of the tables in force at each"`
	Workers *struct{} `arg:"subcommand:workers" help:"list workers and the resources reserved on them"`
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
	Base    *uint64       `arg:"--base" help:"version of the table that the edit is based on; default: the current one"`
	EditID  string        `arg:"--edit-id" help:"id of the edit; a resend with the same id gets the answer of the first send; default: random"`
	By      string        `arg:"--by,env:USER" help:"name of the editor, recorded with the edit"`
	Wait    bool          `arg:"--wait" help:"wait until the edit is in force on every entry"`
	Timeout time.Duration `arg:"--timeout" default:"30s" help:"longest time to wait with --wait"`
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
	return "Exit codes: 0 done; 1 failed, an edit may be sent again with its --edit-id; 2 wrong usage;\n" +
		"3 the table or job is invalid, nothing changed; 4 the table has another version than --base; 5 diff found differences;\n" +
		"6 accepted, but not in force everywhere within --timeout."
}

// command is one invocation of notchctl.
type command struct {
	args
	out, err    io.Writer
	operatorAPI *client.Client
	callerAPI   *client.Client
}

// defaultServers and defaultCallers are the default addresses of notchd.
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
	c.createClients()
	ctx := context.Background()
	if err := c.run(ctx); err != nil {
		return c.report(err)
	}
	return exitOK
}

func (c *command) createClients() {
	if len(c.Servers) == 0 {
		c.Servers = []string{defaultServers}
	}
	if len(c.Callers) == 0 {
		c.Callers = []string{defaultCallers}
	}
	c.operatorAPI = client.New(c.Servers, client.WithKey(c.Key))
	c.callerAPI = client.New(c.Callers)
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
		return c.showStatus(ctx)
	case c.Workers != nil:
		return c.listWorkers(ctx)
	case c.Dump != nil:
		return c.printRaw(c.operatorAPI.State(ctx))
	case c.Metrics != nil:
		return c.printRaw(c.operatorAPI.Metrics(ctx))
	default:
		return c.runJobs(ctx)
	}
}

// exitError is an error with its own exit code.
type exitError struct {
	code    int
	message string
}

// Error implements error.
func (e exitError) Error() string { return e.message }

// report prints an error and returns its exit code.
func (c *command) report(err error) int {
	var e exitError
	if errors.As(err, &e) {
		if e.message != "" {
			fmt.Fprintln(c.err, "notchctl:", e.message)
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

// printRaw prints a JSON answer with indentation.
func (c *command) printRaw(b json.RawMessage, err error) error {
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

// openInput opens a file; the name - stands for standard input.
func openInput(name string) (io.ReadCloser, error) {
	if name == "-" {
		return io.NopCloser(os.Stdin), nil
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, exitError{exitInvalid, err.Error()}
	}
	return f, nil
}
