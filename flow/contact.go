package flow

import (
	"time"

	notch "tamaracknotch"
)

// maxBackoff limits the pause between orders to an agent that doesn't answer, in units of
// Timing.RetryInterval.
const maxBackoff = 6

// maxTokensForSilence limits the tokens of one term that are given out because agents fall silent. The others are left for
// agents that restart, which they do less often.
const maxTokensForSilence = 1 << (incarnationBits - 1)

// fencedOff returns the session of an agent that has fallen silent, with a token that is higher than those of all orders
// that were sent to it. If the agent restarts, the first order with it shuts out those that are late, also before the
// next incarnation is known.
func (s *stepper) fencedOff(session agentSession) agentSession {
	if s.incarnations >= maxTokensForSilence {
		return session
	}
	s.incarnations++
	session.token = s.token()
	return session
}

// A silent agent is asked in quick succession while a start may be late, as its next incarnation must see the token
// before that is carried out. One call in fullTimeoutPeriod may take its time: the agent may be slow, and must answer
// while its lease lasts.
const (
	probesPerTimeout  = 4 // in the time in which an order must be answered
	fullTimeoutPeriod = 4
)

// renewalTimeout returns how long a renewal to the agent of a session may take.
func (s *stepper) renewalTimeout(session agentSession, o notch.AgentOrder) time.Duration {
	if session.unanswered%fullTimeoutPeriod != 0 && s.awaitsLateStart(session) {
		return s.timing.AnswerTimeout / probesPerTimeout
	}
	return o.Wait + s.timing.AnswerTimeout
}

// pauseAfterSilence returns how long to wait before the next order to an agent after one without an answer.
func (s *stepper) pauseAfterSilence(session agentSession, b notch.AgentAnswered) time.Duration {
	pause := s.timing.RetryInterval * time.Duration(min(session.unanswered, maxBackoff))
	if s.awaitsLateStart(session) {
		pause = s.timing.AnswerTimeout/probesPerTimeout - s.receivedAt(b).Sub(b.SentAt)
	}
	return max(0, pause)
}

// awaitsLateStart reports whether a start to the agent of a session may be carried out late.
func (s *stepper) awaitsLateStart(session agentSession) bool {
	if s.now.Before(session.lateStartsUntil) {
		return true
	}
	for _, r := range s.load(session.incarnation.Agent).runs {
		orders, _ := s.runOrders.Get(r.ref)
		if orders.startSentAt != 0 && !orders.located() && s.now.Before(orders.startSentAt.Add(maxOrderLateness)) {
			return true
		}
	}
	return false
}
