package flow

import (
	"cmp"
	"math"
	"slices"
	"time"

	notch "tamaracknotch"
)

// The control of tasks that fill beside tasks that serve.
const (
	keepHeadroom = 1.0                     // of every tail: what its target needs
	lookAhead    = 700 * time.Millisecond  // for which a pace has to hold
	overLong     = 700 * time.Millisecond  // over the target, after which nothing may fill
	paceFull     = 100                     // percent of a task that fills
	paceLeast    = 10                      // percent below which it stands still
	paceChange   = 8                       // percent below which a change isn't worth an order
	stuck        = 1200 * time.Millisecond // at a stand, before a task is moved
	cheap        = 25                      // percent of progress that may be lost by a move
	atWork       = 100                     // percent of a task that serves its users
)

// mix is what is known of the tasks that fill an agent from the looks at it.
type mix struct {
	loads []notch.Load // at the last look
	over  notch.Time   // since when a tail is over its target; zero: none is
	shut  bool         // a tail stays over its target
	mixed bool         // tasks fill there beside tasks that serve
}

// pace is how fast a task that fills may go, and since when.
type pace struct {
	percent int
	since   notch.Time
}

// look is what one answer to a hold says of tails and of those that may disturb them.
type look struct {
	notch.Look
	over    bool // a tail is over its target
	filling []notch.LiveRun
}

// relieve learns from an agent's lists, and paces the tasks that fill there so that
// those that serve can bear them.
func (s *stepper) relieve(a notch.Agent, live []notch.LiveRun) {
	l := s.look(a, live)
	m, known := s.mixes.Get(a.ID)
	if len(l.Tails) == 0 && len(l.filling) == 0 && !known {
		return
	}
	l.Moved = moved(m.loads, l.Loads)
	s.interplay = s.interplay.WithLook(l.Look)
	m = m.after(l, s.now)
	s.mixes = s.mixes.Set(a.ID, m)
	want := s.paced(a, l, s.served(a.ID))
	for i, f := range l.filling {
		s.adjust(a, f, want[i])
	}
}

// after returns m after a look. While a tail stays over its target nothing may fill, for
// it must not stay there for long by what fills beside it.
func (m mix) after(l look, now notch.Time) mix {
	m.loads, m.mixed = l.Loads, len(l.Tails) > 0 && len(l.filling) > 0
	switch {
	case !l.over:
		m.over, m.shut = 0, false
	case m.over == 0:
		m.over = now
	case now.Sub(m.over) >= overLong:
		m.shut = true
	}
	return m
}

// look sorts the runs of an agent.
func (s *stepper) look(a notch.Agent, live []notch.LiveRun) look {
	out := look{Look: notch.Look{At: s.now}}
	for _, r := range live {
		st := s.stageIs(r.Run)
		switch {
		case st.Fills:
			out.filling = append(out.filling, r)
			out.Loads = withLoad(out.Loads, notch.Load{Image: st.Image, Share: shareOf(a, int64(r.Reading))})
		case st.Target > 0 && r.Progress == atWork && r.Reading > 0:
			head := float64(st.Target.Milliseconds()) / float64(r.Reading)
			out.over = out.over || head < 1
			out.Tails = append(out.Tails, notch.Tail{Group: groupOf(r.Run.Task), Image: st.Image, Headroom: head})
		}
	}
	return out
}

// groupOf returns the name of a task's stage.
func groupOf(t notch.TaskRef) notch.TaskRef {
	t.Index = 0
	return t
}

// shareOf returns the share of an agent's processors.
func shareOf(a notch.Agent, milli int64) float64 {
	return float64(milli) / float64(max(1, a.Size.MilliCPU))
}

// served returns the images that serve on an agent, each with the headroom that others
// may take of the task of it that has least.
func (s *stepper) served(agent string) []notch.Served {
	var out []notch.Served
	m, _ := s.mixes.Get(agent)
	refs, _ := s.runs.Get(agent)
	for _, ref := range refs {
		st := s.stageIs(ref)
		if st.Target <= 0 {
			continue
		}
		spare := 0.0
		if !m.shut {
			spare = max(0, s.interplay.Alone(groupOf(ref.Task), s.now.Add(lookAhead))-keepHeadroom)
		}
		out = withServed(out, notch.Served{Image: st.Image, Spare: spare})
	}
	return out
}

