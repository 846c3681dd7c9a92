package fake

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/consensus"
	"tamaracknotch/drive"
)

var (
	seeds = flag.Int("seeds", 24, "number of seeded runs of each randomized test")
	first = flag.Uint64("first-seed", 1, "seed of the first run")
)

// control is a randomized run of replicas, entries and operators.
type control struct {
	*Site
	model    *model
	replicas []*drive.Node
	entries  []*drive.Node
	edits    int
	wiped    time.Duration // when a disk was last wiped
	obeyed   map[string]uint64
}

func newControl(seed uint64) *control {
	c := &control{Site: New(seed), model: newModel(), obeyed: map[string]uint64{}}
	c.Policies.Consensus = consensus.DefaultLimits
	c.Policies.Consensus.Snapshot, c.Policies.Consensus.KeepBack = 12, 4
	domains := []string{"north", "south", "west"}
	for i, name := range []string{"a", "b", "c"} {
		c.replicas = append(c.replicas, c.AddDaemon(name, domains[i], true, i == 0))
	}
	for i, name := range []string{"e", "f"} {
		c.entries = append(c.entries, c.AddDaemon(name, domains[i], false, false))
	}
	return c
}

// boot makes all three replicas voters.
func (c *control) boot(t *testing.T) {
	c.Run(2 * time.Second)
	pools := []notch.Pool{
		{Name: notch.ControlPool, Kind: notch.ReplicaPool, Hosts: []string{"a", "b", "c"}},
		{Name: "sale", Kind: notch.ServicePool},
	}
	c.Submit(c.replicas[0], notch.EditTable{ID: "pools", Table: notch.PoolsTable, Base: 1, Pools: pools}, 5*time.Second, func(notch.Answer) {})
	c.Run(4 * time.Second)
	if p, _ := c.Consensus(c.replicas[0]); len(p.Set().Voters) != 3 {
		t.Fatalf("voters: got %v, want 3", p.Set())
	}
}

// edit sends an edit on the version that some daemon shows, or resends one.
func (c *control) edit() {
	up := c.Up()
	if len(up) == 0 {
		return
	}
	n := up[c.Rand.IntN(len(up))]
	c.edits++
	e := &editRecord{id: fmt.Sprintf("edit-%d", c.edits), base: c.Tables(n).RoutesVersion, begun: c.Now()}
	if c.Rand.IntN(4) == 0 && c.edits > 3 {
		e = c.model.edits[fmt.Sprintf("edit-%d", 1+c.Rand.IntN(c.edits-1))]
		c.edits--
	} else {
		e.content = "/" + e.id
		c.model.edits[e.id] = e
	}
	c.send(n, e)
}

func (c *control) send(n *drive.Node, e *editRecord) {
	route := notch.Route{Name: "sale", Path: e.content, Pool: "sale", Timeout: time.Second}
	cmd := notch.EditTable{ID: e.id, Table: notch.RoutesTable, Base: e.base, Routes: []notch.Route{route}, By: e.id}
	knew := c.model.highest
	if e.known != 0 || e.begun != c.Now() {
		knew = 0 // the first send may have been applied long ago
	}
	c.Submit(n, cmd, 3*time.Second, func(a notch.Answer) {
		if a.Err == nil {
			c.model.answer(e, knew, c.Now(), a.Result.(notch.EditResult))
		}
	})
}

// disturb causes one failure or ends one.
func (c *control) disturb() {
	all := c.Nodes()
	n := all[c.Rand.IntN(len(all))]
	other := all[c.Rand.IntN(len(all))]
	switch c.Rand.IntN(12) {
	case 0, 1:
		if n.Up {
			c.Kill(n)
		}
	case 2, 3, 4:
		for _, n := range all {
			if !n.Up && c.Rand.IntN(2) == 0 {
				c.Start(n)
			}
		}
	case 5:
		c.Cut(n.Self.Name, other.Self.Name)
	case 6:
		for _, o := range all {
			if o != n && c.Rand.IntN(4) > 0 {
				c.Cut(n.Self.Name, o.Self.Name)
				c.Cut(o.Self.Name, n.Self.Name)
			}
		}
	case 7, 8:
		c.Heal()
	case 9:
		c.Net.Loss = c.Rand.Float64() * 0.2
		c.Net.Duplicates = c.Rand.Float64() * 0.1
	case 10:
		c.maybeWipe()
	case 11:
		if n.Up && n.Disk != nil {
			n.Disk.Failing = true
		}
	}
}

