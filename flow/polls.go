package flow

import (
	"time"

	notch "tamaracknotch"
	"tamaracknotch/graph"
)

// missingRunPoll is how long an agent may delay its answer while one of its runs is missing. Whether
// the run may start elsewhere takes up to three lists.
const missingRunPoll = 100 * time.Millisecond

// listsAgainAfter returns how long the leader waits before it asks an agent for its lists again that would repeat the same
// ends, as they may not be acknowledged yet: for less if the lists lack a run.
func (s *stepper) listsAgainAfter(missing bool) time.Duration {
	if missing {
		return missingRunPoll
	}
	return max(missingRunPoll, min(s.affordablePoll(s.sessions.Len()), maxPollDelay))
}

// longPoll returns how long an agent may delay its answer while no run ends. The more agents there are, the longer, as
// each list costs the leader as much as a start.
func (s *stepper) longPoll(id string, session agentSession) time.Duration {
	if session.missesRuns {
		return missingRunPoll
	}
	affordable := s.affordablePoll(s.sessions.Len())
	colocated, _ := s.colocations.Get(id)
	switch {
	case colocated.bothKinds && colocated.overTargetSince != 0:
		return s.timing.ColocatedLongPoll
	case colocated.bothKinds:
		return min(max(affordable, s.timing.ColocatedLongPoll), s.timing.MaxColocatedPoll)
	}
	return min(max(affordable, s.timing.LongPoll), s.timing.MaxLongPoll)
}

// affordablePoll returns the length of polls with which a number of agents together give MaxIdleLists lists a second.
func (p Part) affordablePoll(agents int) time.Duration {
	return time.Duration(agents) * time.Second / time.Duration(p.timing.MaxIdleLists)
}

// leaseFor returns the lease that is granted with a poll. What is left of it when the poll ends, and the leader may be lost, is
// the same for a longer poll.
func (p Part) leaseFor(poll time.Duration) time.Duration {
	return p.timing.Lease + max(0, poll-p.timing.LongPoll)
}

// longestLease returns the longest lease that a leader may have granted so far. The agents never get fewer, as those that have
// left are kept.
func (p Part) longestLease() time.Duration {
	return p.leaseFor(min(p.affordablePoll(p.agents.Len()), p.timing.MaxLongPoll))
}

// maxSilence returns how long after its last answer an agent gets new runs. An agent may be silent for as long as its
// poll lasts.
func (s *stepper) maxSilence(session agentSession) time.Duration {
	return s.timing.MaxSilence + max(0, session.pollWait-s.timing.LongPoll)
}

// While the leader can't make all starts, an agent whose runs have time is asked for their ends less often: the ends that it
// lists at once cost one call, one answer and one log entry.
const (
	minPollDelay   = 100 * time.Millisecond // a shorter one makes no ends meet
	maxPollDelay   = 500 * time.Millisecond
	pollDelayShare = 0.25 // of the slack of the most urgent run
)

// pollDelay returns how long the leader may wait before it asks an agent for ends again.
func (s *stepper) pollDelay(id string) time.Duration {
	if !s.startQueue.overloaded(s.now) {
		return 0
	}
	d := maxPollDelay
	for _, r := range s.load(id).runs {
		w, ok := s.workflows.Get(r.ref.Task.Flow)
		if ok && !r.stage.Lasts && !w.State.Ended() {
			d = min(d, time.Duration(pollDelayShare*float64(s.certainSlack(w, r.ref.Task.Stage))))
		}
	}
	if d < minPollDelay {
		return 0
	}
	return d
}

// certainSlack returns the part of the slack of a workflow on which the leader can rely, as declared run times may be several
// times too long: at most the part of its objective that doesn't follow them.
func (s *stepper) certainSlack(w *graph.Workflow, stage int) time.Duration {
	return min(s.slack(w, stage), s.routeOf(w).Target)
}

// slack returns how long a workflow of which a stage is under way can wait without a worse outcome. Nothing is lost by the
// delay of one that has missed its objective.
func (s *stepper) slack(w *graph.Workflow, stage int) time.Duration {
	end := s.now.Add(w.CriticalPath(stage))
	due := s.dueAt(w)
	switch s.outcomeAt(w, end) {
	case inTime:
		return due.Sub(end)
	case late:
		return w.At.Add(notch.LateFactor * due.Sub(w.At)).Sub(end)
	}
	return time.Duration(float64(maxPollDelay) / pollDelayShare)
}
