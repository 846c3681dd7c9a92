package experiment

import (
	"slices"
)

// The budget of a daemon for control.
const (
	budgetCPU    = 2.5 // percent of a core
	budgetMemory = 128 // MB
	budgetBytes  = 15  // KB a second
)

// The rates at the size to design for.
const (
	secondsOfDay  = 86_400
	beatsASecond  = 2.0 // of a worker
	reportsASec   = 4.0 // of an entry
	renewals      = 2.0 / 3
	starts        = sizeStarts
	tableRows     = 500
	routesEach    = sizeServers / 300 // pools
	replicaBeats  = 10.0              // heartbeats a second to each follower
	catchUpStarts = 300.0             // starts a second while regions lose each other
	linkSpeed     = 10.0              // MB a second that a follower catches up with
)

func median(v []float64) float64 {
	s := slices.Clone(v)
	slices.Sort(s)
	return s[len(s)/2]
}

// percent turns microseconds a second into a share of a core.
func percent(micros float64) float64 { return micros / 1e4 }

// roles works out each role at the size to design for. Rows over the budget are
// shown as they are.
func (m measured) roles() Table {
	t := Table{
		Title:   "each role at the size to design for, by the slopes above, beside its budget",
		Columns: []string{"messages/s", "KB/s", "% of a core", "MB", "of CPU budget", "of bytes budget", "of memory budget"},
	}
	add := func(name string, messages, kb, cpu, mb float64) {
		t.Rows = append(t.Rows, Row{name, []float64{messages, kb, cpu, mb, cpu / budgetCPU, kb / budgetBytes, mb / budgetMemory}})
	}
	edits := float64(sizeEdits) / secondsOfDay
	tableBytes := m.edit.at(tableRows)
	beats := float64(sizeWorkers) * beatsASecond
	tasksEach := float64(sizeTasks) / sizeWorkers
	perBeat := m.beatBytes.base + m.beatBytes.each*tasksEach

	batchState := (m.taskHeap.each*sizeTasks + m.hostHeap.each*sizeWorkers) / 1e6
	laneState := m.laneHeap.at(sizeServers) / 1e6
	base := m.idle

	announced := float64(sizeServers) * renewals
	announceKB := announced * m.announce.each / 1000
	entryKB := reportsASec * m.entryIn.at(sizeServers) / 1000
	editKB := edits * tableBytes / 1000
	add("entry: announcements, lease, tables", announced/float64(sizeEntries)+reportsASec+edits, announceKB+entryKB+editKB,
		percent(announced*m.spread.each+reportsASec*100), base+laneState)

	add("leader: heartbeats of workers", 2*beats, 2*beats*perBeat/1000, percent(beats*m.beat.at(sizeWorkers)), base+batchState)
	add("leader: starts and reports", 2*starts/100, float64(starts)*(m.placed.each+m.reported.each)*float64(sizeReplicas-1)/1000,
		percent(starts*(m.plan.at(sizeWorkers)+2*m.report.at(sizeTasks)+m.propose.each/10)), batchState)
	add("leader: entries whose demands change", 2*reportsASec*sizeEntries, reportsASec*float64(sizeEntries)*m.entryIn.at(sizeServers)/1000,
		percent(reportsASec*float64(sizeEntries)*m.moving.at(sizeServers)), laneState)
	add("leader: quiet entries", 2*reportsASec*sizeEntries, reportsASec*float64(sizeEntries)*m.entryIn.at(sizeServers)/1000,
		percent(reportsASec*float64(sizeEntries)*m.entry.at(sizeServers)), laneState)
	add("leader: edits", edits*(sizeEntries+sizeReplicas), edits*float64(sizeEntries+sizeReplicas)*tableBytes/1000,
		percent(edits*m.apply.at(tableRows)), 0.2)
	add("follower: log at the peak", starts/50, float64(starts)*(m.placed.each+m.reported.each)/1000,
		percent(starts*(2*m.report.at(sizeTasks)+m.propose.each/10)), base+batchState)
	add("leader: idle followers", 2*replicaBeats*(sizeReplicas-1), replicaBeats*(sizeReplicas-1)*m.ping/1000, percent(replicaBeats*(sizeReplicas-1)*m.pingCost), base)
	add("follower: idle", 2*replicaBeats, replicaBeats*m.ping/1000, percent(replicaBeats*m.pingCost), base)
	add("relay of a failure domain", announced/12, announceKB, percent(announced*m.spread.each), base)
	for _, r := range t.Rows {
		over := max(r.Values[4], r.Values[5], r.Values[6])
		t.Checks = append(t.Checks, Check{What: r.Name + ": largest share of a budget", Got: over, Most: 1})
	}
	return t
}

// events works out what the failures of the plan cost.
func (m measured) events() Table {
	t := Table{Title: "failures of the plan, worked through", Columns: []string{"messages", "MB in all", "seconds"}}
	add := func(name string, messages, mb, seconds float64) {
		t.Rows = append(t.Rows, Row{name, []float64{messages, mb, seconds}})
	}
	domain := 1.0 / 12
	lostTasks := sizeTasks * domain
	placing := lostTasks * (m.plan.at(sizeWorkers) + m.report.at(sizeTasks)) / 1e6
	add("a failure domain goes: its tasks are released after 6.1 s and placed again", lostTasks/100, lostTasks*m.placed.each*float64(sizeReplicas-1)/1e6, 6.1+placing)
	add("a failure domain goes: its backend servers are forgotten after 5 s", 0, 0, 5)
	missed := 3600 * catchUpStarts * (m.placed.each + m.reported.each) / 1e6
	add("regions lose each other for an hour: log to catch up at 300 starts/s and 10 MB/s", 3600*catchUpStarts/1000, missed, missed/linkSpeed)
	add("a replica restarts: snapshot at full size, read and restored", 1, m.restart.snapshotMB, m.restart.snapshotSeconds)
	add("a replica restarts: 100,000 entries of the log", 0, m.restart.logMB, m.restart.logSeconds)
	add("840 hosts restart in a day: registrations and releases", 2*sizeRestarts, 2*sizeRestarts*m.register/1e6, sizeRestarts*2*m.report.at(sizeTasks)/1e6)
	return t
}
