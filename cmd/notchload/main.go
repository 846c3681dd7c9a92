// Notchload generates load and runs experiments.
package main

import (
	"context"
	"io"
	"os"

	"tamaracknotch/load"
	"tamaracknotch/platform"
)

func main() {
	demo := load.WorkflowDemo{Name: platform.Name, NewAdapter: platform.New, Run: runDemo}
	os.Exit(load.Main(os.Args[1:], os.Stdout, os.Stderr, demo))
}

// runDemo runs the demonstration of the platform's protocol against one daemon and
// prints its steps to out.
func runDemo(ctx context.Context, callers, operators string, out io.Writer) error {
	return platform.Demo{Callers: callers, Operators: operators, Out: out}.Run(ctx)
}
