package fake

import (
	"slices"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/drive"
)

// Inventory simulates an inventory of the agents' hosts, which is read page by page.
type Inventory struct {
	Down     bool          // calls for it get no answer
	Busy     bool          // calls for it are rejected
	Lag      time.Duration // how old what it says is
	PageSize int           // hosts on a page

	changes []hostChange // in the order of their times
}

// hostChange is that a host was added or removed.
type hostChange struct {
	at    time.Duration
	host  string
	added bool
}

const (
	inventoryDelay    = 10 * time.Millisecond // between a call for a page and its answer
	inventoryPageSize = 5
)

// NameHosts gives each agent a host of its own, which it announces from now on.
func (s *Testbed) NameHosts() {
	for _, a := range s.Agents {
		a.Host = hostOf(a.ID)
	}
}

// hostOf returns the host on which the agent with an id starts first.
func hostOf(id string) string { return "host-" + id }

// UseInventory gives the daemons an inventory of the hosts of the agents. Each agent has a host of its own. The daemons
// restart with it.
func (s *Testbed) UseInventory() {
	s.Inventory = &Inventory{PageSize: inventoryPageSize}
	s.NameHosts()
	for _, a := range s.Agents {
		s.addHost(a.Host)
	}
	for _, n := range s.Nodes() {
		s.Kill(n)
	}
	for _, n := range s.Nodes() {
		s.Start(n)
	}
}

// addHost adds a host to the inventory, if there is one.
func (s *Testbed) addHost(host string) {
	if s.Inventory != nil {
		s.Inventory.changes = append(s.Inventory.changes, hostChange{s.Now(), host, true})
	}
}

// LoseHost ends an agent, whose host goes dark and doesn't exist any more.
func (s *Testbed) LoseHost(a *Agent) {
	a.Dark = true
	s.KillAgent(a)
	if s.Inventory != nil {
		s.Inventory.changes = append(s.Inventory.changes, hostChange{s.Now(), a.Host, false})
	}
}

// hostsAt returns the hosts that the inventory knew at the given time, sorted.
func (i *Inventory) hostsAt(at time.Duration) []string {
	exists := map[string]bool{}
	for _, c := range i.changes {
		if c.at <= at {
			exists[c.host] = c.added
		}
	}
	var out []string
	for host, there := range exists {
		if there {
			out = append(out, host)
		}
	}
	slices.Sort(out)
	return out
}

// listHosts answers a call for a list of hosts.
func (s *Testbed) listHosts(n *drive.Node, f notch.ListHosts) {
	asked, done := s.Time(n), false
	answer := func(hosts []string, failure string) {
		if !done {
			done = true
			s.Post(n, notch.HostsListed{AskedAt: asked, ReceivedAt: s.Time(n), Hosts: hosts, Failure: failure})
		}
	}
	s.After(f.Timeout, func() { answer(nil, "no answer") })
	s.readHostPages(nil, answer)
}

// readHostPages reads the next page of the list, and then the others. Hosts that were added or removed since the page
// before move the positions of others.
func (s *Testbed) readHostPages(read []string, answer func(hosts []string, failure string)) {
	s.After(inventoryDelay, func() {
		i := s.Inventory
		switch {
		case i.Down:
			return
		case i.Busy:
			answer(nil, "too many calls")
			return
		}
		hosts := i.hostsAt(s.Now() - i.Lag)
		from := min(len(read), len(hosts))
		to := min(from+i.PageSize, len(hosts))
		read = append(slices.Clip(read), hosts[from:to]...)
		if to == len(hosts) {
			answer(read, "")
			return
		}
		s.readHostPages(read, answer)
	})
}
