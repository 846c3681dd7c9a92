package batch

import (
	"math"
	"slices"

	notch "tamaracknotch"
)

// throttle records which tasks of a worker are throttled.
type throttle struct {
	startedAt notch.Time
	kinds     []string // kinds whose tasks are throttled
}

// Pressure of the services on a worker at which its tasks are throttled, and at which
// the throttle ends. The gap keeps the throttle from switching back and forth. See
// [notch.Usage] for the unit.
const (
	pressureHigh = 0.5 // throttle at or above
	pressureLow  = 0.3 // end the throttle at or below
)

// observeUsage updates the interference estimates from a worker's usage report, and
// throttles or evicts tasks if the services on the worker are under pressure.
func (s *stepper) observeUsage(w notch.Worker, u notch.Usage) {
	kinds, steady := s.runningKinds(w.Name, s.now.Add(-u.Age))
	// Throttled tasks cause less interference than they would at full speed, so that
	// their samples would bias the estimates.
	if _, slowed := s.throttled.Get(w.Name); steady && !slowed {
		s.interference = s.interference.WithSample(kinds, u.Pressure)
	}
	if !s.policy.ProtectServices {
		return
	}
	th, on := s.throttled.Get(w.Name)
	// A measurement from before the throttle doesn't show its effect.
	if on && s.now.Add(-u.Age).Before(th.startedAt) {
		return
	}
	switch {
	case !on && u.Pressure >= pressureHigh && len(kinds) > 0:
		s.throttled = s.throttled.Set(w.Name, throttle{startedAt: s.now, kinds: s.mostHarmfulKind(kinds)})
		s.count("throttles", 1)
	case on && u.Pressure <= pressureLow:
		s.throttled = s.throttled.Delete(w.Name)
	case on && u.Pressure >= pressureHigh && s.now.Sub(th.startedAt) >= s.timing.EvictAfter:
		s.evictThrottled(w, th)
	}
}

// runningKinds returns the kind of every task that occupies a worker. The set is steady
// if all of the tasks were already running at the given instant.
func (s *stepper) runningKinds(worker string, at notch.Time) (kinds []string, steady bool) {
	ids, _ := s.onWorker.Get(worker)
	steady = true
	for _, id := range ids {
		t, _ := s.tasks.Get(id)
		rec, _ := s.jobs.Get(t.Job)
		kinds = append(kinds, rec.Job.Kind)
		steady = steady && t.Phase == notch.Running && t.Since.Before(at)
	}
	return kinds, steady
}

// mostHarmfulKind returns the kind without which the estimated pressure is lowest.
func (s *stepper) mostHarmfulKind(kinds []string) []string {
	best, lowestPressure := kinds[0], math.Inf(1)
	for _, k := range kinds {
		rest := slices.DeleteFunc(slices.Clone(kinds), func(o string) bool { return o == k })
		if p := s.interference.Pressure(rest); p < lowestPressure {
			best, lowestPressure = k, p
		}
	}
	return []string{best}
}

func (s *stepper) isThrottled(t notch.Task) bool {
	th, ok := s.throttled.Get(t.Worker)
	if !ok {
		return false
	}
	rec, _ := s.jobs.Get(t.Job)
	return slices.Contains(th.kinds, rec.Job.Kind)
}

// evictThrottled evicts the throttled task that loses the least work. Urgent tasks are
// never evicted.
func (s *stepper) evictThrottled(w notch.Worker, th throttle) {
	victim, found := notch.Task{}, false
	ids, _ := s.onWorker.Get(w.Name)
	for _, id := range ids {
		t, _ := s.tasks.Get(id)
		rec, _ := s.jobs.Get(t.Job)
		if t.Phase != notch.Running || rec.Job.Class == notch.Urgent || !slices.Contains(th.kinds, rec.Job.Kind) {
			continue
		}
		if !found || s.lostWork(rec.Job, t) < s.lostWork(rec.Job, victim) {
			victim, found = t, true
		}
	}
	if !found {
		return
	}
	s.throttled = s.throttled.Delete(w.Name)
	s.evict([]notch.Task{victim})
}

// lostWork returns the run time in seconds that an eviction of the task would lose.
func (s *stepper) lostWork(j notch.Job, t notch.Task) float64 {
	if j.Checkpointable {
		return 0
	}
	return s.now.Sub(t.Since).Seconds()
}

// evict proposes to stop tasks. They are queued again once their worker confirms.
func (s *stepper) evict(ts []notch.Task) {
	var stops []notch.TaskEpoch
	for _, t := range ts {
		stops = append(stops, notch.TaskEpoch{Task: t.ID, Epoch: t.Epoch})
	}
	s.count("evictions", len(stops))
	s.propose(notch.StopTasks{Tasks: stops})
}

// maxFailedJobs is the number of distinct jobs whose tasks have to fail on a worker,
// without a success in between, to put it into quarantine. A faulty job alone can't
// cause a quarantine.
const maxFailedJobs = 3

// recordFailure records the failure of a task on its worker, and proposes the
// quarantine of the worker after failures of maxFailedJobs distinct jobs.
func (s *stepper) recordFailure(t notch.Task) {
	jobs, _ := s.failedJobs.Get(t.Worker)
	if !slices.Contains(jobs, t.Job) {
		jobs = append(slices.Clip(jobs), t.Job)
	}
	s.failedJobs = s.failedJobs.Set(t.Worker, jobs)
	w, _ := s.workers.Get(t.Worker)
	if len(jobs) >= maxFailedJobs && !w.Quarantined && s.hasLeaderLease() {
		s.propose(notch.QuarantineWorker{Worker: t.Worker, On: true})
	}
}

// recordSuccess clears the failures of a worker and proposes to end its quarantine.
func (s *stepper) recordSuccess(worker string) {
	s.failedJobs = s.failedJobs.Delete(worker)
	if w, ok := s.workers.Get(worker); ok && w.Quarantined && s.hasLeaderLease() {
		s.propose(notch.QuarantineWorker{Worker: worker})
	}
}
