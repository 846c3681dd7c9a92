// Notchctl is the command-line tool for operators.
package main

import (
	"os"

	"tamaracknotch/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) }
