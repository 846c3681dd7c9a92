package batch

import (
	"slices"

	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// Image implements [notch.ReplicatedPart].
func (p Part) Image() notch.Image {
	im := notch.BatchImage{Seq: p.seq}
	for it := p.jobs.Iterator(); !it.Done(); {
		_, j, _ := it.Next()
		im.Jobs = append(im.Jobs, j)
	}
	for it := p.tasks.Iterator(); !it.Done(); {
		_, t, _ := it.Next()
		im.Tasks = append(im.Tasks, t)
	}
	for it := p.workers.Iterator(); !it.Done(); {
		_, w, _ := it.Next()
		im.Workers = append(im.Workers, w)
	}
	for it := p.times.Iterator(); !it.Done(); {
		_, t, _ := it.Next()
		im.Times = append(im.Times, t)
	}
	return im
}

func (s *stepper) restore(snap notch.Snapshot) {
	for _, im := range snap.Images {
		if b, ok := im.(notch.BatchImage); ok {
			s.restoreImage(b)
		}
	}
	s.dirty = true
}

func (s *stepper) restoreImage(im notch.BatchImage) {
	s.Part = s.withoutState()
	s.seq = im.Seq
	for _, w := range im.Workers {
		s.workers = s.workers.Set(w.Name, w.WithUsed(notch.Resources{}))
	}
	for _, t := range im.Times {
		s.times = s.times.Set(t.Kind, t)
	}
	for _, j := range im.Jobs {
		s.jobs = s.jobs.Set(j.Job.ID, j)
	}
	tasks := immutable.NewMapBuilder[notch.TaskID, notch.Task](nil)
	for _, t := range im.Tasks {
		tasks.Set(t.ID, t)
		rec, _ := s.jobs.Get(t.Job)
		switch {
		case t.Phase == notch.Queued:
			s.enqueue(rec.Job, t)
		case t.Phase.Occupies():
			s.occupy(rec.Job, t)
		}
	}
	s.tasks = tasks.Map()
	s.ended = endedOrder(im.Jobs)
}

// endedOrder lists the ended jobs, the earliest first.
func endedOrder(jobs []notch.JobRecord) *immutable.List[string] {
	ended := slices.DeleteFunc(slices.Clone(jobs), func(j notch.JobRecord) bool { return j.Ended == 0 })
	slices.SortStableFunc(ended, func(a, b notch.JobRecord) int { return int(a.Ended.Sub(b.Ended)) })
	list := immutable.NewList[string]()
	for _, j := range ended {
		list = list.Append(j.Job.ID)
	}
	return list
}
