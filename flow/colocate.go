package flow

import (
	"math"
	"time"

	notch "tamaracknotch"
)

// Parameters of the control of opportunistic tasks that are colocated with service tasks.
const (
	minHeadroom         = 1.0                     // of every service task: at 1 it just meets its target
	predictionHorizon   = 700 * time.Millisecond  // time for which a CPU limit has to suffice
	maxTimeOverTarget   = 700 * time.Millisecond  // after which opportunistic tasks are blocked
	fullLimitPercent    = 100                     // no limit
	minLimitPercent     = 10                      // a lower limit becomes 0
	minLimitChange      = 8                       // percent; a smaller change is not worth an order
	maxStoppedTime      = 1200 * time.Millisecond // at limit 0, after which a task is moved
	maxLostProgress     = 25                      // percent of progress that may be lost by a move
	serviceReadyPercent = 100                     // percent of progress at which a service task answers requests
)

// colocationState holds the results of the latest measurements of an agent's colocated tasks.
type colocationState struct {
	lastLoads       []notch.OpportunisticLoad // at the latest measurement
	overTargetSince notch.Time                // since when a service task exceeds its target; zero: none does
	blocked         bool                      // opportunistic tasks must not run, because a service task keeps exceeding its target
	bothKinds       bool                      // the agent runs both opportunistic tasks and service tasks
}

// cpuLimit is the limit that was ordered for an opportunistic task, in percent of its declared
// processors.
type cpuLimit struct {
	percent   int
	changedAt notch.Time
}

// observation holds the measurements of the service tasks and the opportunistic tasks on an
// agent, as reported by one answer to a lease renewal.
type observation struct {
	notch.ColocationObservation
	overTarget    bool // a service task exceeds its target
	opportunistic []notch.LiveRun
}

// controlColocation updates the colocation model from an agent's list of live runs, and limits
// the opportunistic tasks there so that the service tasks meet their targets.
func (s *stepper) controlColocation(a notch.Agent, live []notch.LiveRun) {
	load := s.load(a.ID)
	o := observe(a, live, load, s.now)
	c, known := s.colocations.Get(a.ID)
	if len(o.Headrooms) == 0 && len(o.opportunistic) == 0 && !known {
		return
	}
	o.LoadChange = loadChange(c.lastLoads, o.Loads)
	s.colocationModel = s.colocationModel.WithObservation(o.ColocationObservation)
	c = c.withObservation(o, s.now)
	s.colocations = s.colocations.Set(a.ID, c)
	if len(o.opportunistic) == 0 {
		return
	}
	limits := s.cpuLimits(a, runRefs(o.opportunistic), s.serviceImages(a.ID, load))
	for i, l := range o.opportunistic {
		s.applyCPULimit(a, l, limits[i])
	}
}

// withObservation returns c after an observation. When a service task stays over its target,
// opportunistic tasks are blocked until it meets the target, so that they can't keep it over
// the target for long.
func (c colocationState) withObservation(o observation, now notch.Time) colocationState {
	c.lastLoads, c.bothKinds = o.Loads, len(o.Headrooms) > 0 && len(o.opportunistic) > 0
	switch {
	case !o.overTarget:
		c.overTargetSince, c.blocked = 0, false
	case c.overTargetSince == 0:
		c.overTargetSince = now
	case now.Sub(c.overTargetSince) >= maxTimeOverTarget:
		c.blocked = true
	}
	return c
}

// observe sorts the live runs of an agent into service tasks and opportunistic tasks. Runs that have no reservation
// there are neither.
func observe(a notch.Agent, live []notch.LiveRun, load *agentLoad, now notch.Time) observation {
	out := observation{ColocationObservation: notch.ColocationObservation{At: now}}
	for _, r := range live {
		st := load.stageOf(r.Run)
		switch {
		case st == nil:
		case st.Fills:
			out.opportunistic = append(out.opportunistic, r)
			out.Loads = mergeLoad(out.Loads, notch.OpportunisticLoad{Image: st.Image, CPUShare: cpuShare(a, int64(r.Measurement))})
		case st.Target > 0 && r.Progress == serviceReadyPercent && r.Measurement > 0:
			headroom := float64(st.Target.Milliseconds()) / float64(r.Measurement)
			out.overTarget = out.overTarget || headroom < 1
			out.Headrooms = append(out.Headrooms, notch.HeadroomMeasurement{Group: groupOf(r.Run.Task), Image: st.Image, Headroom: headroom})
		}
	}
	return out
}

// groupOf identifies the group of a task, which is the tasks of the same round and stage, by a
// TaskRef with Index 0.
func groupOf(t notch.TaskRef) notch.TaskRef {
	t.Index = 0
	return t
}

