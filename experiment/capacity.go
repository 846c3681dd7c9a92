package experiment

import notch "tamaracknotch"

// The size to design for.
const (
	sizeWorkers  = 3900
	sizeTasks    = 40_000
	sizeServers  = 20_000
	sizeStarts   = 3200 // a second
	sizeEdits    = 6900 // a day
	sizeEntries  = 36
	sizeReplicas = 5
	sizeJobs     = 25_000 // a day
	sizeRestarts = 840    // hosts a day
)

// Capacity measures slopes on this host and works out the cost of each role at
// the size to design for.
func Capacity(full bool, _ uint64) []Table {
	m := measure(full)
	slopes := Table{
		Title:   "slopes measured on this host: three sizes and their costs, fitted base, cost of one more, r squared",
		Columns: []string{"size", "cost", "size", "cost", "size", "cost", "base", "each", "r2"},
	}
	for _, s := range m.slopes() {
		slopes.Rows = append(slopes.Rows, s.row())
	}
	return []Table{slopes, m.journalTable(), m.roles(), m.events()}
}

// measured is every slope that the page needs.
type measured struct {
	beat      slope   // CPU of a heartbeat at the leader, by workers
	beatBytes slope   // of a heartbeat and its answer between daemons, by running tasks of a worker
	plan      slope   // CPU of a placement, by workers
	report    slope   // CPU of a committed report, by running tasks
	entry     slope   // CPU of a quiet entry's report at the leader, by backend servers
	moving    slope   // the same while demands change
	entryIn   slope   // bytes of a report and its grant, by backend servers
	announce  slope   // bytes of an announcement message, by backend servers
	spread    slope   // CPU of an announcement message, by backend servers
	edit      slope   // bytes of a table with so many rows
	apply     slope   // CPU of a committed edit, by rows
	placed    slope   // bytes of a committed placement in the log, by placements
	propose   slope   // CPU of a proposal at the leader, by proposals in a batch
	request   slope   // CPU of a request in a lane, by backend servers
	taskHeap  slope   // memory by tasks
	hostHeap  slope   // memory by workers
	laneHeap  slope   // memory of a lane by backend servers
	reported  slope   // bytes of a committed report in the log, by reports
	ping      float64 // bytes of a heartbeat between replicas and its answer
	pingCost  float64 // CPU of taking a heartbeat, in microseconds
	register  float64 // bytes of a registration in the log
	idle      float64 // memory of this process before it measured, in MB
	restart   restart
	commits   []journalPoint
}

func (m measured) slopes() []slope {
	return []slope{m.beat, m.beatBytes, m.plan, m.report, m.entry, m.moving, m.entryIn, m.announce, m.spread, m.edit, m.apply,
		m.placed, m.reported, m.propose, m.request, m.taskHeap, m.hostHeap, m.laneHeap}
}

func measure(full bool) measured {
	workers, servers := []int{200, 600, 1200}, []int{100, 300, 900}
	if full {
		workers, servers = []int{400, 1300, sizeWorkers}, []int{300, 1000, 3000}
	}
	rows := []int{50, 200, 800}
	batches := []int{10, 100, 1000}
	tasks := []int{2000, 6000, 12_000}
	return measured{
		beat:      fit("heartbeat at the leader, by workers", "us", workers, beatCost),
		beatBytes: fit("heartbeat and answer between daemons, by its tasks", "bytes", []int{0, 10, 40}, beatBytes),
		plan:      fit("placement, by workers", "us", workers, planCost),
		report:    fit("committed report, by tasks", "us", tasks, reportCost),
		entry:     fit("quiet entry's report at the leader, by backend servers", "us", servers, entryQuiet),
		moving:    fit("the same while demands change", "us", servers, entryMoving),
		entryIn:   fit("quiet report and grant, by backend servers", "bytes", servers, entryBytes),
		announce:  fit("renewals of announcements, by backend servers", "bytes", servers, announceBytes),
		spread:    fit("renewals taken, by backend servers", "us", servers, announceCost),
		edit:      fit("table sent to an entry, by rows", "bytes", rows, editBytes),
		apply:     fit("committed edit, by rows", "us", rows, editCost),
		idle:      processMB(),
		reported:  fit("reports in a log message", "bytes", batches, reportedBytes),
		ping:      pingBytes(),
		pingCost:  pingCost(),
		register:  bytesOf(notch.Forward{Command: notch.RegisterWorker{Worker: workerNamed(1)}}),
		restart:   measureRestart(full),
		placed:    fit("placements in a log message", "bytes", batches, placedBytes),
		propose:   fit("proposals in a batch at the leader", "us", batches, proposeCost),
		request:   fit("request in a lane, by backend servers", "us", servers, requestCost),
		taskHeap:  fit("jobs and tasks", "bytes", tasks, func(n int) float64 { return heapOf(func() any { return jobState(n, 50) }) }),
		hostHeap:  fit("workers", "bytes", workers, func(n int) float64 { return heapOf(func() any { return workerState(n) }) }),
		laneHeap:  fit("backend servers in a lane", "bytes", servers, func(n int) float64 { return heapOf(func() any { return laneState(n) }) }),
		commits:   journalPoints(),
	}
}
