// Notchd is the daemon: an entry for callers and, with a data folder, a control
// replica.
package main

import (
	"os"

	"tamaracknotch/daemon"
	"tamaracknotch/platform"
)

func main() {
	faces := daemon.Faces{platform.Name: platform.New}
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr, faces))
}
