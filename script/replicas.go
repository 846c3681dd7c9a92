package script

import (
	"fmt"
	"slices"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/drive"
)

// replicas makes the leader choose the voters of the daemons that are started from now on.
func (r *scriptState) replicas(args []string) { r.Policies.Replicas = r.number(args[0]) }

// every calls f at intervals until the duration has passed.
func (r *scriptState) every(interval, d time.Duration, f func()) {
	end := r.Now() + d
	var next func()
	next = func() {
		if r.Now() >= end {
			return
		}
		f()
		r.After(interval, next)
	}
	next()
}

// commands submits claims at a constant rate, each of a new request.
func (r *scriptState) commands(args []string) {
	n := r.node(args[0])
	r.every(time.Second/time.Duration(r.number(args[1])), r.duration(args[2]), func() {
		r.lastToken++
		cmd := notch.ClaimRequest{ID: fmt.Sprintf("sale/request-%d", r.lastToken), Entry: n.Self.Name, Token: r.lastToken}
		r.Submit(n, cmd, commandTimeout, func(notch.Answer) {})
	})
}

// versions submits documents at intervals, each a new version with that many routes.
func (r *scriptState) versions(args []string) {
	n, routes, version := r.node(args[0]), manyRoutes(args[1], r.number(args[2])), uint64(0)
	r.every(r.duration(args[3]), r.duration(args[4]), func() {
		version++
		cmd := notch.ReplaceTables{
			Version: version, Document: fmt.Sprint(version, routes),
			Routes: slices.Clone(routes), Pools: []notch.Pool{{Name: args[1], Kind: notch.ServicePool}},
		}
		r.Submit(n, cmd, commandTimeout, func(notch.Answer) {})
	})
}

// manyRoutes returns n routes of a pool.
func manyRoutes(pool string, n int) []notch.Route {
	var routes []notch.Route
	for i := range n {
		routes = append(routes, notch.Route{
			Name: fmt.Sprintf("route-%d", i), Host: "shop.example", Path: fmt.Sprintf("/route-%d/", i), Pool: pool, Timeout: time.Second,
		})
	}
	return routes
}

// promoted lets time pass until a daemon is a voter with its present data folder.
func (r *scriptState) promoted(args []string) {
	n, start := r.node(args[0]), r.Now()
	for !r.isVoter(n) {
		if r.Now()-start > r.duration(args[1]) {
			r.fatalf("%s isn't a voter after %s", args[0], args[1])
		}
		r.Run(10 * time.Millisecond)
	}
	r.ts.Logf("%s is a voter after %v", args[0], r.Now()-start)
}

// isVoter reports whether the leader's replica set lists a daemon's present data folder as a voter.
func (r *scriptState) isVoter(n *drive.Node) bool {
	replica := notch.Replica{Name: n.Self.Name, Storage: n.Disk.Storage}
	return slices.ContainsFunc(r.Nodes(), func(o *drive.Node) bool {
		p, _ := r.Consensus(o)
		return r.IsLeader(o) && slices.Contains(p.ReplicaSet().Voters, replica)
	})
}
