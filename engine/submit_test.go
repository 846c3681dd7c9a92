package engine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	notch "tamaracknotch"
	"tamaracknotch/gateway"
)

// systemClock is the clock of the system.
type systemClock struct{}

func (systemClock) Now() notch.Time  { return notch.TimeOf(time.Now()) }
func (systemClock) UnixMilli() int64 { return time.Now().UnixMilli() }

// Guards against a caller that can't tell whether to retry: it was told that the outcome is unknown
// although its command was never sent.
func TestSubmitWithoutLeaderIsNotRun(t *testing.T) {
	// In virtual time: the answer comes at a tick, which a busy machine may delay beyond the margin.
	synctest.Test(t, func(t *testing.T) {
		sink := &totals{counts: map[string]int64{}, values: make(chan string, 1000)}
		e := New(Config{Control: notch.NewState(gateway.New("a")), Clock: systemClock{}, Sink: sink}, nil)
		defer e.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 4*answerMargin+tickInterval/2)
		defer cancel()
		_, got := e.Submit(ctx, notch.Noop{})
		if want := notch.ErrNotRun; !errors.Is(got, want) {
			t.Errorf("error: got %v, want %v", got, want)
		}
	})
}
