package flow

import (
	"slices"
	"strings"

	notch "tamaracknotch"
	"tamaracknotch/graph"
)

// Snapshot implements [notch.ReplicatedPart].
func (p Part) Snapshot() notch.PartSnapshot {
	var snap notch.WorkflowsSnapshot
	for it := p.workflows.Iterator(); !it.Done(); {
		_, w, _ := it.Next()
		snap.Flows = append(snap.Flows, w.Record())
	}
	slices.SortFunc(snap.Flows, func(a, b notch.WorkflowRecord) int { return strings.Compare(a.Flow.ID, b.Flow.ID) })
	for it := p.agents.Iterator(); !it.Done(); {
		_, a, _ := it.Next()
		snap.Agents = append(snap.Agents, *a)
	}
	return snap
}

// restore replaces the replicated state and rebuilds the data derived from it.
func (s *stepper) restore(snap notch.Snapshot) {
	for _, part := range snap.Images {
		workflows, ok := part.(notch.WorkflowsSnapshot)
		if !ok {
			continue
		}
		s.Part = s.withoutReplicatedState().withoutLeaderState()
		for _, a := range workflows.Agents {
			s.agents = s.agents.Set(a.ID, &a)
			s.holdAddress(a)
			s.holdHost(a)
		}
		var ended []*graph.Workflow
		for _, r := range workflows.Flows {
			w := graph.Restore(r)
			s.workflows = s.workflows.Set(r.Flow.ID, w)
			if w.State.Ended() {
				ended = append(ended, w)
			}
			s.indexWorkflow(nil, w)
			s.indexSuspects(w)
			w.EachRun(func(ref notch.TaskRef, _ notch.WorkflowTask, run notch.Run) {
				s.addRun(notch.RunRef{Task: ref, Number: run.Number}, run, &w.Flow.Stages[ref.Stage])
			})
		}
		slices.SortFunc(ended, func(a, b *graph.Workflow) int { return int(a.Ended.Sub(b.Ended)) })
		for _, w := range ended {
			s.ended = s.ended.Append(w.Flow.ID)
		}
	}
}
