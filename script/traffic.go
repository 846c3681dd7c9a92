package script

import (
	"slices"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/drive"
	"tamaracknotch/fake"
)

func (r *run) backend(args []string) {
	slots := r.number(args[3])
	mean := float64(r.number(args[4])) * float64(time.Millisecond)
	service := func(string) time.Duration { return time.Duration(mean * (0.5 + r.Rand.Float64())) }
	r.AddBackend(notch.BackendServer{
		Name: args[0], Address: args[0], Host: "host-of-" + args[0], Domain: args[1], Pool: args[2],
		Slots: slots, Connections: 8 * slots,
	}, service)
}

func (r *run) backendOf(name string) *fake.Backend {
	b := r.Backends[name]
	if b == nil {
		r.fatalf("there is no backend server %q", name)
	}
	return b
}

func (r *run) backendKill(args []string)  { r.KillBackend(r.backendOf(args[0])) }
func (r *run) backendStart(args []string) { r.StartBackend(r.backendOf(args[0])) }
func (r *run) backendLeave(args []string) { r.AnnounceLeaving(r.backendOf(args[0])) }
func (r *run) backendFail(args []string)  { r.backendOf(args[0]).Failing = yes(args[1]) }

// load sends requests at a constant mean rate through one daemon, or through all
// with the name "all".
func (r *run) load(args []string) {
	rate := r.float(args[2])
	end := r.Now() + r.duration(args[3])
	once := slices.Contains(args, "once")
	var next func()
	next = func() {
		if r.Now() >= end {
			return
		}
		if n := r.entryFor(args[0]); n != nil {
			r.request(n, args[1], once)
		}
		gap := r.Rand.ExpFloat64() / rate * float64(time.Second)
		r.After(time.Duration(gap), next)
	}
	next()
}

func (r *run) entryFor(name string) *drive.Node {
	if name != "all" {
		n := r.node(name)
		if !n.Up {
			return nil
		}
		return n
	}
	up := r.Up()
	if len(up) == 0 {
		return nil
	}
	return up[r.Rand.IntN(len(up))]
}

func (r *run) request(n *drive.Node, route string, once bool) {
	t := r.Tables(n)
	i := slices.IndexFunc(t.Routes, func(x notch.Route) bool { return x.Name == route })
	if i < 0 {
		r.refused++
		r.notRun++
		return
	}
	req := notch.Request{Route: t.Routes[i], Kind: route, Idempotent: !once}
	r.Request(n, req, func(o fake.Outcome) {
		switch {
		case o.OK:
			r.served++
		case o.Refuse.NotRun:
			r.notRun++
			r.refused++
		default:
			r.unknown++
			r.refused++
		}
	})
}

func (r *run) quiet(args []string) {
	b := r.backendOf(args[0])
	if since := r.Now() - b.LastRequestAt; since < r.duration(args[1]) {
		r.fatalf("backend server %s got a request %v ago, want %s", args[0], since, args[1])
	}
}

func (r *run) busy(args []string) {
	b := r.backendOf(args[0])
	if since := r.Now() - b.LastRequestAt; since > r.duration(args[1]) {
		r.fatalf("backend server %s got its last request %v ago, want within %s", args[0], since, args[1])
	}
}
