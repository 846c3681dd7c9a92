package flow

import (
	"testing"

	notch "tamaracknotch"
)

// TestTokensLastForTheTerm guards against tokens that fall, or count as those of another term, because agents that fell
// silent again and again have used up the tokens of a long term: no agent takes orders any more.
func TestTokensLastForTheTerm(t *testing.T) {
	s := stepper{Part: New(notch.Daemon{Name: "a"})}
	s.leadership.Term = 3
	session := agentSession{token: s.token()}
	for range 1<<incarnationBits + 10 {
		next := s.withRaisedToken(session)
		if next.token < session.token || next.token>>incarnationBits != s.leadership.Term {
			t.Fatalf("got token %#x after %#x, want no lower one, of term %d", next.token, session.token, s.leadership.Term)
		}
		session = next
	}
}
