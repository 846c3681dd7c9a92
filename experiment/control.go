package experiment

import (
	"fmt"
	"slices"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/drive"
	"tamaracknotch/fake"
)

// layout is a set of daemons and how far apart they are.
type layout struct {
	name     string
	domains  int
	each     int // daemons in a failure domain
	replicas int
	near     time.Duration // one way within a region
	far      time.Duration // one way between regions; two failure domains are a region
	loss     float64
}

var layouts = []layout{
	{"today: 9 daemons, 3 domains, 5 ms", 3, 3, 3, 5 * time.Millisecond, 5 * time.Millisecond, 0},
	{"today with 1% loss", 3, 3, 3, 5 * time.Millisecond, 5 * time.Millisecond, 0.01},
	{"36 daemons, 6 regions, 12 domains, 5 ms and 40 ms", 12, 3, 5, 5 * time.Millisecond, 40 * time.Millisecond, 0},
	{"the same with 1% loss", 12, 3, 5, 5 * time.Millisecond, 40 * time.Millisecond, 0.01},
}

func (l layout) start(seed uint64) (*fake.Site, []*drive.Node) {
	s := fake.New(seed)
	s.Net.Loss = l.loss
	region := func(n *drive.Node) string { return n.Self.Domain[:2] }
	s.Net.Delay = func(a, b *drive.Node) time.Duration {
		switch {
		case a.Self.Domain == b.Self.Domain:
			return 200 * time.Microsecond
		case region(a) == region(b) || l.domains <= 3:
			return l.near
		default:
			return l.far
		}
	}
	var nodes []*drive.Node
	var control []string
	for i := range l.domains * l.each {
		d := i % l.domains
		name := fmt.Sprintf("n%02d", i)
		replica := i < l.replicas
		if replica {
			control = append(control, name)
		}
		nodes = append(nodes, s.AddDaemon(name, fmt.Sprintf("r%d-%d", d/2, d), replica, i == 0))
	}
	s.Run(3 * time.Second)
	pools := []notch.Pool{{Name: notch.ControlPool, Kind: notch.ReplicaPool, Hosts: control}, {Name: "sale", Kind: notch.ServicePool}}
	s.Submit(nodes[0], notch.EditTable{ID: "p", Table: notch.PoolsTable, Base: 1, Pools: pools}, 5*time.Second, func(notch.Answer) {})
	s.Run(8 * time.Second)
	return s, nodes
}

// Control measures edits and elections.
func Control(full bool, seed uint64) []Table {
	edits, trials := 60, 20
	if full {
		edits, trials = 300, 100
	}
	t := Table{
		Title:   "edits in force on every daemon, and elections after the death of a leader (virtual time)",
		Columns: []string{"accepted p50 s", "accepted p99 s", "in force p50 s", "in force p99 s", "election p50 s", "election p99 s", "never"},
	}
	t.Rows = parallel(len(layouts), func(i int) Row { return layouts[i].row(edits, trials, seed) })
	for i, l := range layouts {
		most := 1.0
		if i >= 2 {
			most = 18
		}
		t.Checks = append(t.Checks, Check{What: l.name + ": in force p99, s", Got: t.value(l.name, "in force p99 s"), Most: most})
	}
	t.Checks = append(t.Checks, Check{What: "election p99 today, s", Got: t.value(layouts[0].name, "election p99 s"), Most: 2})
	return []Table{t}
}

func (l layout) row(edits, trials int, seed uint64) Row {
	accepted, inForce, missing := l.edits(edits, seed)
	elections := l.elections(trials, seed)
	for _, v := range [][]float64{accepted, inForce, elections} {
		slices.Sort(v)
	}
	return Row{l.name, []float64{
		quantile(accepted, 0.5), quantile(accepted, 0.99), quantile(inForce, 0.5), quantile(inForce, 0.99),
		quantile(elections, 0.5), quantile(elections, 0.99), float64(missing),
	}}
}

// fine is the resolution of the measurements.
const fine = 5 * time.Millisecond

// edits puts edits through changing daemons and times them.
func (l layout) edits(n int, seed uint64) (accepted, inForce []float64, missing int) {
	s, nodes := l.start(seed)
	for i := range n {
		node := nodes[i%len(nodes)]
		route := notch.Route{Name: "sale", Path: fmt.Sprintf("/%d", i), Pool: "sale", Timeout: time.Second}
		cmd := notch.EditTable{ID: fmt.Sprintf("e%d", i), Table: notch.RoutesTable, Base: uint64(i), Routes: []notch.Route{route}}
		began := s.Now()
		done := time.Duration(0)
		s.Submit(node, cmd, 10*time.Second, func(a notch.Answer) {
			if a.Err == nil {
				done = s.Now() - began
			}
		})
		everywhere := func() bool {
			return !slices.ContainsFunc(nodes, func(n *drive.Node) bool { return s.Tables(n).RoutesVersion <= uint64(i) })
		}
		for s.Now()-began < 20*time.Second && (done == 0 || !everywhere()) {
			s.Run(fine)
		}
		if done == 0 || !everywhere() {
			missing++
			continue
		}
		accepted = append(accepted, done.Seconds())
		inForce = append(inForce, (s.Now() - began).Seconds())
		s.Run(time.Duration(s.Rand.IntN(400)) * time.Millisecond)
	}
	return accepted, inForce, missing
}

// elections kills the leader again and again and times its successor.
func (l layout) elections(n int, seed uint64) (took []float64) {
	s, nodes := l.start(seed)
	for range n {
		i := slices.IndexFunc(nodes, s.Leads)
		if i < 0 {
			s.Run(time.Second)
			continue
		}
		old := nodes[i]
		s.Kill(old)
		began := s.Now()
		for s.Now()-began < 20*time.Second && !slices.ContainsFunc(nodes, s.Leads) {
			s.Run(fine)
		}
		took = append(took, (s.Now() - began).Seconds())
		s.Start(old)
		s.Run(3 * time.Second)
	}
	return took
}
