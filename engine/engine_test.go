package engine

import (
	"sync"
	"testing"
	"time"

	notch "tamaracknotch"
)

// callPart sends one order to an agent when the loop starts.
type callPart struct{ called bool }

// Step implements notch.Part.
func (p callPart) Step(notch.Event) (notch.Part, []notch.Effect) {
	if p.called {
		return p, nil
	}
	return callPart{called: true}, []notch.Effect{notch.CallAgent{Order: notch.AgentOrder{Kind: notch.AgentRenew}}}
}

// slowAgents answer when release is closed.
type slowAgents struct{ called, release chan struct{} }

func (a slowAgents) Call(notch.CallAgent) notch.AgentAnswer {
	close(a.called)
	<-a.release
	return notch.AgentAnswer{Kind: notch.AgentOK}
}

func (a slowAgents) Close() error { return nil }

// totals is a Sink that adds up what it gets, by name.
type totals struct {
	mu     sync.Mutex
	counts map[string]int64
	values chan string // names of the values
}

func (s *totals) Count(name string, delta int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[name] += delta
}

func (s *totals) count(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[name]
}

func (s *totals) Value(name string, _ int64) { s.values <- name }

func (s *totals) Log(notch.LogMessage) {}

// TestCallsToAgentsAreMeasured checks the metrics of a call while it is under way and after its
// answer.
func TestCallsToAgentsAreMeasured(t *testing.T) {
	sink := &totals{counts: map[string]int64{}, values: make(chan string, 1000)}
	agents := slowAgents{called: make(chan struct{}), release: make(chan struct{})}
	e := New(Config{Control: notch.NewState(callPart{}), Clock: &fixedClock{}, Sink: sink, Agents: agents}, nil)
	defer e.Close()
	<-agents.called
	if got, want := sink.count(metricCallsUnderWay), int64(1); got != want {
		t.Errorf("calls under way before the answer: got %d, want %d", got, want)
	}
	close(agents.release)
	timeout := time.After(10 * time.Second)
	for measured := false; !measured; {
		select {
		case name := <-sink.values:
			measured = name == "agent-call-us-hold"
		case <-timeout:
			t.Fatal("got no duration of the call, want one")
		}
	}
	if got, want := sink.count(metricCallsUnderWay), int64(0); got != want {
		t.Errorf("calls under way after the answer: got %d, want %d", got, want)
	}
}
