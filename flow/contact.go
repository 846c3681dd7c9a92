package flow

import (
	"time"

	notch "tamaracknotch"
)

// maxBackoff limits the pause between orders to an agent that doesn't answer, in units of
// Timing.RetryInterval.
const maxBackoff = 6

// A silent agent is asked in quick succession while a start may be late, as its next incarnation must see the token
// before that is carried out. One call in fullTimeoutPeriod may take its time: the agent may be slow, and must answer
// while its lease lasts.
const (
	probesPerTimeout  = 4 // in the time in which an order must be answered
	fullTimeoutPeriod = 4
)

// renewalTimeout returns how long a renewal to the agent of a session may take.
func (s *stepper) renewalTimeout(session agentSession, o notch.AgentOrder) time.Duration {
	if session.unanswered%fullTimeoutPeriod != 0 && session.starts.late(s.now) {
		return s.timing.AnswerTimeout / probesPerTimeout
	}
	return o.Wait + s.timing.AnswerTimeout
}

// pauseAfterSilence returns how long to wait before the next order to an agent after one without an answer.
func (s *stepper) pauseAfterSilence(session agentSession, b notch.AgentAnswered) time.Duration {
	pause := s.timing.RetryInterval * time.Duration(min(session.unanswered, maxBackoff))
	if session.starts.late(s.now) {
		pause = s.timing.AnswerTimeout/probesPerTimeout - s.receivedAt(b).Sub(b.SentAt)
	}
	return max(0, pause)
}
