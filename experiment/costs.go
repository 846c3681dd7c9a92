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

// driver passes events to a state, each one microsecond after the event before.
type driver struct {
	state notch.State
	now   notch.Time
}

// step applies an event and returns the effects, which aren't carried out.
func (d *driver) step(b notch.Body) []notch.Effect {
	d.now += notch.Time(time.Microsecond)
	var out []notch.Effect
	d.state, out = notch.Step(d.state, notch.Event{At: d.now, Seed: uint64(d.now), Body: b})
	return out
}

// capacityPool is the pool of all workers in this experiment.
const capacityPool = "p"

// newLeader returns a driver of the given parts, after the events by which their replica
// became the leader.
func newLeader(parts ...notch.Part) *driver {
	d := &driver{state: notch.NewState(parts...), now: notch.Time(time.Hour)}
	pools := []notch.Pool{{Name: capacityPool, Kind: notch.WorkerPool}, {Name: "s", Kind: notch.ServicePool}}
	routes := []notch.Route{{Name: "r", Path: "/", Pool: "s", Timeout: time.Second}}
	t := notch.Tables{Revision: 2, Pools: pools, Routes: routes}
	d.step(notch.TablesCommitted{Tables: t})
	d.step(notch.TablesInForce{Tables: t})
	d.step(notch.Leadership{Leading: true, Term: 2, Ready: d.now, Contact: d.now + notch.Time(time.Hour)})
	return d
}

// commit applies a committed command.
func commit(d *driver, c notch.Command) []notch.Effect {
	return d.step(notch.Committed{Entry: notch.LogEntry{At: d.now, Command: c}})
}

func newWorker(i int) notch.Worker {
	return notch.Worker{
		Name: fmt.Sprintf("worker-%05d", i), Incarnation: 1, Pool: capacityPool, Domain: "north", Rack: "r1", Guard: true,
		Size: notch.Resources{MilliCPU: 64_000, MemoryMB: 250_000, Accelerators: 1},
	}
}

// newHeartbeat returns a heartbeat of worker i with the given number of running tasks.
func newHeartbeat(i, tasks int) notch.Heartbeat {
	h := notch.Heartbeat{Worker: newWorker(i), Usage: notch.Usage{Age: 5 * time.Second, Load: notch.Resources{MilliCPU: 30_000}}}
	for k := range tasks {
		h.Running = append(h.Running, notch.TaskEpoch{Task: notch.NewTaskID(fmt.Sprintf("job-%06d", k), k), Epoch: 1})
	}
	return h
}

// leaderWithWorkers returns a leader with n registered workers, each of which has sent a
// heartbeat.
func leaderWithWorkers(n int) *driver {
	d := newLeader(batch.New())
	for i := range n {
		commit(d, notch.RegisterWorker{Worker: newWorker(i)})
		d.step(notch.HeartbeatReceived{Origin: "a", Beat: newHeartbeat(i, 0)})
	}
	return d
}

// leaderWithTasks returns a leader with n queued tasks.
func leaderWithTasks(n, tasksPerJob int) *driver {
	d := newLeader(batch.New())
	addJobs(d, n, tasksPerJob)
	return d
}

// addJobs submits n tasks in jobs of tasksPerJob tasks.
func addJobs(d *driver, n, tasksPerJob int) {
	for i := range n / tasksPerJob {
		commit(d, notch.SubmitJob{Job: notch.Job{
			ID: fmt.Sprintf("job-%06d", i), Pool: capacityPool, Kind: fmt.Sprintf("kind-%d", i%20), Class: notch.Normal,
			Tasks: tasksPerJob, Size: notch.Resources{MilliCPU: 500, MemoryMB: 500},
		}})
	}
}

// heartbeatCost returns the CPU cost of a worker's heartbeat at a leader with n workers.
func heartbeatCost(n int) float64 {
	d := leaderWithWorkers(n)
	i := 0
	return medianMicros(400, func() {
		i++
		d.step(notch.HeartbeatReceived{Origin: "b", Ticket: uint64(i), Beat: newHeartbeat(i%n, 0)})
	})
}

// heartbeatBytes returns the size of a forwarded heartbeat and its answer.
func heartbeatBytes(tasks int) float64 {
	h := newHeartbeat(1, tasks)
	return encodedBytes(notch.WorkerRequest{Ticket: 1, Beat: h}) + encodedBytes(notch.WorkerReply{Ticket: 1, Reply: notch.HeartbeatReply{Known: true, Lease: time.Second}})
}

// tasksPerPlan is the number of queued tasks that each measured plan places.
const tasksPerPlan = 500

// proposalRecorder is a part that records the latest proposal.
type proposalRecorder struct{ last notch.Command }

// Step implements [notch.Part].
func (r proposalRecorder) Step(e notch.Event) (notch.Part, []notch.Effect) {
	if p, ok := e.Body.(notch.Proposal); ok {
		r.last = p.Command
	}
	return r, nil
}

// lastProposal returns the latest proposal, or nil if there is none.
func lastProposal(d *driver) notch.Command {
	for _, p := range d.state.Parts() {
		if r, ok := p.(proposalRecorder); ok {
			return r.last
		}
	}
	return nil
}

