package fake

import (
	"slices"
	"time"

	notch "tamaracknotch"
)

// account follows every job made of stages, naively: what callers sent, what agents
// ran, which ends were taken note of. It says which rule was broken.
type account struct {
	flows     map[string]notch.Flow
	attempts  map[string]int // failed runs that a task of the job may have
	sent      map[string]int // submissions
	refused   map[string]int // of these, refused for good
	cancelled map[string]time.Duration
	going     map[notch.TaskRef]int
	done      map[notch.TaskRef]bool // a run ended done
	counted   map[notch.TaskRef]bool // such an end was taken note of
	failed    map[notch.TaskRef]int  // failed ends that were taken note of
}

func newAccount() *account {
	return &account{
		flows: map[string]notch.Flow{}, attempts: map[string]int{}, sent: map[string]int{}, refused: map[string]int{},
		cancelled: map[string]time.Duration{}, going: map[notch.TaskRef]int{}, done: map[notch.TaskRef]bool{},
		counted: map[notch.TaskRef]bool{}, failed: map[notch.TaskRef]int{},
	}
}

// cancelBound is how long after an acknowledged cancel nothing may start any more.
const cancelBound = 3 * time.Second

func (c *account) stage(t notch.TaskRef) (notch.Stage, bool) {
	f, ok := c.flows[t.Flow]
	if !ok || t.Stage >= len(f.Stages) {
		return notch.Stage{}, false
	}
	return f.Stages[t.Stage], true
}

// began checks the start of a run.
func (c *account) began(s *Site, a *Agent, o notch.AgentOrder) {
	t := o.Run.Task
	f, known := c.flows[t.Flow]
	st, ok := c.stage(t)
	switch {
	case !known || !ok || t.Index >= st.Count:
		s.violate("UNASKED: %v was started on %s, and nobody sent it", t, a.ID)
		return
	case f.Spec != o.Spec:
		s.violate("UNASKED: %v was started with another specification", t)
	case c.sent[t.Flow] == c.refused[t.Flow]:
		s.violate("REFUSED: %v was started, and every submission was refused", t)
	case c.counted[t] && !st.Lasts:
		s.violate("TWICE: %v was started on %s after it was done", t, a.ID)
	case c.going[t] > 0 && !st.Copies:
		s.violate("TWICE: %v was started on %s while it runs elsewhere", t, a.ID)
	case c.failed[t] >= c.attempts[t.Flow] && !st.Lasts:
		s.violate("BUDGET: %v was started after %d failures", t, c.failed[t])
	}
	if at, ok := c.cancelled[t.Flow]; ok && s.Now() > at+cancelBound {
		s.violate("UNASKED: %v was started %v after its job was cancelled", t, s.Now()-at)
	}
	for _, before := range st.After {
		for i := range f.Stages[before].Count {
			if !c.done[notch.TaskRef{Flow: t.Flow, Round: t.Round, Stage: before, Index: i}] {
				s.violate("ORDER: %v was started before stage %d was done", t, before)
			}
		}
	}
	if a.Pool != f.Pool {
		s.violate("ROUTE: %v was started in pool %q", t, a.Pool)
	}
	if st.Label != "" && !slices.Contains(a.Labels, st.Label) {
		s.violate("ROUTE: %v was started without its label", t)
	}
	c.going[t]++
}

func (c *account) ended(ref notch.RunRef, done bool) {
	c.going[ref.Task]--
	c.done[ref.Task] = c.done[ref.Task] || done
}

func (c *account) noted(e notch.RunEnd) {
	switch e.Kind {
	case notch.RunDone:
		c.counted[e.Run.Task] = true
	case notch.RunFailed:
		c.failed[e.Run.Task]++
	}
}

// complete reports whether every task of a job has ended done.
func (c *account) complete(id string) bool {
	f := c.flows[id]
	for i, st := range f.Stages {
		for k := range st.Count {
			if !c.done[notch.TaskRef{Flow: id, Stage: i, Index: k}] {
				return false
			}
		}
	}
	return true
}
