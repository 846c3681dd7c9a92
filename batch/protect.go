package batch

import (
	"math"
	"slices"

	notch "tamaracknotch"
)

// throttle says since when the tasks of a worker are throttled, and which.
type throttle struct {
	since notch.Time
	kinds []string // tasks of these kinds are slowed down
}

// The hysteresis of the protection of services.
const (
	pressureHigh = 0.5 // at which tasks are throttled
	pressureLow  = 0.3 // below which they may run freely again
)

// watch learns from a worker's report and protects its services.
func (s *stepper) watch(w notch.Worker, u notch.Usage) {
	kinds, steady := s.kindsSince(w.Name, s.now.Add(-u.Age))
	// What throttled tasks do says little of what they would do.
	if _, slowed := s.throttled.Get(w.Name); steady && !slowed {
		s.harm = s.harm.WithSample(kinds, u.Pressure)
	}
	if !s.policy.Protect {
		return
	}
	th, on := s.throttled.Get(w.Name)
	// A report from before the throttle says nothing of its effect.
	if on && s.now.Add(-u.Age).Before(th.since) {
		return
	}
	switch {
	case !on && u.Pressure >= pressureHigh && len(kinds) > 0:
		s.throttled = s.throttled.Set(w.Name, throttle{since: s.now, kinds: s.worst(kinds)})
		s.count("throttles", 1)
	case on && u.Pressure <= pressureLow:
		s.throttled = s.throttled.Delete(w.Name)
	case on && u.Pressure >= pressureHigh && s.now.Sub(th.since) >= s.timing.Throttle:
		s.evictWorst(w, th)
	}
}

// kindsSince returns the kinds that run on a worker. They are steady if all of
// them already ran at the instant.
func (s *stepper) kindsSince(worker string, at notch.Time) (kinds []string, steady bool) {
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

// worst returns the kind that does the most harm beside the others.
func (s *stepper) worst(kinds []string) []string {
	best, least := kinds[0], math.Inf(1)
	for _, k := range kinds {
		rest := slices.DeleteFunc(slices.Clone(kinds), func(o string) bool { return o == k })
		if p := s.harm.Pressure(rest); p < least {
			best, least = k, p
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

// evictWorst stops the throttled task on which the least work would be lost.
func (s *stepper) evictWorst(w notch.Worker, th throttle) {
	victim, found := notch.Task{}, false
	ids, _ := s.onWorker.Get(w.Name)
	for _, id := range ids {
		t, _ := s.tasks.Get(id)
		rec, _ := s.jobs.Get(t.Job)
		if t.Phase != notch.Running || rec.Job.Class == notch.Urgent || !slices.Contains(th.kinds, rec.Job.Kind) {
			continue
		}
		if !found || s.lost(rec.Job, t) < s.lost(rec.Job, victim) {
			victim, found = t, true
		}
	}
	if !found {
		return
	}
	s.throttled = s.throttled.Delete(w.Name)
	s.evict([]notch.Task{victim})
}

// lost is the run time in seconds that an eviction would throw away.
func (s *stepper) lost(j notch.Job, t notch.Task) float64 {
	if j.Checkpointable {
		return 0
	}
	return s.now.Sub(t.Since).Seconds()
}

func (s *stepper) evict(ts []notch.Task) {
	var stops []notch.TaskEpoch
	for _, t := range ts {
		stops = append(stops, notch.TaskEpoch{Task: t.ID, Epoch: t.Epoch})
	}
	s.count("evictions", len(stops))
	s.propose(notch.StopTasks{Tasks: stops})
}

// quarantineAfter is the number of distinct jobs that a worker may fail in a row.
const quarantineAfter = 3

// failed notes a failure, and asks for the quarantine of a worker that failed
// tasks of several distinct jobs without a success between.
func (s *stepper) failed(t notch.Task) {
	jobs, _ := s.failures.Get(t.Worker)
	if !slices.Contains(jobs, t.Job) {
		jobs = append(slices.Clip(jobs), t.Job)
	}
	s.failures = s.failures.Set(t.Worker, jobs)
	w, _ := s.workers.Get(t.Worker)
	if len(jobs) >= quarantineAfter && !w.Quarantined && s.acts() {
		s.propose(notch.QuarantineWorker{Worker: t.Worker, On: true})
	}
}

func (s *stepper) succeeded(worker string) {
	s.failures = s.failures.Delete(worker)
	if w, ok := s.workers.Get(worker); ok && w.Quarantined && s.acts() {
		s.propose(notch.QuarantineWorker{Worker: worker})
	}
}
