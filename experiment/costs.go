package experiment

import (
	"fmt"
	"os"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/batch"
	"tamaracknotch/traffic"
	"tamaracknotch/wal"
)

// driver drives one state with events at a growing time.
type driver struct {
	state notch.State
	now   notch.Time
}

func (d *driver) step(b notch.Body) []notch.Effect {
	d.now += notch.Time(time.Microsecond)
	var out []notch.Effect
	d.state, out = notch.Step(d.state, notch.Event{At: d.now, Seed: uint64(d.now), Body: b})
	return out
}

const capacityPool = "p"

// leaderOf returns a driver of parts that take themselves for those of a leader.
func leaderOf(parts ...notch.Part) *driver {
	d := &driver{state: notch.NewState(parts...), now: notch.Time(time.Hour)}
	pools := []notch.Pool{{Name: capacityPool, Kind: notch.WorkerPool}, {Name: "s", Kind: notch.ServicePool}}
	routes := []notch.Route{{Name: "r", Path: "/", Pool: "s", Timeout: time.Second}}
	t := notch.Tables{Revision: 2, Pools: pools, Routes: routes}
	d.step(notch.TablesCommitted{Tables: t})
	d.step(notch.TablesApplied{Tables: t})
	d.step(notch.Leadership{Leading: true, Term: 2, Ready: d.now, Contact: d.now + notch.Time(time.Hour)})
	return d
}

func commit(d *driver, c notch.Command) []notch.Effect {
	return d.step(notch.Committed{Entry: notch.Entry{At: d.now, Command: c}})
}

func workerNamed(i int) notch.Worker {
	return notch.Worker{
		Name: fmt.Sprintf("worker-%05d", i), Incarnation: 1, Pool: capacityPool, Domain: "north", Rack: "r1", Guard: true,
		Size: notch.Resources{MilliCPU: 64_000, MemoryMB: 250_000, Accelerators: 1},
	}
}

func beatOf(i, tasks int) notch.Heartbeat {
	h := notch.Heartbeat{Worker: workerNamed(i), Usage: notch.Usage{Age: 5 * time.Second, Load: notch.Resources{MilliCPU: 30_000}}}
	for k := range tasks {
		h.Running = append(h.Running, notch.TaskEpoch{Task: notch.NewTaskID(fmt.Sprintf("job-%06d", k), k), Epoch: 1})
	}
	return h
}

// workerState is a leader with n registered workers that were heard.
func workerState(n int) *driver {
	d := leaderOf(batch.New())
	for i := range n {
		commit(d, notch.RegisterWorker{Worker: workerNamed(i)})
		d.step(notch.Beat{Origin: "a", Beat: beatOf(i, 0)})
	}
	return d
}

// jobState is a leader with n queued tasks in jobs of the given size.
func jobState(n, each int) *driver {
	d := leaderOf(batch.New())
	addJobs(d, n, each)
	return d
}

func addJobs(d *driver, n, each int) {
	for i := range n / each {
		commit(d, notch.SubmitJob{Job: notch.Job{
			ID: fmt.Sprintf("job-%06d", i), Pool: capacityPool, Kind: fmt.Sprintf("kind-%d", i%20), Class: notch.Normal,
			Tasks: each, Size: notch.Resources{MilliCPU: 500, MemoryMB: 500},
		}})
	}
}

func beatCost(n int) float64 {
	d := workerState(n)
	i := 0
	return micros(400, func() {
		i++
		d.step(notch.Beat{Origin: "b", Ticket: uint64(i), Beat: beatOf(i%n, 0)})
	})
}

func beatBytes(tasks int) float64 {
	h := beatOf(1, tasks)
	return bytesOf(notch.WorkerRequest{Ticket: 1, Beat: h}) + bytesOf(notch.WorkerReply{Ticket: 1, Reply: notch.HeartbeatReply{Known: true, Lease: time.Second}})
}

// planned is how many tasks each plan of the measurement finds.
const planned = 500

// recorder is a part that keeps the last proposal.
type recorder struct{ last notch.Command }

// Step implements [notch.Part].
func (r recorder) Step(e notch.Event) (notch.Part, []notch.Effect) {
	if p, ok := e.Body.(notch.Proposal); ok {
		r.last = p.Command
	}
	return r, nil
}

func recorded(d *driver) notch.Command {
	for _, p := range d.state.Parts() {
		if r, ok := p.(recorder); ok {
			return r.last
		}
	}
	return nil
}

