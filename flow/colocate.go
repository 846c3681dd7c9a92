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
	servingUse = 0.55                   // of what tasks that serve reserve, that they use near their peaks
	overFrom   = 0.9                    // of the target, from which a tail counts as over it
	calmBelow  = 0.65                   // of the target, below which the room may grow again
	cutRoom    = 0.5                    // what is left of the room when a tail comes over its target
	farOver    = 1.5                    // of the target, from which a tail leaves less
	cutMore    = 0.25                   // what is left of the room then
	overLong   = 700 * time.Millisecond // over the target, after which no room is left
	growRoom   = 0.15                   // of the room, given back at a calm look
	mostRoom   = 1.2                    // of the room
	paceFull   = 100                    // percent of a task that fills
	paceLeast  = 30                     // percent below which it stands still
	paceChange = 20                     // percent below which a change isn't worth an order
	stuck      = 2 * time.Second        // at a stand, before a task is moved
	cheap      = 25                     // percent of progress that may be lost by a move
	similar    = 0.35                   // of the loads, up to which a change leaves them steady
	leastLoad  = 4.0                    // cores, below which loads are compared as if there were so many
)

// mix is what is known of the tasks that fill an agent from the looks at it.
type mix struct {
	loads []notch.Load // at the last look
	share float64      // of the room that they may use, by what the tails showed
	over  notch.Time   // since when a tail is over its target; zero: none is
}

// pace is how fast a task that fills may go, and since when.
type pace struct {
	percent int
	since   notch.Time
}

// look is what one answer to a hold says of tails and of those that may disturb them.
type look struct {
	notch.Look
	served  []string
	serving float64 // cores reserved by the tasks that serve
	worst   float64 // highest tail as a share of its target
	filling []notch.LiveRun
}

// relieve learns from an agent's lists, and paces the tasks that fill there so that
// those that serve can bear them.
func (s *stepper) relieve(a notch.Agent, live []notch.LiveRun) {
	l := s.look(live)
	if len(l.served) == 0 && len(l.filling) == 0 {
		return
	}
	m := s.mixOf(a.ID)
	l.Room, l.Steady = wholeRoom(a, l.serving), steady(m.loads, l.Loads)
	s.interplay = s.interplay.WithLook(l.Look)
	s.mixes = s.mixes.Set(a.ID, m.after(l, s.now))
	want := s.paced(l, s.roomOf(a, l.serving))
	for i, f := range l.filling {
		s.adjust(a, f, want[i])
	}
}

func (s *stepper) mixOf(agent string) mix {
	if m, ok := s.mixes.Get(agent); ok {
		return m
	}
	return mix{share: 1}
}

// after returns m after a look. A tail that stays over its target leaves no room, for it
// must not stay there for long by what fills beside it.
func (m mix) after(l look, now notch.Time) mix {
	m.loads = l.Loads
	switch {
	case l.worst >= overFrom && m.over == 0:
		m.over = now
		if m.share *= cutRoom; l.worst >= farOver {
			m.share *= cutMore / cutRoom
		}
	case l.worst >= overFrom && now.Sub(m.over) >= overLong:
		m.share = 0
	case l.worst < overFrom:
		m.over = 0
		if l.worst < calmBelow {
			m.share = min(mostRoom, m.share+growRoom)
		}
	}
	return m
}

// roomOf returns the cores that tasks that fill an agent can use before any tail
// suffers, if none of them is heavy.
func (s *stepper) roomOf(a notch.Agent, serving float64) float64 {
	return s.mixOf(a.ID).share * wholeRoom(a, serving)
}

// wholeRoom is the room that a calm agent has.
func wholeRoom(a notch.Agent, serving float64) float64 {
	return max(1, cores(a.Size.MilliCPU)-servingUse*serving)
}

// look sorts the runs of an agent, and notes which tails came over their targets.
func (s *stepper) look(live []notch.LiveRun) look {
	var out look
	for _, r := range live {
		st := s.stageIs(r.Run)
		switch {
		case st.Fills:
			out.filling = append(out.filling, r)
			out.Loads = withLoad(out.Loads, notch.Load{Image: st.Image, Cores: cores(int64(r.Reading))})
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
	out.serving += cores(st.Size.MilliCPU)
	_, was := s.over.Get(r.Run)
	switch {
	case share >= overFrom && !was:
		s.over = s.over.Set(r.Run, s.now)
		out.Tails = append(out.Tails, notch.Tail{Image: st.Image, Over: true})
	case share < overFrom && !was:
		out.Tails = append(out.Tails, notch.Tail{Image: st.Image})
	case share < calmBelow:
		s.over = s.over.Delete(r.Run)
	}
}

// paced returns the pace of each task that fills: the least harmful ones go first, as
// far as there is room beside every task that serves.
func (s *stepper) paced(l look, room float64) []int {
	out := make([]int, len(l.filling))
	left := make([]float64, len(l.served))
	for i := range left {
		left[i] = room
	}
	order := make([]int, len(l.filling))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(s.harm(l, l.filling[a]), s.harm(l, l.filling[b]))
	})
	for _, i := range order {
		out[i] = s.takeRoom(l, l.filling[i], left)
	}
	return out
}

// harm returns the most cores that a task that fills counts for.
func (s *stepper) harm(l look, f notch.LiveRun) float64 {
	st, most := s.stageIs(f.Run), 0.0
	for _, image := range l.served {
		most = max(most, s.interplay.Weight(image, st.Image)*cores(st.Size.MilliCPU))
	}
	return most
}

// takeRoom returns the pace in percent that the room left allows one more task, and
// takes it off the room.
func (s *stepper) takeRoom(l look, f notch.LiveRun, left []float64) int {
	st, part := s.stageIs(f.Run), 1.0
	size := cores(st.Size.MilliCPU)
	for i, image := range l.served {
		part = min(part, max(0, left[i])/max(0.001, s.interplay.Weight(image, st.Image)*size))
	}
	percent := int(part * paceFull)
	if percent < paceLeast {
		return 0
	}
	for i, image := range l.served {
		left[i] -= part * s.interplay.Weight(image, st.Image) * size
	}
	return percent
}

// withLoad adds a load to that of the same image.
func withLoad(loads []notch.Load, more notch.Load) []notch.Load {
	if more.Cores <= 0 {
		return loads
	}
	for i, l := range loads {
		if l.Image == more.Image {
			loads[i].Cores += more.Cores
			return loads
		}
	}
	return append(loads, more)
}

// steady reports whether loads differ little.
func steady(before, now []notch.Load) bool {
	moved, total := 0.0, 0.0
	for _, l := range now {
		moved += math.Abs(l.Cores - coresOf(before, l.Image))
		total += l.Cores
	}
	for _, l := range before {
		if coresOf(now, l.Image) == 0 {
			moved += l.Cores
		}
	}
	return moved <= similar*max(total, leastLoad)
}

func coresOf(loads []notch.Load, image string) float64 {
	for _, l := range loads {
		if l.Image == image {
			return l.Cores
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
