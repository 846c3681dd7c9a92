// Notchd is the daemon: an entry for callers and, with a data folder, a control
// replica.
package main

import (
	"os"

	"tamaracknotch/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
