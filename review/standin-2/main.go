// Command standin-2 runs the scripts of review/REPORT-2.md: it starts the project's programs on loopback addresses with
// the commands of the deploy file, plays operator, clients and minions, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripts by name. A case returns what broke the rule, or nothing.
var cases = map[string]func(c *cluster, trouble bool) (broken string, err error){
	"late-lasting": lateLasting,
	"unseen-end":   unseenEnd,
	"late-copy":    lateCopy,
	"third-life":   thirdLife,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "minion" {
		runMinion(os.Args[2:])
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER, in the root folder of the project")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs a case and returns its exit code.
func runCase(name, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	root, _ := os.Getwd()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, trouble: %t", name, trouble)
	c, err := newCluster(root, rec)
	broken := ""
	if err == nil {
		broken, err = cases[name](c, trouble)
	}
	if c != nil {
		c.stop()
	}
	switch {
	case err != nil:
		rec.printf("the case couldn't run: %v", err)
		return exitNotRun
	case broken != "":
		rec.printf("broken: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	rec.printf("the rule held")
	return exitHeld
}
