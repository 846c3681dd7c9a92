package load

import (
	"fmt"
	"sync"
)

// promise is one thing that always has to hold.
type promise string

// The promises, as the report names them.
const (
	hostLimits  promise = "no host or backend server beyond its limits"
	onePlace    promise = "no task in two places at once"
	onceOnly    promise = "every task counted exactly once"
	wholeAnswer promise = "each caller gets the whole answer to its own request"
	notRunTrue  promise = "a refusal that says not-run is true"
	atMostOnce  promise = "non-idempotent requests run at most once"
	drained     promise = "a leaving backend server gets nothing new after 2 s"
	noneCut     promise = "a graceful stop cuts off no request"
	inForce     promise = "an accepted edit is in force and never reverts"
)

var promises = []promise{hostLimits, onePlace, onceOnly, wholeAnswer, notRunTrue, atMostOnce, drained, noneCut, inForce}

// maxExamples bounds the violations that are told in full.
const maxExamples = 5

// checker counts checks and violations of promises.
type checker struct {
	mu         sync.Mutex
	checks     map[promise]int
	violations map[promise]int
	examples   []string
}

func newChecker() *checker {
	return &checker{checks: map[promise]int{}, violations: map[promise]int{}}
}

// check notes that a promise was looked at, and whether it held.
func (c *checker) check(p promise, held bool, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checks[p]++
	if held {
		return
	}
	c.violations[p]++
	if len(c.examples) < maxExamples {
		c.examples = append(c.examples, string(p)+": "+fmt.Sprintf(format, args...))
	}
}

func (c *checker) broken() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, v := range c.violations {
		n += v
	}
	return n
}
