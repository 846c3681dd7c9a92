package flow

import (
	"strconv"

	notch "tamaracknotch"
)

// proofFields returns the fields of a log message that tell what a run is given up on: its start, and the orders to its
// agent that may be carried out yet.
func (s *stepper) proofFields(session agentSession, ref notch.RunRef) []notch.LogField {
	orders, _ := s.runOrders.Get(ref)
	return []notch.LogField{
		notch.TextField("start", string(orders.startOutcome)), notch.TextField("start-age", s.age(orders.startSentAt)),
		notch.TextField("listed", strconv.FormatBool(orders.listed)), notch.IntField("repeats", orders.repeats),
		notch.TextField("last-grant", s.age(session.grantedAt)), notch.IntField("open-starts", len(session.starts)),
	}
}

// countUnlisted returns how many runs no incarnation of their agent has listed.
func (s *stepper) countUnlisted(runs []agentRun) int {
	n := 0
	for _, r := range runs {
		if orders, _ := s.runOrders.Get(r.ref); !orders.listed {
			n++
		}
	}
	return n
}

// age describes how long ago something was; zero is never.
func (s *stepper) age(at notch.Time) string {
	if at == 0 {
		return "never"
	}
	return s.now.Sub(at).String()
}
