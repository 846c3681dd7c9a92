package fake

import (
	"fmt"
	"slices"
	"strings"
	"time"

	notch "tamaracknotch"
)

// runCrashed is the kind of end of a run whose agent has ended with it. It is in no list of ends.
const runCrashed notch.RunEndKind = "crashed"

// runRecord is a run as its agent has seen it.
type runRecord struct {
	ref            notch.RunRef
	agent          notch.AgentIncarnation
	orderedAt      time.Duration // when the order was sent
	startedAt      time.Duration
	endedAt        time.Duration // zero: it is in progress
	kind           notch.RunEndKind
	acknowledgedAt time.Duration // when the end was acknowledged and counted; zero: it wasn't
}

// String describes r in one line.
func (r *runRecord) String() string {
	out := fmt.Sprintf("%v run %d on %s (incarnation %d), ordered at %v, from %v", r.ref.Task, r.ref.Number, r.agent.Agent, r.agent.Born, r.orderedAt, r.startedAt)
	if r.endedAt != 0 {
		out += fmt.Sprintf(" to %v (%s)", r.endedAt, r.kind)
	}
	if r.acknowledgedAt != 0 {
		out += fmt.Sprintf(", acknowledged at %v", r.acknowledgedAt)
	}
	return out
}

// runHistory holds all runs of each task in the order of their starts.
type runHistory map[notch.TaskRef][]*runRecord

// latest returns the latest record of a run on an incarnation of an agent, or nil.
func (h runHistory) latest(agent notch.AgentIncarnation, ref notch.RunRef) *runRecord {
	for _, r := range slices.Backward(h[ref.Task]) {
		if r.ref == ref && r.agent == agent {
			return r
		}
	}
	return nil
}

// failuresBefore returns how many runs of a task ended as failed by a time and have been acknowledged since.
func (h runHistory) failuresBefore(t notch.TaskRef, at time.Duration) int {
	n := 0
	for _, r := range h[t] {
		if r.kind == notch.RunFailed && r.endedAt <= at && r.acknowledgedAt != 0 {
			n++
		}
	}
	return n
}

// describe lists the runs of a task, one a line.
func (h runHistory) describe(t notch.TaskRef) string {
	var out strings.Builder
	for _, r := range h[t] {
		fmt.Fprintln(&out, "  ", r)
	}
	return out.String()
}
