package flow

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	notch "tamaracknotch"
)

// TestPendingDifferential compares the number of workflows that wait with a simple model, while runs are placed and
// end, and starts are answered or not. It guards against fewer than there are (rule MIXED).
func TestPendingDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestLeader(2)
		begun := map[string]bool{}
		for n := range 40 {
			s.advance(time.Second)
			if refs := s.part().liveRunRefs(); len(refs) > 0 && rapid.Bool().Draw(t, "answer") {
				ref := rapid.SampledFrom(refs).Draw(t, "started")
				kind := rapid.SampledFrom([]notch.AgentAnswerKind{notch.AgentOK, notch.AgentNoAnswer, notch.AgentBusy}).Draw(t, "kind")
				begun[ref.Task.Flow] = begun[ref.Task.Flow] || kind == notch.AgentOK
				s.answerStartOf(ref, kind)
			} else {
				c := drawCommand(t, s.part(), n)
				begunByEnds(begun, c)
				s.commit(c)
			}
			if got, want := s.part().pending("r"), s.part().countPending(begun); got != want {
				t.Fatalf("step %d: got %d workflows that wait, want %d", n, got, want)
			}
		}
	})
}

// liveRunRefs returns the runs of both agents that aren't known to have ended.
func (p Part) liveRunRefs() (out []notch.RunRef) {
	for _, id := range []string{"w0", "w1"} {
		for _, r := range p.load(id).runs {
			out = append(out, r.ref)
		}
	}
	return out
}

// answerStartOf sends an agent's answer to the start of a run.
func (s *testLeader) answerStartOf(ref notch.RunRef, kind notch.AgentAnswerKind) {
	w, _ := s.part().workflows.Get(ref.Task.Flow)
	task, _ := w.Task(ref.Task)
	r, _ := task.Run(ref.Number)
	s.step(notch.AgentAnswered{
		Life: r.Life, Order: notch.AgentOrder{Kind: notch.AgentStart, Token: 2 << incarnationBits, Run: ref}, SentAt: s.now,
		Answer: notch.AgentAnswer{Kind: kind},
	})
}

// begunByEnds adds the workflows of which an end shows that they have begun.
func begunByEnds(begun map[string]bool, c notch.Command) {
	ends, _ := c.(notch.EndRuns)
	for _, e := range ends.Ends {
		if e.Kind == notch.RunDone || e.Kind == notch.RunFailed {
			begun[e.Run.Task.Flow] = true
		}
	}
}

// countPending counts the workflows that haven't ended and aren't among those that have begun.
func (p Part) countPending(begun map[string]bool) (n int) {
	for it := p.workflows.Iterator(); !it.Done(); {
		if id, w, _ := it.Next(); !w.State.Ended() && !begun[id] {
			n++
		}
	}
	return n
}
