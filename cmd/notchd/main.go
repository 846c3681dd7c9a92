// Notchd is the daemon. It serves callers as an entry and, if it has a data folder,
// can be a control replica.
package main

import (
	"os"

	"tamaracknotch/daemon"
	"tamaracknotch/platform"
)

func main() {
	adapters := daemon.ProtocolAdapters{platform.Name: platform.New}
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr, adapters))
}
