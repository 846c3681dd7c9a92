// Notchload is the load and experiment tool.
package main

import (
	"os"

	"tamaracknotch/load"
)

func main() { os.Exit(load.Main(os.Args[1:], os.Stdout, os.Stderr)) }
