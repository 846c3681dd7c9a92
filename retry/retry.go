// Package retry decides whether a request is sent again.
package retry

import (
	"time"

	notch "tamaracknotch"
)

// Unlimited repeats whatever may be repeated. It is the naive baseline.
type Unlimited struct{}

// Retry implements [notch.Retrier].
func (Unlimited) Retry(s notch.RetryState) bool { return s.Repeat && s.Remaining > 0 }

// Earn implements [notch.Retrier].
func (Unlimited) Earn() float64 { return 0 }

// Budgeted repeats within a budget that grows with first sends, so that a
// failure of many backend servers isn't multiplied.
type Budgeted struct {
	PerRequest float64 // retries earned by each first send
	Attempts   int     // most sends of one request
	Reserve    time.Duration
	NoHedge    bool // send a second time after a failure only
}

// Default lets all sends stay below 1.15 times the requests.
var Default = Budgeted{PerRequest: 0.15, Attempts: 4, Reserve: 2 * time.Millisecond}

// MaxTokens bounds the budget that a quiet time may gather.
const MaxTokens = 20

// Retry implements [notch.Retrier].
func (r Budgeted) Retry(s notch.RetryState) bool {
	return s.Repeat && s.Tokens >= 1 && s.Attempts < r.Attempts && s.Remaining > r.Reserve
}

// Earn implements [notch.Retrier].
func (r Budgeted) Earn() float64 { return r.PerRequest }

// Hedge implements [notch.Retrier].
func (Unlimited) Hedge(time.Duration, int) (time.Duration, bool) { return 0, false }

// hedgeSamples is the number of samples from which a tail is trusted.
const hedgeSamples = 50

// Hedge implements [notch.Retrier]. Some 5% of the requests take longer than their
// tail, which the budget covers.
func (r Budgeted) Hedge(tail time.Duration, samples int) (time.Duration, bool) {
	return tail, !r.NoHedge && samples >= hedgeSamples && tail > 0
}

// New returns the named policy.
func New(name string) (notch.Retrier, bool) {
	switch name {
	case "budget":
		return Default, true
	case "no-hedge":
		r := Default
		r.NoHedge = true
		return r, true
	case "unlimited":
		return Unlimited{}, true
	}
	return nil, false
}

// Names lists the policies, the default first.
func Names() []string { return []string{"budget", "no-hedge", "unlimited"} }
