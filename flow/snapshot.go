package flow

import (
	"slices"
	"strings"

	notch "tamaracknotch"
	"tamaracknotch/graph"
)

// Image implements [notch.ReplicatedPart].
func (p Part) Image() notch.Image {
	var im notch.FlowsImage
	for it := p.jobs.Iterator(); !it.Done(); {
		_, j, _ := it.Next()
		im.Flows = append(im.Flows, j.Record())
	}
	slices.SortFunc(im.Flows, func(a, b notch.FlowRecord) int { return strings.Compare(a.Flow.ID, b.Flow.ID) })
	for it := p.agents.Iterator(); !it.Done(); {
		_, a, _ := it.Next()
		im.Agents = append(im.Agents, a)
	}
	return im
}

// restore replaces the replicated state and derives the rest from it.
func (s *stepper) restore(snap notch.Snapshot) {
	for _, im := range snap.Images {
		flows, ok := im.(notch.FlowsImage)
		if !ok {
			continue
		}
		s.Part = s.withoutState().withoutLead()
		for _, a := range flows.Agents {
			s.agents = s.agents.Set(a.ID, a)
		}
		var ended []*graph.Job
		for _, r := range flows.Flows {
			j := graph.Restore(r)
			s.jobs = s.jobs.Set(r.Flow.ID, j)
			if j.State.Ended() {
				ended = append(ended, j)
			}
			if !j.State.Ended() || j.Live() > 0 {
				s.open = s.open.Set(r.Flow.ID, j.At)
			}
			j.Runs(func(ref notch.TaskRef, _ notch.FlowTask, run notch.Run) {
				s.occupy(run.Life.Agent, notch.RunRef{Task: ref, Number: run.Number}, j.Flow.Stages[ref.Stage])
			})
		}
		slices.SortFunc(ended, func(a, b *graph.Job) int { return int(a.Ended.Sub(b.Ended)) })
		for _, j := range ended {
			s.ended = s.ended.Append(j.Flow.ID)
		}
	}
}