// withServed adds a task that serves to those of the same image.
func withServed(served []notch.Served, more notch.Served) []notch.Served {
	for i, v := range served {
		if v.Image == more.Image {
			served[i].Spare = min(v.Spare, more.Spare)
			return served
		}
	}
	return append(served, more)
}

// cost is what a task that fills takes of the headroom of each image that serves
// beside it when it goes at its full pace.
type cost struct {
	takes []float64 // in the order of the images that serve
	most  float64
}

func (s *stepper) costOf(a notch.Agent, served []notch.Served, f notch.LiveRun) cost {
	st := s.stageIs(f.Run)
	out := cost{takes: make([]float64, len(served))}
	for i, v := range served {
		out.takes[i] = s.interplay.Weight(v.Image, st.Image) * shareOf(a, st.Size.MilliCPU)
		out.most = max(out.most, out.takes[i])
	}
	return out
}

// paced returns the pace of each task that fills: the least harmful ones go first, as
// far as every task that serves has headroom to spare.
func (s *stepper) paced(a notch.Agent, l look, served []notch.Served) []int {
	out := make([]int, len(l.filling))
	order := make([]int, len(l.filling))
	costs := make([]cost, len(l.filling))
	for i, f := range l.filling {
		order[i], costs[i] = i, s.costOf(a, served, f)
	}
	slices.SortStableFunc(order, func(i, k int) int { return cmp.Compare(costs[i].most, costs[k].most) })
	for _, i := range order {
		out[i] = takeSpare(served, costs[i])
	}
	return out
}

// takeSpare returns the pace in percent that the headroom left allows one more task, and
// takes it off the headroom.
func takeSpare(served []notch.Served, c cost) int {
	part := 1.0
	for i, v := range served {
		part = min(part, v.Spare/max(0.001, c.takes[i]))
	}
	percent := int(part * paceFull)
	if percent < paceLeast {
		return 0
	}
	for i, v := range served {
		served[i].Spare = max(0, v.Spare-part*c.takes[i])
	}
	return percent
}

// withLoad adds a load to that of the same image.
func withLoad(loads []notch.Load, more notch.Load) []notch.Load {
	if more.Share <= 0 {
		return loads
	}
	for i, l := range loads {
		if l.Image == more.Image {
			loads[i].Share += more.Share
			return loads
		}
	}
	return append(loads, more)
}

// moved returns by how much loads differ.
func moved(before, now []notch.Load) float64 {
	total := 0.0
	for _, l := range now {
		total += math.Abs(l.Share - shareIn(before, l.Image))
	}
	for _, l := range before {
		if shareIn(now, l.Image) == 0 {
			total += l.Share
		}
	}
	return total
}

func shareIn(loads []notch.Load, image string) float64 {
	for _, l := range loads {
		if l.Image == image {
			return l.Share
		}
	}
	return 0
}

// adjust sets the pace of one task that fills, or moves it when it stands for long.
func (s *stepper) adjust(a notch.Agent, f notch.LiveRun, want int) {
	st := s.stageIs(f.Run)
	now, known := s.paces.Get(f.Run)
	if !known {
		now = pace{percent: paceFull}
	}
	change := max(want-now.percent, now.percent-want)
	switch {
	case st.Image == "":
	case now.percent == 0 && want == 0 && s.now.Sub(now.since) >= stuck && (st.Saves || f.Progress <= cheap):
		s.stopRun(a, f.Run)
		s.count("runs-moved", 1)
	case change >= paceChange || change > 0 && (want == 0 || want == paceFull):
		s.setPace(a, f.Run, want)
	}
}

func (s *stepper) setPace(a notch.Agent, ref notch.RunRef, percent int) {
	if !s.acts() {
		return
	}
	s.paces = s.paces.Set(ref, pace{percent: percent, since: s.now})
	c, _ := s.contacts.Get(a.ID)
	s.call(a, notch.AgentOrder{Kind: notch.AgentPace, Token: c.token, Run: ref, Percent: percent})
}

// stageIs returns the stage of a run that isn't known to have ended, or a zero one.
func (s *stepper) stageIs(ref notch.RunRef) notch.Stage {
	if _, ok := s.run(ref); !ok {
		return notch.Stage{}
	}
	j, _ := s.jobs.Get(ref.Task.Flow)
	return j.Stage(ref.Task.Stage)
}
