package experiment

import (
	"fmt"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/consensus"
	"tamaracknotch/member"
	"tamaracknotch/share"
	"tamaracknotch/table"
)

func newServer(i int) notch.BackendServer {
	return notch.BackendServer{
		Name: fmt.Sprintf("server-%05d", i), Incarnation: 1, Address: "192.0.2.10:8080", Host: fmt.Sprintf("host-%05d", i),
		Domain: "north", Pool: "s", Slots: 8, Connections: 64,
	}
}

func newServers(n int) []notch.BackendServer {
	var out []notch.BackendServer
	for i := range n {
		out = append(out, newServer(i))
	}
	return out
}

// reportingEntries is the number of entries that report in the measurements.
const reportingEntries = 9

// simulatedEntries simulates the entries that report their demand to a leader.
type simulatedEntries struct {
	*driver
	grants      map[string]notch.EntryGrant // latest grant by entry
	totalBytes  float64                     // encoded size of all reports and grants so far
	reportCount float64
}

// newSimulatedEntries returns entries that have each reported the same demand six times.
func newSimulatedEntries(servers int) *simulatedEntries {
	e := &simulatedEntries{driver: newLeader(share.NewLeader("a")), grants: map[string]notch.EntryGrant{}}
	e.step(notch.ServersChanged{Servers: newServers(servers)})
	for range 6 * reportingEntries {
		e.sendReport(servers)
	}
	return e
}

// sendReport sends the report of the next entry in turn to the leader and stores the
// grant that it returns.
func (e *simulatedEntries) sendReport(demand int) {
	e.reportCount++
	name := fmt.Sprintf("e%d", int(e.reportCount)%reportingEntries)
	g := e.grants[name]
	r := notch.EntryReport{
		Incarnation: 1, Domain: "north", Revision: 2, Term: 2, Seq: g.Seq, Full: g.Seq == 0,
		Demand: []notch.Demand{{Pool: "s", Slots: demand}},
	}
	e.now += notch.Time(250 * time.Millisecond / reportingEntries)
	for _, f := range e.step(notch.MessageReceived{From: name, Message: r}) {
		if s, ok := f.(notch.Send); ok {
			e.grants[name] = s.Message.(notch.EntryGrant)
			e.totalBytes += encodedBytes(r) + encodedBytes(s.Message)
		}
	}
}

// steadyReportCost returns the CPU cost of a report while the demand is unchanged.
func steadyReportCost(n int) float64 {
	e := newSimulatedEntries(n)
	return medianMicros(10*reportingEntries, func() { e.sendReport(n) })
}

// changingReportCost returns the mean CPU cost of a report while the demands change,
// with its share of the divisions.
func changingReportCost(n int) float64 {
	e := newSimulatedEntries(n)
	const rounds = 4 * reportingEntries
	start := time.Now()
	for i := range rounds {
		e.sendReport(n + 10*(i%7))
	}
	return float64(time.Since(start).Microseconds()) / rounds
}

// entryReportBytes returns the mean size of a report and its grant while the demand is
// unchanged.
func entryReportBytes(n int) float64 {
	e := newSimulatedEntries(n)
	bytesBefore := e.totalBytes
	const rounds = 2 * reportingEntries
	for range rounds {
		e.sendReport(n)
	}
	return (e.totalBytes - bytesBefore) / rounds
}

// newAnnouncements returns a message with the whole announcements of n backend servers.
func newAnnouncements(n int) notch.Announcements {
	var m notch.Announcements
	for _, b := range newServers(n) {
		m.Servers = append(m.Servers, notch.Announcement{Server: b, TTL: 5 * time.Second})
	}
	return m
}

// newRenewals returns a message that renews the announcements of n backend servers.
func newRenewals(n int) notch.Announcements {
	m := notch.Announcements{TTL: 5 * time.Second}
	for _, b := range newServers(n) {
		m.Renewed = append(m.Renewed, b.ID())
	}
	return m
}

// renewalBytes returns the size of a message that renews n announcements.
func renewalBytes(n int) float64 { return encodedBytes(newRenewals(n)) }

// renewalCost returns the CPU cost of a received message that renews n announcements.
func renewalCost(n int) float64 {
	d := &driver{state: notch.NewState(member.New(notch.Daemon{Name: "a", Domain: "north"}, 0, 0)), now: notch.Time(time.Hour)}
	d.step(notch.MessageReceived{From: "b", Message: newAnnouncements(n)})
	d.step(notch.Flush{})
	m := newRenewals(n)
	return medianMicros(20, func() {
		d.step(notch.MessageReceived{From: "b", Message: m})
		d.step(notch.Flush{})
	})
}

