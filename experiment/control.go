package experiment

import (
	"fmt"
	"slices"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/drive"
	"tamaracknotch/fake"
)

// topology is a set of daemons and the network between them.
type topology struct {
	name             string
	domains          int
	daemonsPerDomain int // daemons in each failure domain
	replicas         int
	regionDelay      time.Duration // one-way delay between failure domains of a region
	interRegionDelay time.Duration // one-way delay between regions; a region has two failure domains
	lossRate         float64       // share of the messages that are lost
}

var topologies = []topology{
	{"today: 9 daemons, 3 domains, 5 ms", 3, 3, 3, 5 * time.Millisecond, 5 * time.Millisecond, 0},
	{"today with 1% loss", 3, 3, 3, 5 * time.Millisecond, 5 * time.Millisecond, 0.01},
	{"36 daemons, 6 regions, 12 domains, 5 ms and 40 ms", 12, 3, 5, 5 * time.Millisecond, 40 * time.Millisecond, 0},
	{"the same with 1% loss", 12, 3, 5, 5 * time.Millisecond, 40 * time.Millisecond, 0.01},
}

// startTestbed starts the daemons, l.replicas of which become replicas.
func (l topology) startTestbed(seed uint64) (*fake.Testbed, []*drive.Node) {
	s := fake.New(seed)
	s.Net.Loss = l.lossRate
	region := func(n *drive.Node) string { return n.Self.Domain[:2] }
	s.Net.Delay = func(a, b *drive.Node) time.Duration {
		switch {
		case a.Self.Domain == b.Self.Domain:
			return 200 * time.Microsecond
		case region(a) == region(b) || l.domains <= 3:
			return l.regionDelay
		default:
			return l.interRegionDelay
		}
	}
	var nodes []*drive.Node
	var replicas []string
	for i := range l.domains * l.daemonsPerDomain {
		d := i % l.domains
		name := fmt.Sprintf("n%02d", i)
		replica := i < l.replicas
		if replica {
			replicas = append(replicas, name)
		}
		nodes = append(nodes, s.AddDaemon(name, fmt.Sprintf("r%d-%d", d/2, d), replica, i == 0))
	}
	s.Run(3 * time.Second)
	pools := []notch.Pool{{Name: notch.ControlPool, Kind: notch.ReplicaPool, Hosts: replicas}, {Name: "sale", Kind: notch.ServicePool}}
	s.Submit(nodes[0], notch.EditTable{ID: "p", Table: notch.PoolsTable, Base: 1, Pools: pools}, 5*time.Second, func(notch.Answer) {})
	s.Run(8 * time.Second)
	return s, nodes
}

// Control measures how long edits of the tables take to be in force on every daemon,
// and how long elections take.
func Control(full bool, seed uint64) []Table {
	edits, trials := 60, 20
	if full {
		edits, trials = 300, 100
	}
	t := Table{
		Title:   "edits in force on every daemon, and elections after the death of a leader (virtual time)",
		Columns: []string{"accepted p50 s", "accepted p99 s", "in force p50 s", "in force p99 s", "election p50 s", "election p99 s", "never in force"},
	}
	t.Rows = parallelRows(len(topologies), func(i int) Row { return topologies[i].row(edits, trials, seed) })
	for i, l := range topologies {
		maxSeconds := 1.0
		if i >= 2 {
			maxSeconds = 18
		}
		t.Checks = append(t.Checks, Check{Name: l.name + ": in force p99, s", Measured: t.value(l.name, "in force p99 s"), Max: maxSeconds})
	}
	t.Checks = append(t.Checks, Check{Name: "election p99 today, s", Measured: t.value(topologies[0].name, "election p99 s"), Max: 2})
	return []Table{t}
}

// row measures one topology and returns its figures.
func (l topology) row(edits, trials int, seed uint64) Row {
	accepted, inForce, neverInForce := l.measureEdits(edits, seed)
	elections := l.measureElections(trials, seed)
	for _, v := range [][]float64{accepted, inForce, elections} {
		slices.Sort(v)
	}
	return Row{l.name, []float64{
		quantile(accepted, 0.5), quantile(accepted, 0.99), quantile(inForce, 0.5), quantile(inForce, 0.99),
		quantile(elections, 0.5), quantile(elections, 0.99), float64(neverInForce),
	}}
}

// pollInterval is the interval in virtual time at which a condition is checked, and
// thus the resolution of the measurements.
const pollInterval = 5 * time.Millisecond

// measureEdits submits n edits, through one daemon after another. It returns the seconds
// until each was accepted and until it was in force on every daemon, and the number of
// edits of which either didn't happen within 20 seconds.
func (l topology) measureEdits(n int, seed uint64) (accepted, inForce []float64, neverInForce int) {
	s, nodes := l.startTestbed(seed)
	for i := range n {
		target := nodes[i%len(nodes)]
		route := notch.Route{Name: "sale", Path: fmt.Sprintf("/%d", i), Pool: "sale", Timeout: time.Second}
		cmd := notch.EditTable{ID: fmt.Sprintf("e%d", i), Table: notch.RoutesTable, Base: uint64(i), Routes: []notch.Route{route}}
		start := s.Now()
		acceptedAfter := time.Duration(0)
		s.Submit(target, cmd, 10*time.Second, func(a notch.Answer) {
			if a.Err == nil {
				acceptedAfter = s.Now() - start
			}
		})
		everywhere := func() bool {
			return !slices.ContainsFunc(nodes, func(n *drive.Node) bool { return s.Tables(n).RoutesVersion <= uint64(i) })
		}
		for s.Now()-start < 20*time.Second && (acceptedAfter == 0 || !everywhere()) {
			s.Run(pollInterval)
		}
		if acceptedAfter == 0 || !everywhere() {
			neverInForce++
			continue
		}
		accepted = append(accepted, acceptedAfter.Seconds())
		inForce = append(inForce, (s.Now() - start).Seconds())
		s.Run(time.Duration(s.Rand.IntN(400)) * time.Millisecond)
	}
	return accepted, inForce, neverInForce
}

// measureElections kills the leader n times and returns the seconds until another
// daemon leads, at most 20 each. A trial without a leader at its start is skipped.
func (l topology) measureElections(n int, seed uint64) (took []float64) {
	s, nodes := l.startTestbed(seed)
	for range n {
		i := slices.IndexFunc(nodes, s.IsLeader)
		if i < 0 {
			s.Run(time.Second)
			continue
		}
		oldLeader := nodes[i]
		s.Kill(oldLeader)
		start := s.Now()
		for s.Now()-start < 20*time.Second && !slices.ContainsFunc(nodes, s.IsLeader) {
			s.Run(pollInterval)
		}
		took = append(took, (s.Now() - start).Seconds())
		s.Start(oldLeader)
		s.Run(3 * time.Second)
	}
	return took
}
