package flow

import (
	"time"

	notch "tamaracknotch"
)

// The control of tasks that fill beside tasks that serve.
const (
	paceFull  = 100                    // percent of a task that fills
	overFrom  = 0.9                    // of the target, from which a tail counts as over it
	calmBelow = 0.6                    // of the target, below which paced tasks may get more
	blamed    = 0.5                    // of the highest risk on the agent, from which a task is paced
	barred    = 0.35                   // risk from which a paced task is rather moved
	patient   = 900 * time.Millisecond // after a pace before it is judged
	cheap     = 25                     // percent of progress that may be lost by a move
	using     = 300                    // milli-cpu from which a task that fills counts as active
)

// pace is how fast a task that fills may go, and since when.
type pace struct {
	percent int
	since   notch.Time
}

// look is what one answer to a hold says of tails and of those that may disturb them.
type look struct {
	tails   []notch.Tail // that began or are under their targets, to learn from
	over    []string     // images whose tails are over their targets
	served  []string
	worst   float64 // highest tail as a share of its target
	filling []notch.LiveRun
	active  []string // images that fill and use processors
}

// relieve paces the tasks that fill on an agent by the tails of those that serve.
func (s *stepper) relieve(a notch.Agent, live []notch.LiveRun) {
	l := s.look(live)
	if len(l.filling) == 0 {
		return
	}
	s.harm = s.harm.WithLook(l.tails, l.active)
	for _, f := range l.filling {
		if s.stageIs(f.Run).Image != "" {
			s.adjust(a, l, f)
		}
	}
}

// look sorts the runs of an agent, and notes which tails came over their targets.
func (s *stepper) look(live []notch.LiveRun) look {
	var out look
	for _, r := range live {
		st := s.stageIs(r.Run)
		switch {
		case st.Fills:
			out.filling = append(out.filling, r)
			if r.Reading >= using {
				out.active = append(out.active, st.Image)
			}
		case st.Target > 0:
			s.lookAtTail(&out, r, st)
		}
	}
	return out
}

func (s *stepper) lookAtTail(out *look, r notch.LiveRun, st notch.Stage) {
	share := float64(r.Reading) / float64(st.Target.Milliseconds())
	out.worst = max(out.worst, share)
	out.served = append(out.served, st.Image)
	_, was := s.over.Get(r.Run)
	switch {
	case share >= overFrom:
		out.over = append(out.over, st.Image)
		if !was {
			s.over = s.over.Set(r.Run, s.now)
			out.tails = append(out.tails, notch.Tail{Image: st.Image, Over: true})
		}
	case !was:
		out.tails = append(out.tails, notch.Tail{Image: st.Image})
	case share < calmBelow:
		s.over = s.over.Delete(r.Run)
	}
}

// adjust sets the pace of one task that fills, or moves it.
func (s *stepper) adjust(a notch.Agent, l look, f notch.LiveRun) {
	st := s.stageIs(f.Run)
	now, known := s.paces.Get(f.Run)
	if !known {
		now = pace{percent: paceFull}
	}
	settled := s.now.Sub(now.since) >= patient
	switch {
	case len(l.over) > 0 && now.percent > 0 && s.isBlamed(l, st.Image):
		s.setPace(a, f.Run, 0)
	case now.percent == 0 && settled && s.risk(l.served, st.Image) >= barred && (st.Saves || f.Progress <= cheap):
		s.stopRun(a, f.Run)
		s.count("runs-moved", 1)
	case now.percent < paceFull && settled && l.worst < calmBelow:
		s.setPace(a, f.Run, min(paceFull, now.percent+paceFull/2))
	}
}

// isBlamed reports whether an image is among the likely causes of the tails that are
// over their targets. Once those have gone on for long, every image is.
func (s *stepper) isBlamed(l look, image string) bool {
	own := s.risk(l.over, image)
	for _, other := range l.active {
		if own < blamed*s.risk(l.over, other) {
			return false
		}
	}
	return true
}

// risk is the highest one of an image that fills beside images that serve.
func (s *stepper) risk(serving []string, filling string) float64 {
	most := 0.0
	for _, image := range serving {
		most = max(most, s.harm.Risk(image, filling))
	}
	return most
}

func (s *stepper) setPace(a notch.Agent, ref notch.RunRef, percent int) {
	if !s.acts() {
		return
	}
	s.paces = s.paces.Set(ref, pace{percent: percent, since: s.now})
	s.call(a, notch.AgentOrder{Kind: notch.AgentPace, Token: s.leading.Term, Run: ref, Percent: percent})
}

// stageIs returns the stage of a run that isn't known to have ended, or a zero one.
func (s *stepper) stageIs(ref notch.RunRef) notch.Stage {
	if _, ok := s.run(ref); !ok {
		return notch.Stage{}
	}
	j, _ := s.jobs.Get(ref.Task.Flow)
	return j.Stage(ref.Task.Stage)
}
