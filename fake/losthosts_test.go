package fake

import (
	"testing"
	"time"

	notch "tamaracknotch"
)

// The inventory and its hosts in TestRandomWorkflowsLostHosts.
const (
	maxInventoryLag    = 9 * time.Second // by which what it says is old, each time another one
	inventoryPeriod    = 3 * time.Second // after which it is in another state
	maxLostHosts       = 3               // in one disruption
	lostHostsOrderLate = 0.1
)

// TestRandomWorkflowsLostHosts guards against tasks that run twice because the inventory of hosts is old, doesn't answer, or is
// read while hosts come and go, or because another agent on a host is taken for proof of the end of one that runs on. Agents restart
// under their ids or others and are cut off as in TestRandomWorkflowsReborn, and others are lost for good with their hosts, and replaced.
func TestRandomWorkflowsLostHosts(t *testing.T) {
	playSeeds(t, *seeds/8, func(t *testing.T, seed uint64) {
		r := newRebornTest(t, seed, rebornCase{MaxRestart: 4 * time.Second, LateShare: lostHostsOrderLate})
		r.UseInventory()
		r.Run(15 * time.Second)
		for i, a := range r.agents {
			a.NewID = i%2 == 0
		}
		r.changeInventory()
		r.submitSome(6 * time.Second)
		for range rebornDisruptions {
			r.replaceHosts()
			r.submitSome(r.disrupt() + r.between(0, 5*time.Second))
		}
		r.end(t)
	})
}

// changeInventory puts the inventory into a random state, again and again.
func (r *rebornTest) changeInventory() {
	i := r.Inventory
	i.Down, i.Busy = r.Rand.IntN(8) == 0, r.Rand.IntN(8) == 0
	i.Lag = 0
	if r.Rand.IntN(2) == 0 {
		i.Lag = r.between(0, maxInventoryLag)
	}
	r.After(inventoryPeriod, r.changeInventory)
}

// replaceHosts lets some agents be lost for good within seconds, some of them after they were cut off, and adds others.
func (r *rebornTest) replaceHosts() {
	r.Rand.Shuffle(len(r.agents), func(i, j int) { r.agents[i], r.agents[j] = r.agents[j], r.agents[i] })
	lost := 1 + r.Rand.IntN(maxLostHosts)
	for _, a := range r.agents[:lost] {
		cut, loss := r.between(0, 5*time.Second), r.between(0, 10*time.Second)
		r.After(cut, func() { a.CutOff = cut < loss })
		r.After(loss, func() { r.LoseHost(a) })
	}
	r.agents = r.agents[lost:]
	for range lost {
		r.After(r.between(0, 10*time.Second), func() { r.agents = append(r.agents, r.newAgent()) })
	}
}

// newAgent adds an agent like the others, under a new id.
func (r *rebornTest) newAgent() *Agent {
	a := r.addAgent(len(r.Agents))
	a.RunTime, a.LateShare, a.NewID = r.runTime, r.LateShare, r.Rand.IntN(2) == 0
	a.Fails = func(ref notch.RunRef) bool { return ref.Task.Index%4 == 3 && r.Rand.IntN(2) == 0 }
	return a
}