// planCost is the cost of one placement, from the plan to its commit.
func planCost(n int) float64 {
	d := leaderOf(batch.New(), recorder{})
	for i := range n {
		commit(d, notch.RegisterWorker{Worker: workerNamed(i)})
		d.step(notch.Beat{Origin: "a", Beat: beatOf(i, 0)})
	}
	const rounds = 6
	costs := make([]float64, rounds)
	for i := range costs {
		for k := range planned / 50 {
			commit(d, notch.SubmitJob{Job: notch.Job{
				ID: fmt.Sprintf("job-%d-%d", i, k), Pool: capacityPool, Kind: fmt.Sprintf("kind-%d", k), Class: notch.Normal,
				Tasks: 50, Size: notch.Resources{MilliCPU: 500, MemoryMB: 500},
			}})
		}
		d.now += notch.Time(30 * time.Millisecond)
		began := time.Now()
		d.step(notch.Tick{})
		c, ok := recorded(d).(notch.PlaceTasks)
		if !ok || len(c.Placements) != planned {
			panic(fmt.Sprintf("the plan for %d workers placed %d of %d tasks", n, len(c.Placements), planned))
		}
		commit(d, c)
		costs[i] = float64(time.Since(began).Microseconds()) / planned
	}
	return median(costs)
}

func reportCost(n int) float64 {
	d := workerState(200)
	addJobs(d, n, 50)
	var ps []notch.Placement
	for i := range n {
		ps = append(ps, notch.Placement{
			Task: notch.NewTaskID(fmt.Sprintf("job-%06d", i/50), i%50), Worker: workerNamed(i % 200).Name, Incarnation: 1,
		})
	}
	commit(d, notch.PlaceTasks{Placements: ps})
	i := 0
	return micros(300, func() {
		p := ps[i]
		i++
		commit(d, notch.ReportTasks{Worker: p.Worker, Incarnation: 1, Reports: []notch.TaskReport{
			{Task: p.Task, Epoch: 1, Kind: notch.ReportRunning}, {Task: p.Task, Epoch: 1, Kind: notch.ReportFinished},
		}})
	})
}

// laneState is a lane with n backend servers and all their slots.
func laneState(n int) *driver {
	d := &driver{state: notch.NewState(traffic.New(0, "north")), now: notch.Time(time.Hour)}
	d.step(notch.TablesApplied{Tables: notch.Tables{Revision: 1, Pools: []notch.Pool{{Name: "s", Kind: notch.ServicePool}}}})
	d.step(notch.ServersChanged{Servers: serversUpTo(n)})
	g := notch.SlotsGranted{Seq: 1, Until: d.now + notch.Time(time.Hour), Entries: 9}
	for _, b := range serversUpTo(n) {
		g.Slots = append(g.Slots, notch.Hold{Server: b.ID(), Slots: 8})
	}
	d.step(g)
	d.now += notch.Time(10 * time.Second)
	return d
}

func requestCost(n int) float64 {
	d := laneState(n)
	route := notch.Route{Name: "r", Pool: "s", Timeout: time.Second}
	id := uint64(0)
	return micros(500, func() {
		id++
		r := notch.Request{ID: id, Route: route, Kind: "k", Idempotent: true, Replayable: true, Deadline: d.now + notch.Time(time.Second)}
		for _, f := range d.step(notch.RequestArrived{Request: r}) {
			if x, ok := f.(notch.Dispatch); ok {
				d.step(notch.AttemptEnded{Request: id, Attempt: x.Attempt, Server: x.Server.ID(), Latency: 20 * time.Millisecond})
			}
		}
	})
}

// journalPoint is what a journal on real files does at a load.
type journalPoint struct {
	perSync int
	micros  float64 // of one sync with its encoding
	bytes   float64 // of one command in the log
}

// journalPoints times syncs in a temporary folder.
func journalPoints() []journalPoint {
	var out []journalPoint
	for _, n := range []int{1, 32, 320} {
		dir, err := os.MkdirTemp("", "notch-journal-")
		if err != nil {
			return out
		}
		j := wal.New(wal.Folder(dir))
		if _, _, err := j.Identity(wal.Identity{Storage: 1}); err != nil {
			return out
		}
		if _, err := j.Load(); err != nil {
			return out
		}
		index := uint64(0)
		cost := micros(30, func() {
			p := notch.Persist{Hard: notch.HardState{Term: 1}}
			for range n {
				index++
				p.Entries = append(p.Entries, notch.Entry{Index: index, Term: 1, Command: notch.ClaimRequest{ID: "r/order-123456", Entry: "a", Token: index}})
			}
			j.Append([]notch.Persist{p})
		})
		j.Close()
		os.RemoveAll(dir)
		out = append(out, journalPoint{perSync: n, micros: cost, bytes: placedBytes(1000) / 1000})
	}
	return out
}

func (m measured) journalTable() Table {
	t := Table{Title: "a journal on this host's disk", Columns: []string{"commands in a sync", "us a sync", "commands a second at most"}}
	for _, p := range m.commits {
		t.Rows = append(t.Rows, Row{"", []float64{float64(p.perSync), p.micros, float64(p.perSync) / p.micros * 1e6}})
	}
	return t
}
