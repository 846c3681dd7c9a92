package experiment

import notch "tamaracknotch"

// The design size of the system.
const (
	designWorkers            = 3900
	designTasks              = 40_000
	designServers            = 20_000
	designStartsPerSecond    = 3200
	designEditsPerDay        = 6900
	designEntries            = 36
	designReplicas           = 5
	designJobsPerDay         = 25_000
	designHostRestartsPerDay = 840
)

// Capacity measures on this host how the costs grow with the size, and computes the
// cost of each role at the design size from the fitted lines.
func Capacity(full bool, _ uint64) []Table {
	m := measure(full)
	slopes := Table{
		Title:   "slopes measured on this host: three sizes and their costs, fitted base, cost of one more, r squared",
		Columns: []string{"size", "cost", "size", "cost", "size", "cost", "base", "each", "r2"},
	}
	for _, s := range m.fits() {
		slopes.Rows = append(slopes.Rows, s.row())
	}
	return []Table{slopes, m.journalTable(), m.roleTable(), m.failureTable()}
}

// measurements holds the figures behind the capacity page. CPU costs are in
// microseconds.
type measurements struct {
	heartbeatCPU          linearFit // CPU of a worker's heartbeat at the leader, by workers
	heartbeatBytes        linearFit // bytes of a worker's heartbeat and its answer between daemons, by running tasks of the worker
	placementCPU          linearFit // CPU of a placement, by workers
	taskReportCPU         linearFit // CPU of a committed task report, by running tasks
	steadyReportCPU       linearFit // CPU of an entry report at the leader while the demand is unchanged, by backend servers
	changingReportCPU     linearFit // CPU of an entry report at the leader while the demands change, by backend servers
	entryReportBytes      linearFit // bytes of an entry report and its grant, by backend servers
	renewalBytes          linearFit // bytes of a message that renews announcements, by backend servers
	renewalCPU            linearFit // CPU of a message that renews announcements, by backend servers
	tableBytes            linearFit // bytes of a table sent to an entry, by rows
	editCPU               linearFit // CPU of a committed edit of a table, by rows
	placementLogBytes     linearFit // bytes of an append request, by placements in it
	proposalCPU           linearFit // CPU of a batch of proposals at the leader, by proposals in it
	requestCPU            linearFit // CPU of a request in a lane, by backend servers
	taskHeap              linearFit // heap bytes of the batch state, by tasks
	workerHeap            linearFit // heap bytes of the batch state, by workers
	laneHeap              linearFit // heap bytes of a lane, by backend servers
	taskReportLogBytes    linearFit // bytes of an append request, by task reports in it
	replicaHeartbeatBytes float64   // bytes of a heartbeat between replicas and its answer
	replicaHeartbeatCPU   float64   // CPU of a heartbeat at a follower
	registrationBytes     float64   // bytes of a forwarded registration of a worker
	idleMB                float64   // memory of this process; the roles count it as their base memory
	restart               restartCost
	journal               []journalMeasurement
}

// fits returns the fitted lines in the order of the table.
func (m measurements) fits() []linearFit {
	return []linearFit{
		m.heartbeatCPU, m.heartbeatBytes, m.placementCPU, m.taskReportCPU, m.steadyReportCPU, m.changingReportCPU,
		m.entryReportBytes, m.renewalBytes, m.renewalCPU, m.tableBytes, m.editCPU, m.placementLogBytes,
		m.taskReportLogBytes, m.proposalCPU, m.requestCPU, m.taskHeap, m.workerHeap, m.laneHeap,
	}
}

// measure takes all measurements. If full is true, the sizes reach the design size of
// the workers.
func measure(full bool) measurements {
	workers, servers := []int{200, 600, 1200}, []int{100, 300, 900}
	if full {
		workers, servers = []int{400, 1300, designWorkers}, []int{300, 1000, 3000}
	}
	rows := []int{50, 200, 800}
	batches := []int{10, 100, 1000}
	tasks := []int{2000, 6000, 12_000}
	return measurements{
		heartbeatCPU:          fitLine("heartbeat at the leader, by workers", "us", workers, heartbeatCost),
		heartbeatBytes:        fitLine("heartbeat and answer between daemons, by running tasks", "bytes", []int{0, 10, 40}, heartbeatBytes),
		placementCPU:          fitLine("placement, by workers", "us", workers, placementCost),
		taskReportCPU:         fitLine("committed report, by tasks", "us", tasks, taskReportCost),
		steadyReportCPU:       fitLine("entry report with unchanged demand at the leader, by backend servers", "us", servers, steadyReportCost),
		changingReportCPU:     fitLine("entry report with changing demand at the leader, by backend servers", "us", servers, changingReportCost),
		entryReportBytes:      fitLine("entry report with unchanged demand and its grant, by backend servers", "bytes", servers, entryReportBytes),
		renewalBytes:          fitLine("renewals of announcements, by backend servers", "bytes", servers, renewalBytes),
		renewalCPU:            fitLine("renewals received, by backend servers", "us", servers, renewalCost),
		tableBytes:            fitLine("table sent to an entry, by rows", "bytes", rows, tableMessageBytes),
		editCPU:               fitLine("committed edit, by rows", "us", rows, editCost),
		idleMB:                processMB(),
		taskReportLogBytes:    fitLine("reports in a log message", "bytes", batches, taskReportLogBytes),
		replicaHeartbeatBytes: replicaHeartbeatBytes(),
		replicaHeartbeatCPU:   replicaHeartbeatCost(),
		registrationBytes:     encodedBytes(notch.Forward{Command: notch.RegisterWorker{Worker: newWorker(1)}}),
		restart:               measureRestart(full),
		placementLogBytes:     fitLine("placements in a log message", "bytes", batches, placementLogBytes),
		proposalCPU:           fitLine("proposals in a batch at the leader", "us", batches, proposalCost),
		requestCPU:            fitLine("request in a lane, by backend servers", "us", servers, requestCost),
		taskHeap:              fitLine("jobs and tasks", "bytes", tasks, func(n int) float64 { return heapBytes(func() any { return leaderWithTasks(n, 50) }) }),
		workerHeap:            fitLine("workers", "bytes", workers, func(n int) float64 { return heapBytes(func() any { return leaderWithWorkers(n) }) }),
		laneHeap:              fitLine("backend servers in a lane", "bytes", servers, func(n int) float64 { return heapBytes(func() any { return laneWithServers(n) }) }),
		journal:               measureJournal(),
	}
}
