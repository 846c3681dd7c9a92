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
	"tamaracknotch/share"
)

var (
	seeds     = flag.Int("seeds", 24, "number of seeded runs of each randomized test")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first run")
)

// controlTest is a randomized test of replicas, entries and operators.
type controlTest struct {
	*Testbed
	model         *editModel
	replicas      []*drive.Node
	entries       []*drive.Node
	editCount     int
	wipedAt       time.Duration     // when a disk was wiped last
	lastRevisions map[string]uint64 // greatest table revision in force at each daemon with a lease
}

func newControlTest(seed uint64) *controlTest {
	c := &controlTest{Testbed: New(seed), model: newEditModel(), lastRevisions: map[string]uint64{}}
	c.Policies.Consensus = consensus.DefaultLimits
	c.Policies.Consensus.SnapshotEntries, c.Policies.Consensus.RetainedEntries = 12, 4
	domains := []string{"north", "south", "west"}
	for i, name := range []string{"a", "b", "c"} {
		c.replicas = append(c.replicas, c.AddDaemon(name, domains[i], true, i == 0))
	}
	for i, name := range []string{"e", "f"} {
		c.entries = append(c.entries, c.AddDaemon(name, domains[i], false, false))
	}
	return c
}

// addVoters makes all three replicas voters.
func (c *controlTest) addVoters(t *testing.T) {
	c.Run(2 * time.Second)
	pools := []notch.Pool{
		{Name: notch.ControlPool, Kind: notch.ReplicaPool, Hosts: []string{"a", "b", "c"}},
		{Name: "sale", Kind: notch.ServicePool},
	}
	c.Submit(c.replicas[0], notch.EditTable{ID: "pools", Table: notch.PoolsTable, Base: 1, Pools: pools}, 5*time.Second, func(notch.Answer) {})
	c.Run(4 * time.Second)
	if p, _ := c.Consensus(c.replicas[0]); len(p.ReplicaSet().Voters) != 3 {
		t.Fatalf("voters: got %v, want 3", p.ReplicaSet())
	}
}

// sendOrRepeatEdit sends a new edit, based on the version in force at a random daemon,
// or sends an earlier edit again.
func (c *controlTest) sendOrRepeatEdit() {
	up := c.Up()
	if len(up) == 0 {
		return
	}
	n := up[c.Rand.IntN(len(up))]
	c.editCount++
	e := &editRecord{id: fmt.Sprintf("edit-%d", c.editCount), base: c.Tables(n).RoutesVersion, startedAt: c.Now()}
	if c.Rand.IntN(4) == 0 && c.editCount > 3 {
		e = c.model.edits[fmt.Sprintf("edit-%d", 1+c.Rand.IntN(c.editCount-1))]
		c.editCount--
	} else {
		e.content = "/" + e.id
		c.model.edits[e.id] = e
	}
	c.sendEdit(n, e)
}

// sendEdit sends an edit through a daemon and checks the answer.
func (c *controlTest) sendEdit(n *drive.Node, e *editRecord) {
	route := notch.Route{Name: "sale", Path: e.content, Pool: "sale", Timeout: time.Second}
	cmd := notch.EditTable{ID: e.id, Table: notch.RoutesTable, Base: e.base, Routes: []notch.Route{route}, By: e.id}
	versionAtStart := c.model.highestAccepted
	if e.answeredAt != 0 || e.startedAt != c.Now() {
		versionAtStart = 0 // a resend: the edit may have been applied at any time since the first send
	}
	c.Submit(n, cmd, 3*time.Second, func(a notch.Answer) {
		if a.Err == nil {
			c.model.checkAnswer(e, versionAtStart, c.Now(), a.Result.(notch.EditResult))
		}
	})
}

// changeFailures causes or ends one failure of a daemon, a link or a disk.
func (c *controlTest) changeFailures() {
	all := c.Nodes()
	n := all[c.Rand.IntN(len(all))]
	other := all[c.Rand.IntN(len(all))]
	switch c.Rand.IntN(14) {
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
		c.wipeIfSafe()
	case 11:
		if n.Up && n.Disk != nil {
			n.Disk.Failing = true
		}
	case 12, 13:
		if n.Disk != nil {
			n.Disk.Full = !n.Disk.Full
		}
	}
}

