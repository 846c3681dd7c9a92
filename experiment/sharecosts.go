package experiment

import (
	"fmt"
	"tamaracknotch/consensus"
	"tamaracknotch/member"
	"tamaracknotch/share"
	"tamaracknotch/table"
	"time"

	notch "tamaracknotch"
)

func serverNamed(i int) notch.BackendServer {
	return notch.BackendServer{
		Name: fmt.Sprintf("server-%05d", i), Incarnation: 1, Address: "192.0.2.10:8080", Host: fmt.Sprintf("host-%05d", i),
		Domain: "north", Pool: "s", Slots: 8, Connections: 64,
	}
}

func serversUpTo(n int) []notch.BackendServer {
	var out []notch.BackendServer
	for i := range n {
		out = append(out, serverNamed(i))
	}
	return out
}

// reportingEntries is the number of entries of the measurement.
const reportingEntries = 9

// entries plays the entries that report to a leader.
type entries struct {
	*driver
	grants map[string]notch.EntryGrant
	bytes  float64 // of all reports and grants so far
	count  float64
}

func newEntries(servers int) *entries {
	e := &entries{driver: leaderOf(share.NewLeader("a")), grants: map[string]notch.EntryGrant{}}
	e.step(notch.ServersChanged{Servers: serversUpTo(servers)})
	for range 6 * reportingEntries {
		e.report(servers)
	}
	return e
}

// report has the next entry report a demand and takes the grant.
func (e *entries) report(demand int) {
	e.count++
	name := fmt.Sprintf("e%d", int(e.count)%reportingEntries)
	g := e.grants[name]
	r := notch.EntryReport{
		Incarnation: 1, Domain: "north", Revision: 2, Term: 2, Seq: g.Seq, Full: g.Seq == 0,
		Demand: []notch.Demand{{Pool: "s", Slots: demand}},
	}
	e.now += notch.Time(250 * time.Millisecond / reportingEntries)
	for _, f := range e.step(notch.MessageReceived{From: name, Message: r}) {
		if s, ok := f.(notch.Send); ok {
			e.grants[name] = s.Message.(notch.EntryGrant)
			e.bytes += bytesOf(r) + bytesOf(s.Message)
		}
	}
}

// entryQuiet is the cost of a report when nothing changes.
func entryQuiet(n int) float64 {
	e := newEntries(n)
	return micros(10*reportingEntries, func() { e.report(n) })
}

// entryMoving is the cost of a report when demands change all the time, with its
// part of the divisions.
func entryMoving(n int) float64 {
	e := newEntries(n)
	const rounds = 4 * reportingEntries
	began := time.Now()
	for i := range rounds {
		e.report(n + 10*(i%7))
	}
	return float64(time.Since(began).Microseconds()) / rounds
}

// entryBytes are those of a quiet report and its grant.
func entryBytes(n int) float64 {
	e := newEntries(n)
	before := e.bytes
	const rounds = 2 * reportingEntries
	for range rounds {
		e.report(n)
	}
	return (e.bytes - before) / rounds
}

func announcementsOf(n int) notch.Announcements {
	var m notch.Announcements
	for _, b := range serversUpTo(n) {
		m.Servers = append(m.Servers, notch.Announcement{Server: b, TTL: 5 * time.Second})
	}
	return m
}

func renewalsOf(n int) notch.Announcements {
	m := notch.Announcements{TTL: 5 * time.Second}
	for _, b := range serversUpTo(n) {
		m.Renewed = append(m.Renewed, b.ID())
	}
	return m
}

func announceBytes(n int) float64 { return bytesOf(renewalsOf(n)) }

func announceCost(n int) float64 {
	d := &driver{state: notch.NewState(member.New(notch.Daemon{Name: "a", Domain: "north"}, 0, 0)), now: notch.Time(time.Hour)}
	d.step(notch.MessageReceived{From: "b", Message: announcementsOf(n)})
	d.step(notch.Flush{})
	m := renewalsOf(n)
	return micros(20, func() {
		d.step(notch.MessageReceived{From: "b", Message: m})
		d.step(notch.Flush{})
	})
}

