// Notchload is the load and experiment tool.
package main

import (
	"context"
	"io"
	"os"

	"tamaracknotch/load"
	"tamaracknotch/platform"
)

func main() {
	demo := load.Demo{Name: platform.Name, Face: platform.New, Show: show}
	os.Exit(load.Main(os.Args[1:], os.Stdout, os.Stderr, demo))
}

func show(ctx context.Context, callers, operators string, out io.Writer) error {
	return platform.Demo{Callers: callers, Operators: operators, Out: out}.Run(ctx)
}
