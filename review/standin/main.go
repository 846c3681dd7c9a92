// Command standin plays one case of the review: it starts the daemons of a small deployment on
// loopback addresses, plays the operator, a client and the minions, and judges one rule.
//
// Usage: standin CASE RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// couldn't be played. With TROUBLE=0 the case has no disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// play is a case that is being played.
type play struct {
	*cluster
	fleet   *fleet
	caller  *caller
	trouble bool
}

// cases holds the cases by name. Each returns what broke the rule, or an empty string.
var cases = map[string]func(p *play) (broken string, err error){
	"late":      playLateOrder,
	"given-up":  playGivenUp,
	"held-back": playHeldBack,
	"leaving":   playLeaving,
	"kind":      playOtherKind,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitUnable)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(f func(p *play) (string, error), path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Println("can't be played:", err)
		return exitUnable
	}
	defer rec.file.Close()
	c, err := newCluster(rec)
	if err != nil {
		fmt.Println("can't be played:", err)
		return exitUnable
	}
	defer c.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		c.stop()
		os.Exit(exitUnable)
	}()
	p := &play{cluster: c, caller: &caller{c: c}, trouble: os.Getenv("TROUBLE") != "0"}
	broken, err := f(p)
	if ended := c.ended(); err == nil && len(ended) > 0 {
		err = fmt.Errorf("daemons ended by themselves: %v", ended)
	}
	switch {
	case err != nil:
		rec.add("the case can't be played: %v", err)
		fmt.Println("can't be played:", err)
		return exitUnable
	case broken != "":
		rec.add("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	rec.add("held")
	fmt.Println("held")
	return exitHeld
}

// begin starts the daemons and n minions and sends the first configuration. Length is how long the
// tasks run.
func (p *play) begin(n, maxAttempts int, length func(task string) time.Duration, onStart func(m *minion, k taskKey)) error {
	if err := p.startAll(); err != nil {
		return err
	}
	p.fleet = &fleet{c: p.cluster, service: serviceName, cpu: 64000, length: length, onStart: onStart, minions: map[string]*minion{}}
	if !p.caller.configure(configuration(7, maxAttempts), 25*time.Second) {
		return fmt.Errorf("no configuration was acknowledged")
	}
	for i := range n {
		if _, err := p.fleet.newLife(i, life{}); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second) // all minions are known, and the deployment is calm
	return nil
}
