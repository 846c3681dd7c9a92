package member

import (
	"cmp"
	"hash/fnv"

	notch "tamaracknotch"
)

// Daemons that aren't replicas have links to the replicas alone. They announce their backend servers to
// every replica, and the replicas relay the announcements to the other daemons.

// maxDirectPeers is the number of reachable peers up to which a replica relays announcements to each
// of them. Above it, each daemon gets them from one replica.
const maxDirectPeers = 12

// sendToPeers sends the announcements that were made to this daemon: to every replica, and if this is a
// replica to the others that get them from it.
func (p Part) sendToPeers(m notch.Announcements) []notch.Effect {
	relayed := m
	relayed.Hops = 1
	var out []notch.Effect
	for _, d := range p.upPeers() {
		if d.Replica {
			out = append(out, notch.Send{To: d.Name, Message: relayed})
		}
	}
	return append(out, p.sendToOthers(p.self.Name, m)...)
}

// relay sends m on to the daemons that get announcements from this replica, if m.Hops permits it.
func (p Part) relay(from string, m notch.Announcements) []notch.Effect {
	if m.Hops == 0 {
		return nil
	}
	m.Hops--
	return p.sendToOthers(from, m)
}

// sendToOthers sends m to the daemons that get announcements from this replica, but for the one that
// it is from.
func (p Part) sendToOthers(from string, m notch.Announcements) []notch.Effect {
	if !p.self.Replica {
		return nil
	}
	up := p.upPeers()
	var out []notch.Effect
	for _, d := range up {
		if !d.Replica && d.Name != from && (len(up) <= maxDirectPeers || p.relayFor(up, d) == p.self.Name) {
			out = append(out, notch.Send{To: d.Name, Message: m})
		}
	}
	return out
}

// relayFor returns which replica relays announcements to a daemon: one in its failure domain if there
// is one. The choice among equals depends on both names, so that the load is spread.
func (p Part) relayFor(up []notch.Daemon, d notch.Daemon) string {
	best := p.self
	for _, r := range up {
		if r.Replica && compareRelays(r, best, d) > 0 {
			best = r
		}
	}
	return best.Name
}

// compareRelays compares two replicas by how well they suit as the relay of a daemon.
func compareRelays(a, b, d notch.Daemon) int {
	inDomain := func(r notch.Daemon) int {
		if r.Domain == d.Domain {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(inDomain(a), inDomain(b)), cmp.Compare(relayHash(a, d), relayHash(b, d)), cmp.Compare(a.Name, b.Name))
}

func relayHash(r, d notch.Daemon) uint64 {
	h := fnv.New64a()
	h.Write([]byte(r.Name))
	h.Write([]byte{0})
	h.Write([]byte(d.Name))
	return notch.HashSeed(h.Sum64())
}
