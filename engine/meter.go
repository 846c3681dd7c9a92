package engine

import (
	"fmt"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/usage"
)

// The limits of a loopMeter.
const (
	behindThreshold = 200 * time.Millisecond // wait of the oldest event at which the loop counts as behind
	longPlan        = 50 * time.Millisecond
	reportInterval  = time.Second // between reports, and least time between log messages of one sort
	workLogInterval = 5 * time.Second
	busyLoop        = 0.1 // share of the time from which on a loop logs what it does
)

// The names of the metrics of the control loop.
const (
	metricWait         = "control-loop-wait-us"      // of the oldest event of a batch, in the mailbox
	metricBatchTime    = "control-loop-batch-us"     // of a batch with its flush
	metricBatchEvents  = "control-loop-batch-events" // number of events that a batch took from the mailbox
	metricBehind       = "control-loop-behind"       // batches whose oldest event waited for behindThreshold
	metricBusy         = "control-loop-busy-us"
	metricEventsPrefix = "control-loop-events-" // and the kind of event
	metricTimePrefix   = "control-loop-us-"     // and the kind of event
)

// loopMeter measures where a loop spends its time. The loop's goroutine alone uses it. A nil
// loopMeter measures nothing.
type loopMeter struct {
	sink      Sink
	readUsage func() usage.Usage
	kinds     kindTable

	current   *kindStats // kind of the event being reduced; nil: none
	startedAt notch.Time // of the current event
	plan      notch.PlanMade
	batchAt   notch.Time // start of the current batch

	interval, intervalBefore meterInterval // the present one and the one before, which the last report ended
	behindLoggedAt           notch.Time
	planLoggedAt             notch.Time
	workLoggedAt             notch.Time
}

// meterInterval is the time between two reports.
type meterInterval struct {
	startedAt notch.Time
	usage     usage.Usage // at the start
	busy      time.Duration
}

func newLoopMeter(sink Sink, now notch.Time, readUsage func() usage.Usage) *loopMeter {
	first := meterInterval{startedAt: now, usage: readUsage()}
	return &loopMeter{sink: sink, readUsage: readUsage, kinds: newKindTable(), interval: first, intervalBefore: first}
}

// beginBatch ends the tick before the batch, if there was one. It records that the loop took n
// events, the oldest of which was posted at the given time.
func (m *loopMeter) beginBatch(now notch.Time, n int, oldest notch.Time) {
	if m == nil {
		return
	}
	m.endEvent(now)
	m.batchAt = now
	if n == 0 {
		return
	}
	wait := now.Sub(oldest)
	m.sink.Value(metricWait, wait.Microseconds())
	m.sink.Value(metricBatchEvents, int64(n))
	if wait >= behindThreshold {
		m.sink.Count(metricBehind, 1)
		m.logBehind(now, n, wait)
	}
}

// beginEvent ends the event before, if there was one, and begins another.
func (m *loopMeter) beginEvent(now notch.Time, b notch.Body) {
	if m == nil {
		return
	}
	m.endEvent(now)
	m.current, m.startedAt = m.kinds.of(b), now
}

// planMade records that the current event made a plan. Its time counts as that of a plan.
func (m *loopMeter) planMade(p notch.PlanMade) {
	if m == nil {
		return
	}
	m.current, m.plan = m.kinds.plans, p
}

// endBatch ends the last event of a batch.
func (m *loopMeter) endBatch(now notch.Time) {
	if m == nil {
		return
	}
	m.endEvent(now)
	m.sink.Value(metricBatchTime, now.Sub(m.batchAt).Microseconds())
	if now.Sub(m.interval.startedAt) >= reportInterval {
		m.report(now)
	}
}

func (m *loopMeter) endEvent(now notch.Time) {
	if m.current == nil {
		return
	}
	spent := now.Sub(m.startedAt)
	m.current.events++
	m.current.spent += spent
	m.interval.busy += spent
	if m.current == m.kinds.plans {
		m.endPlan(now, spent)
	}
	m.current = nil
}

// endPlan counts the plan that the current event made, and logs it if it took long or stopped
// at its limit.
func (m *loopMeter) endPlan(now notch.Time, spent time.Duration) {
	for _, c := range m.plan.Counts() {
		m.sink.Count(c.Name, c.Delta)
	}
	if spent < longPlan && !m.plan.Incomplete || now.Sub(m.planLoggedAt) < reportInterval {
		return
	}
	m.planLoggedAt = now
	m.sink.Log(notch.LogMessage{Text: "plan took long or stopped at its limit", Fields: []notch.LogField{
		notch.DurationField("took", spent), notch.IntField("ready", m.plan.Ready), notch.IntField("placed", m.plan.Placed),
		notch.IntField("stages-without-agent", m.plan.StagesWithoutAgent), notch.IntField("agents-examined", m.plan.AgentsExamined),
	}})
}

// report passes what was measured since the last report to the sink and begins an interval.
func (m *loopMeter) report(now notch.Time) {
	m.logWork(now)
	m.kinds.report(m.sink)
	m.sink.Count(metricBusy, m.interval.busy.Microseconds())
	m.intervalBefore = m.interval
	m.interval = meterInterval{startedAt: now, usage: m.readUsage()}
}

// logWork logs, from time to time, what a busy loop did since the last report and what the process used meanwhile.
func (m *loopMeter) logWork(now notch.Time) {
	window := now.Sub(m.interval.startedAt)
	if now.Sub(m.workLoggedAt) < workLogInterval || m.interval.busy.Seconds() < busyLoop*window.Seconds() {
		return
	}
	m.workLoggedAt = now
	used := m.readUsage().Since(m.interval.usage)
	m.sink.Log(notch.LogMessage{Text: "work of the control loop", Fields: []notch.LogField{
		notch.DurationField("window", window), shareField("loop-share", m.interval.busy, window), shareField("cores", used.Processor, window),
		fractionField("gc-share", used.GCShare()), notch.TextField("work", m.kinds.work()),
	}})
}

// logBehind logs, at most once in each interval, how far the loop is behind, and what took the
// time since the start of the interval before.
func (m *loopMeter) logBehind(now notch.Time, queued int, wait time.Duration) {
	if now.Sub(m.behindLoggedAt) < reportInterval {
		return
	}
	m.behindLoggedAt = now
	since := now.Sub(m.intervalBefore.startedAt)
	busy := m.intervalBefore.busy + m.interval.busy
	used := m.readUsage().Since(m.intervalBefore.usage)
	m.sink.Log(notch.LogMessage{Text: "control loop is behind", Fields: []notch.LogField{
		notch.DurationField("wait", wait), notch.IntField("queued", queued), notch.DurationField("window", since),
		shareField("loop-share", busy, since), shareField("cores", used.Processor, since),
		fractionField("gc-share", used.GCShare()), notch.IntField("goroutines", int(used.Goroutines)),
		notch.TextField("time-by-kind", m.kinds.longest()),
	}})
}

// shareField gives d as a fraction of a period.
func shareField(name string, d, period time.Duration) notch.LogField {
	return fractionField(name, d.Seconds()/max(period, time.Millisecond).Seconds())
}

func fractionField(name string, f float64) notch.LogField {
	return notch.TextField(name, fmt.Sprintf("%.2f", f))
}