// cpuShare returns milli-CPU as a share of an agent's processors.
func cpuShare(a notch.Agent, milli int64) float64 {
	return float64(milli) / float64(max(1, a.Size.MilliCPU))
}

// serviceImages returns the service images on an agent. The spare headroom of each is the least
// of its tasks.
func (s *stepper) serviceImages(agent string, load *agentLoad) []notch.ServiceImage {
	var out []notch.ServiceImage
	colocated, _ := s.colocations.Get(agent)
	for _, r := range load.runs {
		if r.stage.Target <= 0 {
			continue
		}
		spare := 0.0
		if !colocated.blocked {
			spare = max(0, s.colocationModel.HeadroomAlone(groupOf(r.ref.Task), s.now.Add(predictionHorizon))-minHeadroom)
		}
		out = mergeServiceImage(out, notch.ServiceImage{Image: r.stage.Image, SpareHeadroom: spare})
	}
	return out
}

// mergeServiceImage adds a service task in place to the element of its image.
func mergeServiceImage(services []notch.ServiceImage, more notch.ServiceImage) []notch.ServiceImage {
	for i, v := range services {
		if v.Image == more.Image {
			services[i].SpareHeadroom = min(v.SpareHeadroom, more.SpareHeadroom)
			return services
		}
	}
	return append(services, more)
}

// runRefs returns the references of live runs.
func runRefs(live []notch.LiveRun) []notch.RunRef {
	out := make([]notch.RunRef, len(live))
	for i, l := range live {
		out[i] = l.Run
	}
	return out
}

// mergeLoad adds a load in place to the load of the same image.
func mergeLoad(loads []notch.OpportunisticLoad, more notch.OpportunisticLoad) []notch.OpportunisticLoad {
	if more.CPUShare <= 0 {
		return loads
	}
	for i, l := range loads {
		if l.Image == more.Image {
			loads[i].CPUShare += more.CPUShare
			return loads
		}
	}
	return append(loads, more)
}

// loadChange returns the sum of the absolute differences between loads, by image.
func loadChange(before, now []notch.OpportunisticLoad) float64 {
	total := 0.0
	for _, l := range now {
		total += math.Abs(l.CPUShare - shareOfImage(before, l.Image))
	}
	for _, l := range before {
		if shareOfImage(now, l.Image) == 0 {
			total += l.CPUShare
		}
	}
	return total
}

func shareOfImage(loads []notch.OpportunisticLoad, image string) float64 {
	for _, l := range loads {
		if l.Image == image {
			return l.CPUShare
		}
	}
	return 0
}

// applyCPULimit orders the limit of one opportunistic task. A task that has been at limit 0 for
// too long is stopped instead, so that it moves to another agent, if that loses little progress.
// A task without an image isn't limited.
func (s *stepper) applyCPULimit(a notch.Agent, l notch.LiveRun, want int) {
	st := s.stageOf(l.Run)
	current, known := s.cpuLimitsByRun.Get(l.Run)
	if !known {
		current = cpuLimit{percent: fullLimitPercent}
	}
	change := max(want-current.percent, current.percent-want)
	switch {
	case st.Image == "":
	case current.percent == 0 && want == 0 && s.now.Sub(current.changedAt) >= maxStoppedTime && (st.Saves || l.Progress <= maxLostProgress):
		s.stopRun(a, l.Run)
		s.count("runs-moved", 1)
	case change >= minLimitChange || change > 0 && (want == 0 || want == fullLimitPercent):
		s.orderCPULimit(a, l.Run, want)
	}
}

func (s *stepper) orderCPULimit(a notch.Agent, ref notch.RunRef, percent int) {
	if !s.mayOrder() {
		return
	}
	s.cpuLimitsByRun = s.cpuLimitsByRun.Set(ref, cpuLimit{percent: percent, changedAt: s.now})
	session, _ := s.session(a.ID)
	s.sendOrder(a, notch.AgentOrder{Kind: notch.AgentLimitCPU, Token: session.token, Run: ref, Percent: percent})
}

// stageOf returns the stage of a run, or a zero Stage if the run isn't known to be live.
func (s *stepper) stageOf(ref notch.RunRef) notch.Stage {
	st, _ := s.liveStage(ref)
	return st
}

// liveStage returns the stage of a run and the run, or zero values if the run isn't known to be live.
func (s *stepper) liveStage(ref notch.RunRef) (notch.Stage, notch.Run) {
	r, ok := s.run(ref)
	if !ok {
		return notch.Stage{}, notch.Run{}
	}
	w, _ := s.workflows.Get(ref.Task.Flow)
	return w.Stage(ref.Task.Stage), r
}
