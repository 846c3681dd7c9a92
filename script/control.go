package script

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/api"
	"tamaracknotch/drive"
	"tamaracknotch/tablefile"
)

func (r *scriptState) daemon(args []string) {
	r.AddDaemon(args[0], args[1], slices.Contains(args, "replica"), slices.Contains(args, "bootstrap"))
}

func (r *scriptState) startAll(args []string) {
	for _, name := range args {
		r.Start(r.node(name))
	}
}

func (r *scriptState) killAll(args []string) {
	for _, name := range args {
		r.Kill(r.node(name))
	}
}

func (r *scriptState) wipe(args []string) { r.Wipe(r.node(args[0])) }

func (r *scriptState) diskFull(args []string) { r.node(args[0]).Disk.Full = isYes(args[1]) }

// stallDisk lets no sync of a daemon's disk complete for a time.
func (r *scriptState) stallDisk(args []string) {
	r.node(args[0]).Disk.StalledUntil = r.Now() + r.duration(args[1])
}

// slowDisk sets the duration of the syncs of daemons' disks.
func (r *scriptState) slowDisk(args []string) {
	for _, name := range args[1:] {
		r.node(name).Disk.SyncTime = r.duration(args[0])
	}
}

func (r *scriptState) failSync(args []string) { r.node(args[0]).Disk.Failing = true }

// stopDaemon stops a daemon gracefully: it starts its shutdown and is killed 300 ms
// later.
func (r *scriptState) stopDaemon(args []string) {
	n := r.node(args[0])
	r.Post(n, notch.ShutdownStarted{})
	r.After(300*time.Millisecond, func() { r.Kill(n) })
}

func (r *scriptState) cutBoth(args []string) {
	r.Cut(args[0], args[1])
	r.Cut(args[1], args[0])
}

func (r *scriptState) cutOne(args []string) { r.Cut(args[0], args[1]) }

func (r *scriptState) isolate(args []string) {
	for _, n := range r.Nodes() {
		if n.Self.Name != args[0] && !slices.Contains(args[1:], n.Self.Name) {
			r.cutBoth([]string{args[0], n.Self.Name})
		}
	}
}

// slow adds to the delay of links between a failure domain and the others.
func (r *scriptState) slow(args []string) {
	usual, more := r.Net.Delay, r.duration(args[1])
	r.Net.Delay = func(from, to *drive.Node) time.Duration {
		d := usual(from, to)
		if from.Self.Domain != to.Self.Domain && (from.Self.Domain == args[0] || to.Self.Domain == args[0]) {
			d += more
		}
		return d
	}
}

func (r *scriptState) leaders() []string {
	var out []string
	for _, n := range r.Nodes() {
		if r.IsLeader(n) {
			out = append(out, n.Self.Name)
		}
	}
	return out
}

// leader checks that exactly one daemon leads, and sets the variables LEADER,
// FOLLOWERS, FOLLOWER1 and so on for the rest of the script.
func (r *scriptState) leader(args []string) {
	got := r.leaders()
	if len(got) != 1 || len(args) > 0 && got[0] != args[0] {
		r.fatalf("leaders: got %q, want %q", got, args)
	}
	r.ts.Setenv("LEADER", got[0])
	r.ts.Setenv("FOLLOWERS", strings.Join(r.followers(got[0]), " "))
	for i, f := range r.followers(got[0]) {
		r.ts.Setenv("FOLLOWER"+string(rune('1'+i)), f)
	}
}

// followers returns the running replicas except the leader.
func (r *scriptState) followers(leader string) []string {
	var out []string
	for _, n := range r.Nodes() {
		if n.Up && n.Disk != nil && n.Self.Name != leader {
			out = append(out, n.Self.Name)
		}
	}
	return out
}

func (r *scriptState) noLeader(args []string) {
	if r.IsLeader(r.node(args[0])) {
		r.fatalf("%s leads", args[0])
	}
}

func (r *scriptState) voters(args []string) {
	for _, n := range r.Nodes() {
		if !r.IsLeader(n) {
			continue
		}
		p, _ := r.Consensus(n)
		var got []string
		for _, v := range p.ReplicaSet().Voters {
			got = append(got, v.Name)
		}
		slices.Sort(got)
		if want := slices.Sorted(slices.Values(args)); !slices.Equal(got, want) {
			r.fatalf("voters: got %q, want %q", got, want)
		}
		return
	}
	r.fatalf("no daemon leads")
}

// commandTimeout is the time in which a command or query of a script has to be answered.
const commandTimeout = 5 * time.Second

func (r *scriptState) put(args []string) {
	n, name := r.node(args[0]), notch.TableName(args[1])
	p, err := tablefile.Parse(name, strings.NewReader(r.ts.ReadFile(args[4])))
	r.ts.Check(err)
	routes, _ := api.ConvertRoutes(p.Routes)
	id := args[3]
	// The part of the name after a slash distinguishes a resend, as in "first/again".
	// It is not part of the edit's id.
	editID, _, _ := strings.Cut(id, "/")
	r.edits[id] = nil
	cmd := notch.EditTable{
		ID: editID, Table: name, Base: uint64(r.number(args[2])), Routes: routes, Pools: api.ConvertPools(p.Pools), By: id,
	}
	r.Submit(n, cmd, commandTimeout, func(a notch.Answer) { r.edits[id] = &a })
}

