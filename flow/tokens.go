package flow

import notch "tamaracknotch"

// incarnationBits is the number of low bits of a token that count the incarnations met in one
// term, and the orders to one agent that must shut out others.
const incarnationBits = 20

// maxRaisedTokens limits the tokens of one term that are given out for other reasons than a new incarnation.
const maxRaisedTokens = 1 << (incarnationBits - 1)

// token returns the token for a session that starts now. It is higher than the tokens of
// all earlier incarnations, because orders and acknowledgements to those may arrive late at a
// later incarnation with the same id.
func (s *stepper) token() uint64 { return s.leadership.Term<<incarnationBits | s.incarnations }

// canRaiseToken reports whether there is a higher token for the agent of a session.
func canRaiseToken(session agentSession) bool {
	return session.token&(1<<incarnationBits-1) < maxRaisedTokens
}

// withRaisedToken returns a session with a token that is higher than those of all orders that were sent to its agent, if
// there is one. An incarnation that has carried out an order with it refuses the earlier ones.
func (s *stepper) withRaisedToken(session agentSession) agentSession {
	if !canRaiseToken(session) {
		return session
	}
	session.token++
	s.incarnations = max(s.incarnations, session.token&(1<<incarnationBits-1))
	return session
}

// withStartSent returns a session after a copy of the start of a run was sent, whose token is that of the session
// returned. It is higher than that of an acknowledgement under way: the incarnation that carries out the start refuses
// the acknowledgement afterwards, and so doesn't forget the end of the run.
func (s *stepper) withStartSent(session agentSession, run notch.RunRef, first bool) agentSession {
	if session.ackToken == session.token {
		session = s.withRaisedToken(session)
	}
	session.starts = session.starts.withSent(run, first, s.now)
	return session
}

// mayOvertakeAck reports whether a start may be sent before the answer to the renewal under way: it acknowledges nothing,
// or has a lower token than the start.
func mayOvertakeAck(session agentSession) bool {
	return session.ackToken != session.token || canRaiseToken(session)
}