func routesUpTo(n int) []notch.Route {
	var out []notch.Route
	for i := range n {
		out = append(out, notch.Route{Name: fmt.Sprintf("route-%04d", i), Path: fmt.Sprintf("/route-%04d", i), Pool: "s", Timeout: time.Second})
	}
	return out
}

func editBytes(n int) float64 {
	return bytesOf(notch.EntryGrant{Tables: &notch.Tables{Revision: 1, Routes: routesUpTo(n)}})
}

func editCost(n int) float64 {
	d := &driver{state: notch.NewState(table.New()), now: notch.Time(time.Hour)}
	commit(d, notch.EditTable{ID: "p", Table: notch.PoolsTable, Pools: []notch.Pool{
		{Name: notch.ControlPool, Kind: notch.ReplicaPool, Hosts: []string{"a"}}, {Name: "s", Kind: notch.ServicePool},
	}})
	routes, i := routesUpTo(n), uint64(0)
	return micros(30, func() {
		commit(d, notch.EditTable{ID: fmt.Sprint(i), Table: notch.RoutesTable, Base: i, Routes: routes})
		i++
	})
}

func placedBytes(n int) float64 {
	var c notch.PlaceTasks
	for i := range n {
		c.Placements = append(c.Placements, notch.Placement{
			Task: notch.NewTaskID(fmt.Sprintf("job-%06d", i), i%50), Worker: workerNamed(i).Name, Incarnation: 1,
		})
	}
	return bytesOf(notch.AppendRequest{Term: 2, Leader: "a", Entries: []notch.Entry{{Index: 1, Term: 2, Command: c}}})
}

func reportedBytes(n int) float64 {
	c := notch.ReportTasks{Worker: workerNamed(1).Name, Incarnation: 1}
	for i := range n {
		c.Reports = append(c.Reports, notch.TaskReport{Task: notch.NewTaskID(fmt.Sprintf("job-%06d", i), i%50), Epoch: 1, Kind: notch.ReportFinished})
	}
	return bytesOf(notch.AppendRequest{Term: 2, Leader: "a", Entries: []notch.Entry{{Index: 1, Term: 2, Command: c}}})
}

// idlePing is a heartbeat of a leader that has nothing to send.
var idlePing = notch.AppendRequest{Term: 2, Leader: "leader", PrevIndex: 2, PrevTerm: 1, Commit: 2, SentAt: notch.Time(time.Hour)}

func pingBytes() float64 {
	reply := notch.AppendReply{Term: 2, From: notch.Replica{Name: "follower", Storage: 1 << 60}, OK: true, Match: 2, SentAt: notch.Time(time.Hour)}
	return bytesOf(idlePing) + bytesOf(reply)
}

func pingCost() float64 {
	r := notch.Replica{Name: "a", Storage: 1}
	d := &driver{state: notch.NewState(consensus.New(r)), now: notch.Time(time.Hour)}
	return micros(200, func() { d.step(notch.MessageReceived{From: "leader", Message: idlePing}) })
}

// proposeCost is the cost of a batch of proposals at a lone leader, synced at once.
func proposeCost(n int) float64 {
	r := notch.Replica{Name: "a", Storage: 1}
	d := &driver{state: notch.NewState(consensus.New(r)), now: notch.Time(time.Hour)}
	for _, f := range d.step(consensus.Bootstrap(r)) {
		loopBack(d, f)
	}
	return micros(20, func() {
		for i := range n {
			d.step(notch.Proposal{Command: notch.ClaimRequest{ID: "r/order", Entry: "a", Token: uint64(i)}})
		}
		for _, f := range d.step(notch.Flush{}) {
			loopBack(d, f)
		}
	})
}

// loopBack plays the journal and the own link.
func loopBack(d *driver, f notch.Effect) {
	p, ok := f.(notch.Persist)
	if !ok {
		return
	}
	for _, s := range p.Then {
		for _, f := range d.step(notch.MessageReceived{From: s.To, Message: s.Message}) {
			loopBack(d, f)
		}
	}
	if n := len(p.Entries); n > 0 {
		for _, f := range d.step(notch.Persisted{Term: p.Hard.Term, Index: p.Entries[n-1].Index}) {
			loopBack(d, f)
		}
	}
}
