package flow

import (
	notch "tamaracknotch"
)

// The control of tasks that fill beside tasks that serve, by how far the worst tail
// on the agent is from its target.
const (
	paceFull    = 100  // percent of a task that fills
	paceStep    = 25   // percent given back at a time
	paceStop    = 0.95 // of the target, from which tasks that fill stand still
	paceSlow    = 0.75 // of the target, from which they go at half their pace
	paceRecover = 0.6  // of the target, below which they get more
)

// relieve paces the tasks that fill on an agent by the tails of those that serve.
func (s *stepper) relieve(a notch.Agent, live []notch.LiveRun) {
	worst, serving := 0.0, false
	var filling []notch.LiveRun
	for _, l := range live {
		st, ok := s.stageOf(l.Run)
		switch {
		case !ok:
		case st.Fills:
			filling = append(filling, l)
		case st.Target > 0:
			serving = true
			worst = max(worst, float64(l.Reading)/float64(st.Target.Milliseconds()))
		}
	}
	for _, l := range filling {
		now, known := s.paces.Get(l.Run)
		if !known {
			now = paceFull
		}
		if want := nextPace(now, worst, serving); want != now {
			s.pace(a, l.Run, want)
		}
	}
}

// nextPace returns the pace that follows now under the worst tail beside it.
func nextPace(now int, worst float64, serving bool) int {
	switch {
	case !serving:
		return paceFull
	case worst >= paceStop:
		return 0
	case worst >= paceSlow:
		return now / 2
	case worst < paceRecover:
		return min(paceFull, now+paceStep)
	}
	return now
}

func (s *stepper) pace(a notch.Agent, ref notch.RunRef, percent int) {
	if !s.acts() {
		return
	}
	s.paces = s.paces.Set(ref, percent)
	s.call(a, notch.AgentOrder{Kind: notch.AgentPace, Token: s.leading.Term, Run: ref, Percent: percent})
}

// stageOf returns the stage of a run that isn't known to have ended.
func (s *stepper) stageOf(ref notch.RunRef) (notch.Stage, bool) {
	if _, ok := s.run(ref); !ok {
		return notch.Stage{}, false
	}
	j, _ := s.jobs.Get(ref.Task.Flow)
	return j.Stage(ref.Task.Stage), true
}
