package batch

import (
	"slices"

	notch "tamaracknotch"
)

// unknownReports lists the reports in a worker's heartbeat that are about attempts which this
// leader doesn't know.
type unknownReports struct {
	at       notch.Time // when the heartbeat arrived
	attempts []notch.TaskEpoch
}

// knowsAttempt reports whether the attempt of a report was placed as far as this replica's
// state goes. Otherwise another leader may have placed it.
func (s *stepper) knowsAttempt(r notch.TaskReport) bool {
	t, ok := s.tasks.Get(r.Task)
	return ok && r.Epoch <= t.Epoch
}

// isStale reports whether a report about an attempt that isn't current can't matter any more.
// A leader that was replaced without knowing it lacks the attempts that its successor has
// placed. It may settle a report about an unknown attempt only once a quorum has confirmed that
// it still led when it got the report before.
func (s *stepper) isStale(key workerIncarnation, r notch.TaskReport) bool {
	if s.knowsAttempt(r) {
		return true
	}
	before, ok := s.unknownReports.Get(key)
	return ok && s.leadership.Contact >= before.at && slices.Contains(before.attempts, attemptOf(r))
}

// setUnknownReports records the attempts that the latest heartbeat of a worker incarnation
// reported and that aren't known.
func (s *stepper) setUnknownReports(key workerIncarnation, attempts []notch.TaskEpoch) {
	if len(attempts) == 0 {
		s.unknownReports = s.unknownReports.Delete(key)
		return
	}
	s.unknownReports = s.unknownReports.Set(key, unknownReports{at: s.now, attempts: attempts})
}

// attemptOf returns the attempt that a report is about.
func attemptOf(r notch.TaskReport) notch.TaskEpoch {
	return notch.TaskEpoch{Task: r.Task, Epoch: r.Epoch}
}
