package experiment

import "slices"

// The budgets of a daemon for control work.
const (
	cpuBudgetPercent = 2.5 // percent of a core
	memoryBudgetMB   = 128
	networkBudgetKB  = 15 // KB per second
)

// The rates and sizes behind the costs at the design size.
const (
	secondsPerDay              = 86_400
	heartbeatsPerSecond        = 2.0     // of each worker
	entryReportsPerSecond      = 4.0     // of each entry
	entryReportMicros          = 100     // CPU of an entry for each of its reports
	renewalsPerSecond          = 2.0 / 3 // of each backend server's announcement
	startsPerSecond            = designStartsPerSecond
	tableRows                  = 500                 // rows of the table that is edited
	serversPerPool             = designServers / 300 // there are 300 pools
	replicaHeartbeatsPerSecond = 10.0                // to each follower
	partitionStartsPerSecond   = 300.0               // task starts while regions are disconnected
	catchUpMBPerSecond         = 10.0                // log that a follower receives while it catches up
)

// median returns the upper median of v.
func median(v []float64) float64 {
	s := slices.Clone(v)
	slices.Sort(s)
	return s[len(s)/2]
}

// corePercent converts microseconds of CPU time per second to percent of a core.
func corePercent(micros float64) float64 { return micros / 1e4 }

// roleTable computes the cost of each role at the design size and compares it with the
// budgets. A role that exceeds a budget is a row like the others; its check fails.
func (m measurements) roleTable() Table {
	t := Table{
		Title:   "cost of each role at the design size, computed from the slopes above, relative to its budget",
		Columns: []string{"messages/s", "KB/s", "% of a core", "MB", "of CPU budget", "of bytes budget", "of memory budget"},
	}
	add := func(name string, messages, kb, cpu, mb float64) {
		t.Rows = append(t.Rows, Row{name, []float64{messages, kb, cpu, mb, cpu / cpuBudgetPercent, kb / networkBudgetKB, mb / memoryBudgetMB}})
	}
	editsPerSecond := float64(designEditsPerDay) / secondsPerDay
	tableBytes := m.tableBytes.costAt(tableRows)
	heartbeats := float64(designWorkers) * heartbeatsPerSecond
	tasksPerWorker := float64(designTasks) / designWorkers
	bytesPerHeartbeat := m.heartbeatBytes.intercept + m.heartbeatBytes.slope*tasksPerWorker

	batchMB := (m.taskHeap.slope*designTasks + m.workerHeap.slope*designWorkers) / 1e6
	laneMB := m.laneHeap.costAt(designServers) / 1e6
	idleMB := m.idleMB

	renewals := float64(designServers) * renewalsPerSecond
	renewalKB := renewals * m.renewalBytes.slope / 1000
	entryKB := entryReportsPerSecond * m.entryReportBytes.costAt(designServers) / 1000
	editKB := editsPerSecond * tableBytes / 1000
	add("entry: announcements, lease, tables", renewals/float64(designEntries)+entryReportsPerSecond+editsPerSecond, renewalKB+entryKB+editKB,
		corePercent(renewals*m.renewalCPU.slope+entryReportsPerSecond*entryReportMicros), idleMB+laneMB)

	add("leader: heartbeats of workers", 2*heartbeats, 2*heartbeats*bytesPerHeartbeat/1000,
		corePercent(heartbeats*m.heartbeatCPU.costAt(designWorkers)), idleMB+batchMB)
	add("leader: starts and reports", 2*startsPerSecond/100,
		float64(startsPerSecond)*(m.placementLogBytes.slope+m.taskReportLogBytes.slope)*float64(designReplicas-1)/1000,
		corePercent(startsPerSecond*(m.placementCPU.costAt(designWorkers)+2*m.taskReportCPU.costAt(designTasks)+m.proposalCPU.slope/10)), batchMB)
	add("leader: entries whose demands change", 2*entryReportsPerSecond*designEntries,
		entryReportsPerSecond*float64(designEntries)*m.entryReportBytes.costAt(designServers)/1000,
		corePercent(entryReportsPerSecond*float64(designEntries)*m.changingReportCPU.costAt(designServers)), laneMB)
	add("leader: entries whose demands don't change", 2*entryReportsPerSecond*designEntries,
		entryReportsPerSecond*float64(designEntries)*m.entryReportBytes.costAt(designServers)/1000,
		corePercent(entryReportsPerSecond*float64(designEntries)*m.steadyReportCPU.costAt(designServers)), laneMB)
	add("leader: edits", editsPerSecond*(designEntries+designReplicas), editsPerSecond*float64(designEntries+designReplicas)*tableBytes/1000,
		corePercent(editsPerSecond*m.editCPU.costAt(tableRows)), 0.2)
	add("follower: log at the peak", startsPerSecond/50, float64(startsPerSecond)*(m.placementLogBytes.slope+m.taskReportLogBytes.slope)/1000,
		corePercent(startsPerSecond*(2*m.taskReportCPU.costAt(designTasks)+m.proposalCPU.slope/10)), idleMB+batchMB)
	add("leader: idle followers", 2*replicaHeartbeatsPerSecond*(designReplicas-1),
		replicaHeartbeatsPerSecond*(designReplicas-1)*m.replicaHeartbeatBytes/1000,
		corePercent(replicaHeartbeatsPerSecond*(designReplicas-1)*m.replicaHeartbeatCPU), idleMB)
	add("follower: idle", 2*replicaHeartbeatsPerSecond,
		replicaHeartbeatsPerSecond*m.replicaHeartbeatBytes/1000, corePercent(replicaHeartbeatsPerSecond*m.replicaHeartbeatCPU), idleMB)
	// A replica receives all announcements and sends them to its share of the entries.
	copies := 1 + float64(designEntries)/designReplicas
	add("replica: relayed announcements", copies*renewals/12, copies*renewalKB, corePercent(renewals*m.renewalCPU.slope), idleMB)
	for _, r := range t.Rows {
		largest := max(r.Values[4], r.Values[5], r.Values[6])
		t.Checks = append(t.Checks, Check{Name: r.Name + ": largest share of a budget", Measured: largest, Max: 1})
	}
	return t
}

