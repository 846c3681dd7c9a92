package fake

import (
	"fmt"
	"testing"
	"time"

	notch "tamaracknotch"
)

// How long an agent that leaves goes on after its leave message.
const (
	heardLeaveTime   = 20 * time.Millisecond // the message is acknowledged
	unheardLeaveTime = 4 * time.Second       // no acknowledgement arrives
)

// TestAgentThatLeavesUnheard guards against a leave message that is taken for the end of its agent: the
// acknowledgement is lost, the agent runs on, and its tasks are started elsewhere (TWICE).
func TestAgentThatLeavesUnheard(t *testing.T) {
	silences := map[string]func(a *Agent){
		"no order arrives":              func(a *Agent) { a.Deaf = true },
		"no answer arrives":             func(a *Agent) { a.AnswersLost = true },
		"cut off after its message":     func(a *Agent) { a.CutOff = true },
		"unheard, but orders get there": func(*Agent) {},
	}
	outages := map[string]func(t *testing.T, w *workflowTest){
		"the leader stays":  func(*testing.T, *workflowTest) {},
		"the leader killed": func(t *testing.T, w *workflowTest) { w.Kill(w.leader(t)) },
	}
	for name, silence := range silences {
		for outageName, outage := range outages {
			t.Run(name+", "+outageName, func(t *testing.T) {
				t.Parallel()
				w := newWorkflowTest(t, 1)
				for _, a := range w.agents {
					a.RunTime = func(notch.TaskRef) time.Duration { return 20 * time.Second }
				}
				w.submitOne("long", notch.Stage{Count: 2 * len(w.agents)})
				w.Run(3 * time.Second)
				x := w.agents[0]
				if len(x.runs) == 0 {
					t.Fatalf("%s runs nothing", x.ID)
				}
				w.LeaveAgent(x, unheardLeaveTime)
				w.Run(100 * time.Millisecond) // the message arrives
				silence(x)
				outage(t, w)
				w.Run(time.Minute)
				w.checkStates(t, notch.WorkflowCompleted)
			})
		}
	}
}

// leave lets an agent leave, heard or unheard. Another one takes its address later.
func (w *workflowTest) leave(x *Agent) {
	if !x.Up {
		return
	}
	ends := heardLeaveTime
	if w.Rand.IntN(2) == 0 {
		x.Deaf, ends = true, unheardLeaveTime
	}
	w.LeaveAgent(x, ends)
	w.After(ends+time.Duration(w.Rand.Int64N(int64(5*time.Second))), func() {
		x.Deaf = false
		if !x.Up {
			w.renameAgent(x)
			w.StartAgent(x)
		}
	})
}

// TestRandomWorkflowsLeaving guards against tasks that are lost or run twice when agents leave, also
// unheard, among all other failures.
func TestRandomWorkflowsLeaving(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorkflowTest(t, seed)
			w.leaving = true
			w.run(t)
		})
	}
}