// outcome compares the answer to an edit: the outcome and the version, or not-known
// if the edit ended with an error, or none if there is no answer yet.
func (r *scriptState) outcome(args []string) {
	a, sent := r.edits[args[0]]
	if !sent {
		r.fatalf("there was no edit %q", args[0])
	}
	got, version := "none", 0
	switch {
	case a == nil:
	case a.Err != nil:
		got = "not-known"
	default:
		res := a.Result.(notch.EditResult)
		got, version = string(res.Outcome), int(res.Version)
	}
	if got != args[1] {
		r.fatalf("edit %s: got %s, want %s", args[0], got, args[1])
	}
	if len(args) > 2 && version != r.number(args[2]) {
		r.fatalf("edit %s: got version %d, want %s", args[0], version, args[2])
	}
}

func (r *scriptState) revision(args []string) {
	r.compare("revision at "+args[0], int(r.Tables(r.node(args[0])).Revision), "=", args[1])
}

func (r *scriptState) leased(args []string) {
	if got := r.Leased(r.node(args[0])); got != isYes(args[1]) {
		r.fatalf("leased %s: got %v, want %s", args[0], got, args[1])
	}
}

// snapshots sets the snapshot limits and restarts all daemons with them.
func (r *scriptState) snapshots(args []string) {
	r.Policies.Consensus.SnapshotEntries, r.Policies.Consensus.RetainedEntries = r.number(args[0]), r.number(args[1])
	for _, n := range r.Nodes() {
		r.Kill(n)
		r.Start(n)
	}
}

// manyEdits sends edits of the routes one after another, each based on the version
// that the edit before it produced.
func (r *scriptState) manyEdits(args []string) {
	n := r.node(args[0])
	for i := range r.number(args[2]) {
		version := r.Tables(n).RoutesVersion
		route := notch.Route{Name: "sale", Path: fmt.Sprintf("/sale-%d", i), Pool: args[1], Timeout: time.Second}
		cmd := notch.EditTable{ID: fmt.Sprintf("many-%d", i), Table: notch.RoutesTable, Base: version, Routes: []notch.Route{route}}
		accepted := false
		r.Submit(n, cmd, commandTimeout, func(a notch.Answer) { accepted = a.Err == nil })
		for r.Run(20 * time.Millisecond); !accepted; r.Run(20 * time.Millisecond) {
			if r.Now() > time.Hour {
				r.fatalf("edit %d isn't accepted", i)
			}
		}
	}
}

// bandwidth limits the links of daemons.
func (r *scriptState) bandwidth(args []string) {
	for _, name := range args[1:] {
		r.node(name).Bandwidth = r.number(args[0]) * 1000 / 8
	}
}

// growRoutes sends an edit that replaces the routes by many.
func (r *scriptState) growRoutes(args []string) {
	n := r.node(args[0])
	r.editRoutes(n, manyRoutes(args[1], r.number(args[2])))
}

// storm sends edits that change one route each.
func (r *scriptState) storm(args []string) {
	n := r.node(args[0])
	for i := range r.number(args[1]) {
		routes := slices.Clone(r.Tables(n).Routes)
		routes[i%len(routes)].MaxQueue++
		r.editRoutes(n, routes)
		r.Run(r.duration(args[2]))
	}
}

// editRoutes sends an edit of the routes in force at a daemon.
func (r *scriptState) editRoutes(n *drive.Node, routes []notch.Route) {
	base := r.Tables(n).RoutesVersion
	cmd := notch.EditTable{ID: fmt.Sprintf("routes-%d", base), Table: notch.RoutesTable, Base: base, Routes: routes}
	r.Submit(n, cmd, commandTimeout, func(notch.Answer) {})
}

// sameTables checks that all running daemons use the same tables.
func (r *scriptState) sameTables(_ []string) {
	var want notch.Tables
	for i, n := range r.Nodes() {
		got := r.Tables(n).WithoutDocument()
		if i == 0 {
			want = got
		}
		if !reflect.DeepEqual(got, want) {
			r.fatalf("%s uses revision %d with %d routes, want the %d routes of revision %d", n.Self.Name, got.Revision, len(got.Routes), len(want.Routes), want.Revision)
		}
	}
}

func (r *scriptState) claim(args []string) {
	r.lastToken++
	delete(r.claims, args[2])
	cmd := notch.ClaimRequest{ID: args[1], Entry: args[0], Token: r.lastToken}
	r.Submit(r.node(args[0]), cmd, commandTimeout, func(a notch.Answer) {
		if a.Err == nil {
			r.claims[args[2]] = a.Result.(notch.ClaimResult).Granted
		}
	})
}

func (r *scriptState) claimed(args []string) {
	got, known := r.claims[args[0]]
	if !known || got != isYes(args[1]) {
		r.fatalf("claim %s granted: got %v (known: %v), want %s", args[0], got, known, args[1])
	}
}

// complete queries through a daemon whether the leader knows all entries that may
// hold a lease.
func (r *scriptState) complete(args []string) {
	var result notch.QueryResult
	r.Query(r.node(args[0]), notch.Query{Kind: notch.QueryEntries}, commandTimeout, func(a notch.AnswerQuery) { result = a.View })
	r.Run(100 * time.Millisecond)
	if result.Complete != isYes(args[1]) {
		r.fatalf("entries known completely: got %v, want %s", result.Complete, args[1])
	}
}
