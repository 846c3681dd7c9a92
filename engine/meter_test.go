package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	notch "tamaracknotch"
	"tamaracknotch/usage"
)

// textSink writes what it gets as text.
type textSink struct{ out io.Writer }

func (s *textSink) Count(name string, delta int64) { fmt.Fprintln(s.out, "count", name, delta) }
func (s *textSink) Value(name string, v int64)     { fmt.Fprintln(s.out, "value", name, v) }
func (s *textSink) Log(m notch.LogMessage) {
	fmt.Fprint(s.out, "log ", m.Text)
	for _, f := range m.Fields {
		fmt.Fprintf(s.out, " %s=%s", f.Name, f.Value)
	}
	fmt.Fprintln(s.out)
}

// meterScript drives a loopMeter in virtual time.
type meterScript struct {
	meter *loopMeter
	sink  *textSink
	now   notch.Time
}

type meterScriptKey struct{}

// usage is that of a process that uses half a core, a quarter of it for garbage collection.
func (s *meterScript) usage() usage.Usage {
	processor := time.Duration(s.now) / 2
	return usage.Usage{Processor: processor, RuntimeBusy: processor, GC: processor / 4, Goroutines: 7}
}

func (s *meterScript) pass(ts *testscript.TestScript, duration string) {
	d, err := time.ParseDuration(duration)
	ts.Check(err)
	s.now = s.now.Add(d)
}

var meterEvents = map[string]notch.Body{"Tick": notch.Tick{}, "Flush": notch.Flush{}, "AgentAnswered": notch.AgentAnswered{},
	"AgentAnsweredStart": notch.AgentAnswered{Order: notch.AgentOrder{Kind: notch.AgentStart}}}

var meterMessages = map[string]notch.Message{"AppendReply": notch.AppendReply{}, "VoteRequest": notch.VoteRequest{}}

// meterCommands are the commands of the scripts in testdata. They print what the sink gets.
//
//	idle DURATION          lets time pass
//	batch N WAIT           begins a batch of N events, the oldest of which has waited for WAIT
//	event NAME DURATION    begins an event that takes the duration
//	message NAME DURATION  the same with a message from another daemon
//	plan JSON              the present event made a plan
//	end                    ends the batch
var meterCommands = map[string]func(s *meterScript, ts *testscript.TestScript, args []string){
	"idle": func(s *meterScript, ts *testscript.TestScript, args []string) { s.pass(ts, args[0]) },
	"batch": func(s *meterScript, ts *testscript.TestScript, args []string) {
		n, err := strconv.Atoi(args[0])
		ts.Check(err)
		wait, err := time.ParseDuration(args[1])
		ts.Check(err)
		s.meter.beginBatch(s.now, n, s.now.Add(-wait))
	},
	"event": func(s *meterScript, ts *testscript.TestScript, args []string) {
		s.meter.beginEvent(s.now, meterEvents[args[0]])
		s.pass(ts, args[1])
	},
	"message": func(s *meterScript, ts *testscript.TestScript, args []string) {
		s.meter.beginEvent(s.now, notch.MessageReceived{Message: meterMessages[args[0]]})
		s.pass(ts, args[1])
	},
	"plan": func(s *meterScript, ts *testscript.TestScript, args []string) {
		var p notch.PlanMade
		ts.Check(json.Unmarshal([]byte(args[0]), &p))
		s.meter.planMade(p)
	},
	"end": func(s *meterScript, _ *testscript.TestScript, _ []string) { s.meter.endBatch(s.now) },
}

func TestMeterScripts(t *testing.T) {
	commands := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range meterCommands {
		commands[name] = func(ts *testscript.TestScript, _ bool, args []string) {
			s := ts.Value(meterScriptKey{}).(*meterScript)
			s.sink.out = ts.Stdout()
			run(s, ts, args)
		}
	}
	setup := func(e *testscript.Env) error {
		s := &meterScript{sink: &textSink{}}
		s.meter = newLoopMeter(s.sink, s.now, s.usage)
		e.Values[meterScriptKey{}] = s
		return nil
	}
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: setup, Cmds: commands})
}

// discard is a Sink that keeps nothing.
type discard struct{}

func (discard) Count(string, int64)  {}
func (discard) Value(string, int64)  {}
func (discard) Log(notch.LogMessage) {}

// measureBatch measures a batch of two events.
func measureBatch(m *loopMeter, answered, reply notch.Body) {
	m.beginBatch(1, 2, 0)
	m.beginEvent(2, answered)
	m.beginEvent(3, reply)
	m.beginEvent(4, notch.Flush{})
	m.endBatch(5)
}

// TestMeterAllocatesNothing guards against a meter that adds to the load that it measures.
func TestMeterAllocatesNothing(t *testing.T) {
	m := newLoopMeter(discard{}, 0, usage.Read)
	var answered, reply notch.Body = notch.AgentAnswered{}, notch.MessageReceived{Message: notch.AppendReply{}}
	if got := testing.AllocsPerRun(100, func() { measureBatch(m, answered, reply) }); got != 0 {
		t.Errorf("got %v allocations for a batch, want 0", got)
	}
}

// BenchmarkMeter measures what the meter costs for a batch of two events and its flush.
func BenchmarkMeter(b *testing.B) {
	m := newLoopMeter(discard{}, 0, usage.Read)
	var answered, reply notch.Body = notch.AgentAnswered{}, notch.MessageReceived{Message: notch.AppendReply{}}
	for b.Loop() {
		measureBatch(m, answered, reply)
	}
}

// fixedClock is a clock that stands still until it is set.
type fixedClock struct{ now notch.Time }

func (c *fixedClock) Now() notch.Time  { return c.now }
func (c *fixedClock) UnixMilli() int64 { return 0 }

func TestMailboxKnowsItsOldestItem(t *testing.T) {
	clock := &fixedClock{now: 10}
	m := newMailbox[int](clock)
	m.put(1)
	clock.now = 20
	m.put(2)
	if got, want := m.take().oldestAt, notch.Time(10); got != want {
		t.Errorf("two items: got %v, want %v", got, want)
	}
	clock.now = 30
	m.put(3)
	if got, want := m.take().oldestAt, notch.Time(30); got != want {
		t.Errorf("after they were taken: got %v, want %v", got, want)
	}
}
