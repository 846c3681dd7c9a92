package consensus

import (
	"fmt"
	"strings"
	"time"

	notch "tamaracknotch"
)

// metricContactLate counts the heartbeats that the leader sent although no quorum had answered for
// half of the election timeout.
const metricContactLate = "quorum-contact-late"

// contactFields describes the leader's contact with the other voters: the time since it sent the
// latest message that a quorum answered, and for each voter that time, the entries that the voter
// lacks and the messages with entries that it hasn't confirmed.
func (s *stepper) contactFields() []notch.LogField {
	var voters []string
	for _, pr := range s.progress {
		if pr.voter && pr.replica != s.self {
			lacks := s.log.lastIndex() - min(pr.match, s.log.lastIndex())
			voters = append(voters, fmt.Sprintf("%s %v %d %d", pr.replica.Name, s.silentFor(pr.replica).Round(time.Millisecond), lacks, len(pr.unconfirmed)))
		}
	}
	return []notch.LogField{
		notch.DurationField("contact-age", s.now.Sub(s.quorumContactAt)),
		notch.TextField("voters", strings.Join(voters, ", ")),
	}
}

// countLateContact counts a heartbeat if contact with the quorum is late.
func (s *stepper) countLateContact() {
	if s.now.Sub(s.quorumContactAt) > s.timing.ElectionTimeout/2 {
		s.effects = append(s.effects, notch.Count{Name: metricContactLate, Delta: 1})
	}
}