func newRoutes(n int) []notch.Route {
	var out []notch.Route
	for i := range n {
		out = append(out, notch.Route{Name: fmt.Sprintf("route-%04d", i), Path: fmt.Sprintf("/route-%04d", i), Pool: "s", Timeout: time.Second})
	}
	return out
}

// tableMessageBytes returns the size of a grant with a table of n routes.
func tableMessageBytes(n int) float64 {
	return encodedBytes(notch.EntryGrant{Tables: &notch.Tables{Revision: 1, Routes: newRoutes(n)}})
}

// editCost returns the CPU cost of a committed edit of a table of n routes.
func editCost(n int) float64 {
	d := &driver{state: notch.NewState(table.New()), now: notch.Time(time.Hour)}
	commit(d, notch.EditTable{ID: "p", Table: notch.PoolsTable, Pools: []notch.Pool{
		{Name: notch.ControlPool, Kind: notch.ReplicaPool, Hosts: []string{"a"}}, {Name: "s", Kind: notch.ServicePool},
	}})
	routes, i := newRoutes(n), uint64(0)
	return medianMicros(30, func() {
		commit(d, notch.EditTable{ID: fmt.Sprint(i), Table: notch.RoutesTable, Base: i, Routes: routes})
		i++
	})
}

// placementLogBytes returns the size of an append request with n placements.
func placementLogBytes(n int) float64 {
	var c notch.PlaceTasks
	for i := range n {
		c.Placements = append(c.Placements, notch.Placement{
			Task: notch.NewTaskID(fmt.Sprintf("job-%06d", i), i%50), Worker: newWorker(i).Name, Incarnation: 1,
		})
	}
	return encodedBytes(notch.AppendRequest{Term: 2, Leader: "a", Entries: []notch.LogEntry{{Index: 1, Term: 2, Command: c}}})
}

// taskReportLogBytes returns the size of an append request with n task reports.
func taskReportLogBytes(n int) float64 {
	c := notch.ReportTasks{Worker: newWorker(1).Name, Incarnation: 1}
	for i := range n {
		c.Reports = append(c.Reports, notch.TaskReport{Task: notch.NewTaskID(fmt.Sprintf("job-%06d", i), i%50), Epoch: 1, Kind: notch.ReportFinished})
	}
	return encodedBytes(notch.AppendRequest{Term: 2, Leader: "a", Entries: []notch.LogEntry{{Index: 1, Term: 2, Command: c}}})
}

// idleHeartbeat is a heartbeat from a leader without new log entries.
var idleHeartbeat = notch.AppendRequest{Term: 2, Leader: "leader", PrevIndex: 2, PrevTerm: 1, Commit: 2, SentAt: notch.Time(time.Hour)}

// replicaHeartbeatBytes returns the size of an idle heartbeat and its answer.
func replicaHeartbeatBytes() float64 {
	reply := notch.AppendReply{Term: 2, From: notch.Replica{Name: "follower", Storage: 1 << 60}, OK: true, Match: 2, SentAt: notch.Time(time.Hour)}
	return encodedBytes(idleHeartbeat) + encodedBytes(reply)
}

// replicaHeartbeatCost returns the CPU cost of an idle heartbeat at a follower.
func replicaHeartbeatCost() float64 {
	r := notch.Replica{Name: "a", Storage: 1}
	d := &driver{state: notch.NewState(consensus.New(r)), now: notch.Time(time.Hour)}
	return medianMicros(200, func() { d.step(notch.MessageReceived{From: "leader", Message: idleHeartbeat}) })
}

// proposalCost returns the CPU cost of a batch of n proposals at a leader without
// followers, whose journal takes no time.
func proposalCost(n int) float64 {
	r := notch.Replica{Name: "a", Storage: 1}
	d := &driver{state: notch.NewState(consensus.New(r)), now: notch.Time(time.Hour)}
	for _, f := range d.step(consensus.Bootstrap(r)) {
		completePersist(d, f)
	}
	return medianMicros(20, func() {
		for i := range n {
			d.step(notch.Proposal{Command: notch.ClaimRequest{ID: "r/order", Entry: "a", Token: uint64(i)}})
		}
		for _, f := range d.step(notch.Flush{}) {
			completePersist(d, f)
		}
	})
}

// completePersist stands in for the journal and the link to the replica itself: it
// delivers the messages of a Persist effect and reports the effect as complete.
func completePersist(d *driver, f notch.Effect) {
	p, ok := f.(notch.Persist)
	if !ok {
		return
	}
	for _, s := range p.Then {
		for _, f := range d.step(notch.MessageReceived{From: s.To, Message: s.Message}) {
			completePersist(d, f)
		}
	}
	if n := len(p.Entries); n > 0 {
		for _, f := range d.step(notch.Persisted{Write: p.Write, Term: p.Entries[n-1].Term, Index: p.Entries[n-1].Index}) {
			completePersist(d, f)
		}
	}
}