// maybeWipe empties a replica's disk, if all voters are whole and caught up: more
// than one lost disk of three at a time is more than can be survived.
func (c *control) maybeWipe() {
	if c.Now()-c.wiped < 30*time.Second {
		return
	}
	for _, n := range c.replicas {
		p, _ := c.Consensus(n)
		if !n.Up || n.Disk.Failing || len(p.Set().Voters) != 3 || len(p.Set().Learners) != 0 || p.Commit() < c.committed() {
			return
		}
		for _, v := range p.Set().Voters {
			if c.Node(v.Name).Disk.Storage != v.Storage {
				return
			}
		}
	}
	n := c.replicas[c.Rand.IntN(len(c.replicas))]
	c.Kill(n)
	c.Wipe(n)
	c.Start(n)
	c.wiped = c.Now()
}

func (c *control) committed() uint64 {
	most := uint64(0)
	for _, n := range c.replicas {
		p, _ := c.Consensus(n)
		most = max(most, p.Commit())
	}
	return most
}

// watch checks that no entry that may send requests goes back to an earlier
// revision.
func (c *control) watch() {
	for _, n := range c.Nodes() {
		if !c.Leased(n) {
			continue
		}
		r := c.Tables(n).Revision
		if r < c.obeyed[n.Self.Name] {
			c.model.fail("%v: %s obeys revision %d after %d", c.Now(), n.Self.Name, r, c.obeyed[n.Self.Name])
		}
		c.obeyed[n.Self.Name] = r
	}
}

// mend ends all failures of daemons and links.
func (c *control) mend() {
	c.Heal()
	c.Net.Loss, c.Net.Duplicates = 0, 0
	for _, n := range c.Nodes() {
		if n.Up && n.Disk != nil && n.Disk.Failing {
			c.Kill(n)
		}
		if !n.Up {
			c.Start(n)
		}
	}
	c.Run(15 * time.Second)
}

// settle ends all failures and compares the ends.
func (c *control) settle() {
	c.mend()
	// A last edit shows that the cluster takes edits again.
	n := c.replicas[0]
	e := &editRecord{id: "last", base: c.Tables(n).RoutesVersion, content: "/last", begun: c.Now()}
	c.send(n, e)
	c.Run(6 * time.Second)
	if e.known == 0 || e.result.Outcome != notch.EditAccepted {
		c.model.fail("the last edit wasn't accepted: %+v", e.result)
	}
	for _, n := range c.Nodes() {
		if got := c.Tables(n); got.Revision != c.Tables(c.replicas[0]).Revision {
			c.model.fail("%s ends at revision %d, %s at %d", n.Self.Name, got.Revision, "a", c.Tables(c.replicas[0]).Revision)
		}
		c.model.settle(c.Tables(n))
	}
}

func TestRandomControl(t *testing.T) {
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := newControl(seed)
			c.boot(t)
			for range 120 {
				c.edit()
				if c.Rand.IntN(3) == 0 {
					c.disturb()
				}
				c.Run(time.Duration(c.Rand.IntN(800)) * time.Millisecond)
				c.watch()
			}
			c.settle()
			if len(c.model.errs) > 0 {
				t.Fatalf("seed %d:\n%s\nlast notices:\n%s", seed, strings.Join(c.model.errs, "\n"), strings.Join(c.Notices[max(0, len(c.Notices)-30):], "\n"))
			}
		})
	}
}
