package notch_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/table"
	"tamaracknotch/traffic"
)

func readFile(t *testing.T, file string) string {
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// This front end feeds events to Step and carries out the effects itself. A lane
// receives its tables, a backend server and its slots, and then a request.
func ExampleStep() {
	now := notch.TimeOf(time.Unix(1000, 0))
	lane := notch.NewState(traffic.New(0, "north"))
	step := func(b notch.Body) (effects []notch.Effect) {
		lane, effects = notch.Step(lane, notch.Event{At: now, Body: b})
		return effects
	}
	server := notch.BackendServer{Name: "s1", Incarnation: 1, Address: "192.0.2.7:80", Domain: "north", Pool: "sale", Slots: 8, Connections: 64}
	step(notch.TablesInForce{Tables: notch.Tables{Revision: 1, Pools: []notch.Pool{{Name: "sale", Kind: notch.ServicePool}}}})
	step(notch.ServersChanged{Servers: []notch.BackendServer{server}})
	step(notch.SlotsGranted{Seq: 1, Until: now.Add(time.Minute), Slots: []notch.SlotAllocation{{Server: server.ID(), Slots: 4}}})

	route := notch.Route{Name: "sale", Pool: "sale", Timeout: time.Second}
	for _, f := range step(notch.RequestArrived{Request: notch.Request{ID: 1, Route: route, Deadline: now.Add(time.Second)}}) {
		if d, ok := f.(notch.Dispatch); ok {
			fmt.Println("send request", d.Request, "to", d.Server.Address)
		}
	}
	// Output: send request 1 to 192.0.2.7:80
}

func ExampleTables_Match() {
	t := notch.Tables{Routes: []notch.Route{{Name: "all", Path: "/"}, {Name: "sale", Path: "/sale"}}}
	for _, path := range []string{"/sale/stock", "/sales", "/"} {
		r, _ := t.Match("", path)
		fmt.Println(path, r.Name)
	}
	// Output:
	// /sale/stock sale
	// /sales all
	// / all
}

func ExampleResources_Fits() {
	available := notch.Resources{MilliCPU: 4000, MemoryMB: 8000}
	fmt.Println(notch.Resources{MilliCPU: 1500, MemoryMB: 8000}.Fits(available))
	fmt.Println(notch.Resources{MilliCPU: 1500, Accelerators: 1}.Fits(available))
	// Output:
	// true
	// false
}

// An edit that is sent twice is applied once.
func ExampleEditTable() {
	state := notch.NewState(table.New())
	pools := []notch.Pool{{Name: "control", Kind: notch.ReplicaPool, Hosts: []string{"a"}}}
	edit := notch.EditTable{ID: "grow", Table: notch.PoolsTable, Pools: pools}
	for range 2 {
		entry := notch.LogEntry{Origin: "a", Ticket: 1, Command: edit}
		state, _ = notch.Step(state, notch.Event{Body: notch.Committed{Entry: entry}})
		fmt.Println(state.Parts()[0].(table.Part).Tables().PoolsVersion)
	}
	// Output:
	// 1
	// 1
}
