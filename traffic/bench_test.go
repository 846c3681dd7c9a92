package traffic

import (
	"fmt"
	"testing"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/pick"
)

// newBenchLane returns a lane that is granted 8 slots at each of n backend servers.
func newBenchLane(n int, picker string) (notch.State, notch.Time) {
	now := notch.Time(time.Hour)
	p := DefaultPolicy()
	p.Picker, _ = pick.New(picker)
	s := notch.NewState(New(0, "north", WithPolicy(p)))
	step := func(b notch.Body) { s, _ = notch.Step(s, notch.Event{At: now, Body: b}) }
	step(notch.TablesInForce{Tables: notch.Tables{Revision: 1, Pools: []notch.Pool{{Name: "s", Kind: notch.ServicePool}}}})
	var servers []notch.BackendServer
	grant := notch.SlotsGranted{Seq: 1, Until: now + notch.Time(24*time.Hour), Entries: 9}
	for i := range n {
		b := notch.BackendServer{Name: fmt.Sprint("s", i), Incarnation: 1, Domain: "north", Pool: "s", Slots: 8, Connections: 64}
		servers = append(servers, b)
		grant.Slots = append(grant.Slots, notch.SlotAllocation{Server: b.ID(), Slots: 8})
	}
	step(notch.ServersChanged{Servers: servers})
	step(grant)
	return s, now.Add(10 * time.Second)
}

// BenchmarkStep measures the rate of request events, two per request, with 64
// requests in flight. Compare the pickers with random in the same run to see the cost
// of the choice.
func BenchmarkStep(b *testing.B) {
	for _, picker := range pick.Names() {
		b.Run(picker, func(b *testing.B) {
			s, now := newBenchLane(65, picker)
			route := notch.Route{Name: "r", Pool: "s", Timeout: time.Second}
			var pending []notch.AttemptEnded
			var effects []notch.Effect
			b.ReportAllocs()
			events := 0
			for i := range b.N {
				now += notch.Time(50 * time.Microsecond)
				r := notch.Request{ID: uint64(i), Route: route, Kind: "k", Idempotent: true, Replayable: true, Deadline: now.Add(time.Second)}
				s, effects = notch.Step(s, notch.Event{At: now, Seed: uint64(i), Body: notch.RequestArrived{Request: r}})
				for _, f := range effects {
					if d, ok := f.(notch.Dispatch); ok {
						pending = append(pending, notch.AttemptEnded{Request: d.Request, Attempt: d.Attempt, Server: d.Server.ID(), Latency: 3 * time.Millisecond})
					}
				}
				events++
				if len(pending) > 64 {
					s, _ = notch.Step(s, notch.Event{At: now, Seed: uint64(i), Body: pending[0]})
					pending = pending[1:]
					events++
				}
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
		})
	}
}