// placementCost returns the CPU cost of placing one task among n workers: its share of
// the plan and of the commit.
func placementCost(n int) float64 {
	d := newLeader(batch.New(), proposalRecorder{})
	for i := range n {
		commit(d, notch.RegisterWorker{Worker: newWorker(i)})
		d.step(notch.HeartbeatReceived{Origin: "a", Beat: newHeartbeat(i, 0)})
	}
	const rounds = 6
	costs := make([]float64, rounds)
	for i := range costs {
		for k := range tasksPerPlan / 50 {
			commit(d, notch.SubmitJob{Job: notch.Job{
				ID: fmt.Sprintf("job-%d-%d", i, k), Pool: capacityPool, Kind: fmt.Sprintf("kind-%d", k), Class: notch.Normal,
				Tasks: 50, Size: notch.Resources{MilliCPU: 500, MemoryMB: 500},
			}})
		}
		d.now += notch.Time(30 * time.Millisecond)
		start := time.Now()
		d.step(notch.Tick{})
		c, ok := lastProposal(d).(notch.PlaceTasks)
		if !ok || len(c.Placements) != tasksPerPlan {
			panic(fmt.Sprintf("the plan for %d workers placed %d of %d tasks", n, len(c.Placements), tasksPerPlan))
		}
		commit(d, c)
		costs[i] = float64(time.Since(start).Microseconds()) / tasksPerPlan
	}
	return median(costs)
}

// taskReportCost returns the CPU cost of a committed command with the two reports that a
// task runs and has finished, at a leader with n tasks.
func taskReportCost(n int) float64 {
	d := leaderWithWorkers(200)
	addJobs(d, n, 50)
	var ps []notch.Placement
	for i := range n {
		ps = append(ps, notch.Placement{
			Task: notch.NewTaskID(fmt.Sprintf("job-%06d", i/50), i%50), Worker: newWorker(i % 200).Name, Incarnation: 1,
		})
	}
	commit(d, notch.PlaceTasks{Placements: ps})
	i := 0
	return medianMicros(300, func() {
		p := ps[i]
		i++
		commit(d, notch.ReportTasks{Worker: p.Worker, Incarnation: 1, Reports: []notch.TaskReport{
			{Task: p.Task, Epoch: 1, Kind: notch.ReportRunning}, {Task: p.Task, Epoch: 1, Kind: notch.ReportFinished},
		}})
	})
}

// laneWithServers returns a lane with n backend servers and all their slots.
func laneWithServers(n int) *driver {
	d := &driver{state: notch.NewState(traffic.New(0, "north")), now: notch.Time(time.Hour)}
	d.step(notch.TablesInForce{Tables: notch.Tables{Revision: 1, Pools: []notch.Pool{{Name: "s", Kind: notch.ServicePool}}}})
	d.step(notch.ServersChanged{Servers: newServers(n)})
	g := notch.SlotsGranted{Seq: 1, Until: d.now + notch.Time(time.Hour), Entries: 9}
	for _, b := range newServers(n) {
		g.Slots = append(g.Slots, notch.SlotAllocation{Server: b.ID(), Slots: 8})
	}
	d.step(g)
	d.now += notch.Time(10 * time.Second)
	return d
}

// requestCost returns the CPU cost of a request, from its arrival to the end of its
// attempt, in a lane with n backend servers.
func requestCost(n int) float64 {
	d := laneWithServers(n)
	route := notch.Route{Name: "r", Pool: "s", Timeout: time.Second}
	id := uint64(0)
	return medianMicros(500, func() {
		id++
		r := notch.Request{ID: id, Route: route, Kind: "k", Idempotent: true, Replayable: true, Deadline: d.now + notch.Time(time.Second)}
		for _, f := range d.step(notch.RequestArrived{Request: r}) {
			if x, ok := f.(notch.Dispatch); ok {
				d.step(notch.AttemptEnded{Request: id, Attempt: x.Attempt, Server: x.Server.ID(), Latency: 20 * time.Millisecond})
			}
		}
	})
}

// journalMeasurement is the cost of syncing a journal on real files.
type journalMeasurement struct {
	commandsPerSync int
	syncMicros      float64 // duration of one sync, with the encoding of its commands
	commandBytes    float64 // size of one placement in an append request
}

// measureJournal measures syncs of 1, 32 and 320 commands in a temporary folder.
func measureJournal() []journalMeasurement {
	var out []journalMeasurement
	for _, n := range []int{1, 32, 320} {
		dir, err := os.MkdirTemp("", "notch-journal-")
		if err != nil {
			return out
		}
		j := wal.New(wal.Folder(dir))
		if _, err := j.Identity(wal.Identity{Storage: 1}); err != nil {
			return out
		}
		if _, err := j.Load(); err != nil {
			return out
		}
		index := uint64(0)
		cost := medianMicros(30, func() {
			p := notch.Persist{Hard: notch.HardState{Term: 1}}
			for range n {
				index++
				p.Entries = append(p.Entries, notch.LogEntry{Index: index, Term: 1, Command: notch.ClaimRequest{ID: "r/order-123456", Entry: "a", Token: index}})
			}
			j.Append([]notch.Persist{p})
		})
		j.Close()
		os.RemoveAll(dir)
		out = append(out, journalMeasurement{commandsPerSync: n, syncMicros: cost, commandBytes: placementLogBytes(1000) / 1000})
	}
	return out
}

func (m measurements) journalTable() Table {
	t := Table{Title: "a journal on this host's disk", Columns: []string{"commands in a sync", "us a sync", "commands a second at most"}}
	for _, p := range m.journal {
		t.Rows = append(t.Rows, Row{"", []float64{float64(p.commandsPerSync), p.syncMicros, float64(p.commandsPerSync) / p.syncMicros * 1e6}})
	}
	return t
}
