package load

import (
	"fmt"
	"sync"
)

// promise is a property of the system that must always hold.
type promise string

// The promises, with their texts in the report.
const (
	hostLimits        promise = "no host or backend server beyond its limits"
	oneAttemptAtATime promise = "no task in two places at once"
	countedOnce       promise = "every task counted exactly once"
	wholeAnswer       promise = "each caller gets the whole answer to its own request"
	notRunIsTrue      promise = "a refusal that says not-run is true"
	atMostOnce        promise = "non-idempotent requests run at most once"
	drainedInTime     promise = "a leaving backend server gets nothing new after 2 s"
	noRequestCut      promise = "a graceful stop cuts off no request"
	unreadyAtOnce     promise = "an entry that stops is unready at once"
	everyAnswer       promise = "every other request gets an answer"
	editInForce       promise = "an accepted edit is in force and never reverts"
)

var promises = []promise{hostLimits, oneAttemptAtATime, countedOnce, wholeAnswer, notRunIsTrue, atMostOnce, drainedInTime, noRequestCut, unreadyAtOnce, everyAnswer, editInForce}

// maxExamples is the number of violations that the report describes.
const maxExamples = 5

// checker counts the checks and the violations of each promise.
type checker struct {
	mu         sync.Mutex
	checks     map[promise]int
	violations map[promise]int
	examples   []string
}

func newChecker() *checker {
	return &checker{checks: map[promise]int{}, violations: map[promise]int{}}
}

// check counts a check of a promise, and a violation unless held is set. The format
// and its arguments describe the violation.
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

// violationCount returns the number of violations of all promises.
func (c *checker) violationCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, v := range c.violations {
		n += v
	}
	return n
}
