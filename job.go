package notch

import (
	"fmt"
	"time"
)

// TaskID identifies a task: the job's id, a slash and the task's index.
type TaskID string

// NewTaskID returns the id of task index of a job.
func NewTaskID(job string, index int) TaskID {
	return TaskID(fmt.Sprintf("%s/%d", job, index))
}

// Job is a batch job as its team submitted it.
type Job struct {
	ID             string
	Team           string
	Pool           string // name of the worker pool
	Kind           string // tasks of one kind behave alike; history is kept by kind
	Class          Class
	Tasks          int
	Size           Resources     // declared size of each task
	Expected       time.Duration // declared run time of a task; zero: unknown
	Checkpointable bool
	Command        string // passed to the worker unparsed
}

// TaskPhase is the phase of a task in its life cycle.
type TaskPhase uint8

// The phases. A task occupies its worker from Placed until it leaves Stopping,
// because the attempt may still run until its stop is confirmed.
const (
	Queued TaskPhase = iota
	Placed
	Running
	Stopping // queued again or cancelled once the stop is confirmed
	Finished
	Failed
	Cancelled
)

var phaseNames = [...]string{"queued", "placed", "running", "stopping", "finished", "failed", "cancelled"}

// String returns the kebab-case name of the phase.
func (p TaskPhase) String() string { return phaseNames[p] }

// Occupies reports whether a task in phase p holds a reservation.
func (p TaskPhase) Occupies() bool { return p == Placed || p == Running || p == Stopping }

// Ended reports whether phase p is final.
func (p TaskPhase) Ended() bool { return p == Finished || p == Failed || p == Cancelled }

// Task is one task of a job and its current attempt.
type Task struct {
	ID          TaskID
	Job         string
	Phase       TaskPhase
	Epoch       uint64 // number of the attempt; workers and control replicas refuse older ones
	Worker      string
	Incarnation uint64 // incarnation of the worker on which the attempt was placed
	Since       Time   // when the phase was entered, by the clock of the leader that proposed it
	Seq         uint64 // position in the order of submission
	Cancel      bool   // the task is cancelled, not queued, once the stop is confirmed
	Checkpoint  string // last confirmed checkpoint
	Evictions   int
	FailedOn    []string // distinct workers on which an attempt failed
	Reason      string   // why the task ended or waits
}

// WithPhase returns t in phase p, entered at the given time.
func (t Task) WithPhase(p TaskPhase, at Time) Task {
	t.Phase, t.Since = p, at
	return t
}

// WithPlacement returns t placed on w as a new attempt.
func (t Task) WithPlacement(w Worker, at Time) Task {
	t.Epoch++
	t.Worker, t.Incarnation = w.Name, w.Incarnation
	t.Reason = ""
	return t.WithPhase(Placed, at)
}

// WithFailure returns t with worker added to FailedOn, if it isn't there yet.
func (t Task) WithFailure(worker string) Task {
	for _, w := range t.FailedOn {
		if w == worker {
			return t
		}
	}
	t.FailedOn = append(t.FailedOn[:len(t.FailedOn):len(t.FailedOn)], worker)
	return t
}

// Worker is a host that is registered to run batch tasks.
type Worker struct {
	Name        string
	Incarnation uint64
	Pool        string
	Domain      string
	Rack        string
	Size        Resources
	Guard       bool      // the worker enforces the declared sizes of tasks
	Services    Resources // reserved for latency-critical services on the same host
	Used        Resources // sum of the sizes of the tasks that occupy the worker
	Quarantined bool
}

// Free returns the resources that are neither reserved for services nor occupied.
// A component is negative after a registration with too small a size.
func (w Worker) Free() Resources { return w.Size.Minus(w.Services).Minus(w.Used) }

// WithUsed returns w with the given occupied amount.
func (w Worker) WithUsed(r Resources) Worker {
	w.Used = r
	return w
}

// WithQuarantine returns w in or out of quarantine.
func (w Worker) WithQuarantine(on bool) Worker {
	w.Quarantined = on
	return w
}

// Usage is a worker's report of its load, measured Age before the report.
type Usage struct {
	Age      time.Duration
	Load     Resources // measured use by tasks and services together
	Pressure float64   // excess of the services' latency over its target, as a share of the target: 0 is none, 1 is twice the target
}

// TaskReportKind is the kind of a worker's report about an attempt.
type TaskReportKind string

// The kinds of report.
const (
	ReportRunning    TaskReportKind = "running"
	ReportFinished   TaskReportKind = "finished"
	ReportFailed     TaskReportKind = "failed"
	ReportStopped    TaskReportKind = "stopped"
	ReportCheckpoint TaskReportKind = "checkpoint"
)

// TaskReport is a worker's report about one attempt.
type TaskReport struct {
	Task       TaskID
	Epoch      uint64
	Kind       TaskReportKind
	Checkpoint string // for ReportCheckpoint, and for ReportStopped after a checkpoint
	Reason     string // for ReportFailed
}

// OrderKind is the action that an order asks of a worker.
type OrderKind string

// The kinds of order.
const (
	OrderStart      OrderKind = "start"
	OrderThrottle   OrderKind = "throttle"
	OrderCheckpoint OrderKind = "checkpoint"
	OrderStop       OrderKind = "stop"
)

// Order asks a worker to act on one attempt. An order is repeated with
// each heartbeat reply until the worker reports that it has taken effect.
type Order struct {
	Kind       OrderKind
	Task       TaskID
	Epoch      uint64
	Size       Resources // for OrderStart
	Command    string    // for OrderStart
	Checkpoint string    // for OrderStart: checkpoint from which the attempt resumes
}
