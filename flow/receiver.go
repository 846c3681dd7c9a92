package flow

import (
	"hash/fnv"

	notch "tamaracknotch"
)

// nextReceiver returns the operators' address that an agent should announce itself to next; empty if
// none is known. Every replica can answer an announcement that changes nothing, as most do, so the
// leader is spared them while another one is linked. One in the agent's failure domain is preferred,
// and among equals the choice depends on the agent's id, which spreads the agents evenly and moves
// few of them when a replica comes or goes.
func (s *stepper) nextReceiver(a notch.Agent) string {
	best, bestRank := s.receivers[s.leader], receiverRank{}
	for name, d := range s.receivers {
		if name == s.leader || d.Operators == "" {
			continue
		}
		if r := rankReceiver(d, a); bestRank.less(r) {
			best, bestRank = d, r
		}
	}
	return best.Operators
}

// receiverRank orders the daemons that may receive an agent's announcements.
type receiverRank struct {
	sameDomain bool
	hash       uint64
}

func (r receiverRank) less(other receiverRank) bool {
	if r.sameDomain != other.sameDomain {
		return other.sameDomain
	}
	return r.hash < other.hash
}

func rankReceiver(d notch.Daemon, a notch.Agent) receiverRank {
	h := fnv.New64a()
	h.Write([]byte(d.Name))
	h.Write([]byte{0})
	h.Write([]byte(a.ID))
	return receiverRank{sameDomain: d.Domain == a.Domain, hash: notch.HashSeed(h.Sum64()) | 1}
}
