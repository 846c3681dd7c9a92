package script

import (
	"slices"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/drive"
	"tamaracknotch/fake"
)

func (r *scriptState) backend(args []string) {
	slots := r.number(args[3])
	mean := float64(r.number(args[4])) * float64(time.Millisecond)
	service := func(string) time.Duration { return time.Duration(mean * (0.5 + r.Rand.Float64())) }
	r.AddBackend(notch.BackendServer{
		Name: args[0], Address: args[0], Host: "host-of-" + args[0], Domain: args[1], Pool: args[2],
		Slots: slots, Connections: 8 * slots,
	}, service)
}

func (r *scriptState) findBackend(name string) *fake.Backend {
	b := r.Backends[name]
	if b == nil {
		r.fatalf("there is no backend server %q", name)
	}
	return b
}

func (r *scriptState) backendKill(args []string)  { r.KillBackend(r.findBackend(args[0])) }
func (r *scriptState) backendStart(args []string) { r.StartBackend(r.findBackend(args[0])) }
func (r *scriptState) backendLeave(args []string) { r.AnnounceLeaving(r.findBackend(args[0])) }
func (r *scriptState) backendFail(args []string)  { r.findBackend(args[0]).Failing = isYes(args[1]) }

// load sends requests at a constant mean rate with exponentially distributed gaps,
// through the named daemon, or through random ones if the name is "all".
func (r *scriptState) load(args []string) {
	rate := r.float(args[2])
	end := r.Now() + r.duration(args[3])
	once := slices.Contains(args, "once")
	var next func()
	next = func() {
		if r.Now() >= end {
			return
		}
		if n := r.pickEntry(args[0]); n != nil {
			r.request(n, args[1], once)
		}
		gap := r.Rand.ExpFloat64() / rate * float64(time.Second)
		r.After(time.Duration(gap), next)
	}
	next()
}

// pickEntry returns the named daemon, or a random one for "all". It returns nil if
// the daemon, or every daemon, is down.
func (r *scriptState) pickEntry(name string) *drive.Node {
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

// request sends one request and counts its outcome. A request without a matching
// route counts as refused and not run.
func (r *scriptState) request(n *drive.Node, route string, once bool) {
	t := r.Tables(n)
	i := slices.IndexFunc(t.Routes, func(x notch.Route) bool { return x.Name == route })
	if i < 0 {
		r.refused++
		r.notRun++
		return
	}
	req := notch.Request{Route: t.Routes[i], Kind: route, Idempotent: !once}
	r.SendRequest(n, req, func(o fake.Outcome) {
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

func (r *scriptState) quiet(args []string) {
	b := r.findBackend(args[0])
	if since := r.Now() - b.LastRequestAt; since < r.duration(args[1]) {
		r.fatalf("backend server %s got a request %v ago, want %s", args[0], since, args[1])
	}
}

func (r *scriptState) busy(args []string) {
	b := r.findBackend(args[0])
	if since := r.Now() - b.LastRequestAt; since > r.duration(args[1]) {
		r.fatalf("backend server %s got its last request %v ago, want within %s", args[0], since, args[1])
	}
}