// wipeIfSafe wipes the disk of a random replica if all voters are up, have their
// disks and are caught up, and the latest wipe was at least 30 s ago. Three replicas
// don't survive the loss of two disks at a time.
func (c *controlTest) wipeIfSafe() {
	if c.Now()-c.wipedAt < 30*time.Second {
		return
	}
	for _, n := range c.replicas {
		p, _ := c.Consensus(n)
		if !n.Up || n.Disk.Failing || n.Disk.Full || len(p.ReplicaSet().Voters) != 3 || len(p.ReplicaSet().Learners) != 0 || p.CommitIndex() < c.highestCommit() {
			return
		}
		for _, v := range p.ReplicaSet().Voters {
			if c.Node(v.Name).Disk.Storage != v.Storage {
				return
			}
		}
	}
	n := c.replicas[c.Rand.IntN(len(c.replicas))]
	c.Kill(n)
	c.Wipe(n)
	c.Start(n)
	c.wipedAt = c.Now()
}

// highestCommit returns the greatest commit index of the replicas.
func (c *controlTest) highestCommit() uint64 {
	most := uint64(0)
	for _, n := range c.replicas {
		p, _ := c.Consensus(n)
		most = max(most, p.CommitIndex())
	}
	return most
}

// checkRevisions checks that no entry that holds a lease, and so may send requests,
// returns to an earlier revision of the tables, or uses tables older than an edit that
// was accepted more than a lease ago.
func (c *controlTest) checkRevisions() {
	oldest := c.model.versionAcceptedBy(c.Now() - share.DefaultTiming.Lease)
	for _, n := range c.Nodes() {
		if !c.Leased(n) {
			continue
		}
		if v := c.Tables(n).RoutesVersion; v < oldest {
			c.model.reportViolation("%v: %s uses version %d of the routes a lease after %d was accepted", c.Now(), n.Self.Name, v, oldest)
		}
		r := c.Tables(n).Revision
		if r < c.lastRevisions[n.Self.Name] {
			c.model.reportViolation("%v: %s uses revision %d of the tables after %d", c.Now(), n.Self.Name, r, c.lastRevisions[n.Self.Name])
		}
		c.lastRevisions[n.Self.Name] = r
	}
}

// endFailures ends all failures of daemons, links and disks, and lets the cluster
// recover.
func (c *controlTest) endFailures() {
	c.Heal()
	c.Net.Loss, c.Net.Duplicates = 0, 0
	for _, n := range c.Nodes() {
		if n.Disk != nil {
			n.Disk.Full = false
		}
		if n.Up && n.Disk != nil && n.Disk.Failing {
			c.Kill(n)
		}
		if !n.Up {
			c.Start(n)
		}
	}
	c.Run(15 * time.Second)
}

// checkConvergence ends all failures and checks that all daemons end with the same
// tables, as the model expects them.
func (c *controlTest) checkConvergence() {
	c.endFailures()
	// A last edit shows that the cluster accepts edits again.
	n := c.replicas[0]
	e := &editRecord{id: "last", base: c.Tables(n).RoutesVersion, content: "/last", startedAt: c.Now()}
	c.sendEdit(n, e)
	c.Run(6 * time.Second)
	if e.answeredAt == 0 || e.result.Outcome != notch.EditAccepted {
		c.model.reportViolation("the last edit wasn't accepted: %+v", e.result)
	}
	for _, n := range c.Nodes() {
		if got := c.Tables(n); got.Revision != c.Tables(c.replicas[0]).Revision {
			c.model.reportViolation("%s ends at revision %d, %s at %d", n.Self.Name, got.Revision, "a", c.Tables(c.replicas[0]).Revision)
		}
		c.model.checkFinalTables(c.Tables(n))
	}
}

func TestRandomControl(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := newControlTest(seed)
			c.addVoters(t)
			for range 120 {
				c.sendOrRepeatEdit()
				if c.Rand.IntN(3) == 0 {
					c.changeFailures()
				}
				c.Run(time.Duration(c.Rand.IntN(800)) * time.Millisecond)
				c.checkRevisions()
			}
			c.checkConvergence()
			if len(c.model.errs) > 0 {
				t.Fatalf("seed %d:\n%s\nlast log messages:\n%s", seed, strings.Join(c.model.errs, "\n"), strings.Join(c.LogMessages[max(0, len(c.LogMessages)-30):], "\n"))
			}
		})
	}
}