// failureTable computes the cost of the failures that the system is designed for.
func (m measurements) failureTable() Table {
	t := Table{Title: "cost of the failures designed for, computed from the slopes above", Columns: []string{"messages", "MB in all", "seconds"}}
	add := func(name string, messages, mb, seconds float64) {
		t.Rows = append(t.Rows, Row{name, []float64{messages, mb, seconds}})
	}
	domainShare := 1.0 / 12
	lostTasks := designTasks * domainShare
	placementSeconds := lostTasks * (m.placementCPU.costAt(designWorkers) + m.taskReportCPU.costAt(designTasks)) / 1e6
	add("a failure domain is lost: its tasks are released after 6.1 s and placed again",
		lostTasks/100, lostTasks*m.placementLogBytes.slope*float64(designReplicas-1)/1e6, 6.1+placementSeconds)
	add("a failure domain is lost: its backend servers are removed after 5 s", 0, 0, 5)
	missedLogMB := 3600 * partitionStartsPerSecond * (m.placementLogBytes.slope + m.taskReportLogBytes.slope) / 1e6
	add("regions are disconnected for an hour: log to catch up at 300 starts/s and 10 MB/s",
		3600*partitionStartsPerSecond/1000, missedLogMB, missedLogMB/catchUpMBPerSecond)
	add("a replica restarts: snapshot at full size, read and restored", 1, m.restart.snapshotMB, m.restart.snapshotSeconds)
	add("a replica restarts: 100,000 entries of the log", 0, m.restart.logMB, m.restart.logSeconds)
	add("840 hosts restart in a day: registrations and releases",
		2*designHostRestartsPerDay, 2*designHostRestartsPerDay*m.registrationBytes/1e6, designHostRestartsPerDay*2*m.taskReportCPU.costAt(designTasks)/1e6)
	return t
}
