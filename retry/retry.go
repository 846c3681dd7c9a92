// Package retry implements the policies that decide whether a request is sent again.
package retry

import (
	"time"

	notch "tamaracknotch"
)

// Unlimited retries every request that is safe to send again until its deadline has
// passed, and never hedges. It is the baseline for comparisons.
type Unlimited struct{}

// Retry implements [notch.Retrier].
func (Unlimited) Retry(s notch.RetryState) bool { return s.Repeatable && s.Remaining > 0 }

// TokensPerRequest implements [notch.Retrier].
func (Unlimited) TokensPerRequest() float64 { return 0 }

// Budgeted retries and hedges within a budget that grows with the number of first sends,
// so that retries don't multiply the load when many backend servers fail.
type Budgeted struct {
	PerRequest   float64       // tokens added to the budget by each first send; a retry costs 1
	MaxAttempts  int           // limit on the sends of one request
	MinRemaining time.Duration // a retry needs more time than this until the deadline
	NoHedge      bool          // retry after failures only; never hedge
}

// DefaultBudgeted keeps the number of sends below 1.15 times the number of requests.
var DefaultBudgeted = Budgeted{PerRequest: 0.15, MaxAttempts: 4, MinRemaining: 2 * time.Millisecond}

// MaxTokens bounds the budget that accumulates while there are few retries.
const MaxTokens = 20

// Retry implements [notch.Retrier].
func (r Budgeted) Retry(s notch.RetryState) bool {
	return s.Repeatable && s.Tokens >= 1 && s.Attempts < r.MaxAttempts && s.Remaining > r.MinRemaining
}

// TokensPerRequest implements [notch.Retrier].
func (r Budgeted) TokensPerRequest() float64 { return r.PerRequest }

// Hedge implements [notch.Retrier].
func (Unlimited) Hedge(time.Duration, int) (time.Duration, bool) { return 0, false }

// minHedgeSamples is the number of latency samples from which the estimate of a tail is
// accurate enough to hedge by.
const minHedgeSamples = 50

// Hedge implements [notch.Retrier]. It hedges after the tail latency, the 95th
// percentile. About 5% of the requests take longer than that, which the budget covers.
func (r Budgeted) Hedge(tail time.Duration, samples int) (time.Duration, bool) {
	return tail, !r.NoHedge && samples >= minHedgeSamples && tail > 0
}

// New returns the policy with the given name.
func New(name string) (notch.Retrier, bool) {
	switch name {
	case "budget":
		return DefaultBudgeted, true
	case "no-hedge":
		r := DefaultBudgeted
		r.NoHedge = true
		return r, true
	case "unlimited":
		return Unlimited{}, true
	}
	return nil, false
}

// Names lists the names that New accepts, the default first.
func Names() []string { return []string{"budget", "no-hedge", "unlimited"} }
