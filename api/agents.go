package api

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	notch "tamaracknotch"
)

// BackendServer is the announcement of a backend server.
type BackendServer struct {
	Name          string `json:"name"`
	Incarnation   uint64 `json:"incarnation"`
	Address       string `json:"address"`
	Host          string `json:"host"`
	FailureDomain string `json:"failure-domain"`
	Pool          string `json:"pool"`
	Slots         int    `json:"slots"`
	Connections   int    `json:"connections"`
	Leaving       bool   `json:"leaving,omitempty"`
}

// The limits of the numbers in documents. What is beyond them is a mistake of its writer: the time to
// divide slots grows with their number, and sums over all workers must not overflow.
const (
	maxSlots   = 100_000       // of slots and of connections of one backend server
	maxAmount  = 1 << 40       // of each resource of a worker, in its unit
	maxSeconds = 1_000_000_000 // 31 years
)

// Value checks b and converts it.
func (b BackendServer) Value() (notch.BackendServer, error) {
	v := notch.BackendServer{
		Name: b.Name, Incarnation: b.Incarnation, Address: b.Address, Host: b.Host,
		Domain: b.FailureDomain, Pool: b.Pool, Slots: b.Slots, Connections: b.Connections, Leaving: b.Leaving,
	}
	if b.Name == "" || b.Host == "" || b.FailureDomain == "" || b.Pool == "" {
		return v, errors.New("name, host, failure-domain and pool must not be empty")
	}
	if b.Incarnation == 0 {
		return v, errors.New("incarnation must not be 0; it is a number that grows with every start")
	}
	if err := CheckAddress(b.Address); err != nil {
		return v, errors.Wrap(err, "address")
	}
	if strings.HasSuffix(b.Address, ":0") {
		return v, errors.Errorf("address: %q has the port 0, which can't be called", b.Address)
	}
	if b.Slots < 1 || b.Connections < b.Slots || b.Connections > maxSlots {
		return v, errors.Errorf("slots is %d and must be at least 1; connections is %d and must be at least slots and at most %d", b.Slots, b.Connections, maxSlots)
	}
	return v, nil
}

// CheckAddress returns an error unless s is an IP number and a port.
func CheckAddress(s string) error {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return errors.Errorf("%q must be an IP number and a port such as 192.0.2.7:8080", s)
	}
	if net.ParseIP(host) == nil {
		return errors.Errorf("%q is no IP number", host)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return errors.Errorf("%q is not a port number from 0 to 65535", port)
	}
	return nil
}

// Worker is the registration of a worker, which each of its heartbeats repeats.
type Worker struct {
	Incarnation   uint64    `json:"incarnation"`
	Pool          string    `json:"pool"`
	FailureDomain string    `json:"failure-domain"`
	Rack          string    `json:"rack,omitempty"`
	Size          Resources `json:"size"`
	Services      Resources `json:"services,omitempty"`
	Guard         bool      `json:"guard,omitempty"`
}

// Usage is a worker's report of its load, measured AgeSeconds before the heartbeat.
type Usage struct {
	AgeSeconds float64   `json:"age-seconds"`
	Load       Resources `json:"load"`
	Pressure   float64   `json:"pressure"`
}

// TaskAttempt identifies one attempt of a task.
type TaskAttempt struct {
	Task  string `json:"task"`
	Epoch uint64 `json:"epoch"`
}

// TaskReport is a worker's report about one attempt of a task.
type TaskReport struct {
	Task       string `json:"task"`
	Epoch      uint64 `json:"epoch"`
	Kind       string `json:"kind"` // running, finished, failed, stopped or checkpoint
	Checkpoint string `json:"checkpoint,omitempty"`
	Reason     string `json:"reason,omitempty"`
}

// Heartbeat is a worker's periodic call: it renews the worker's lease and fetches
// orders.
type Heartbeat struct {
	Worker  Worker        `json:"worker"`
	Usage   Usage         `json:"usage"`
	Reports []TaskReport  `json:"reports,omitempty"`
	Running []TaskAttempt `json:"running,omitempty"`
}

// reportKinds maps the outer names of the kinds of report to their values.
var reportKinds = map[string]notch.TaskReportKind{
	"running": notch.ReportRunning, "finished": notch.ReportFinished, "failed": notch.ReportFailed,
	"stopped": notch.ReportStopped, "checkpoint": notch.ReportCheckpoint,
}

// Value checks the heartbeat of the named worker and converts it.
func (h Heartbeat) Value(name string) (notch.Heartbeat, error) {
	w := h.Worker
	v := notch.Heartbeat{Worker: notch.Worker{
		Name: name, Incarnation: w.Incarnation, Pool: w.Pool, Domain: w.FailureDomain, Rack: w.Rack,
		Size: w.Size.Value(), Services: w.Services.Value(), Guard: w.Guard,
	}}
	if name == "" || w.Incarnation == 0 || w.Pool == "" || w.FailureDomain == "" {
		return v, errors.New("worker: name, incarnation, pool and failure-domain must be set")
	}
	if !v.Worker.Size.Valid() || v.Worker.Size.IsZero() || !v.Worker.Services.Valid() {
		return v, errors.New("worker: size must be positive and services must not be negative")
	}
	for _, r := range []notch.Resources{v.Worker.Size, v.Worker.Services, h.Usage.Load.Value()} {
		if max(r.MilliCPU, r.MemoryMB, r.Accelerators) > maxAmount {
			return v, errors.Errorf("worker: has %v, at most %d of each are allowed", r, maxAmount)
		}
	}
	if h.Usage.AgeSeconds < 0 || h.Usage.AgeSeconds > maxSeconds || h.Usage.Pressure < 0 {
		return v, errors.Errorf("usage: age-seconds and pressure must not be negative, age-seconds must be at most %d", maxSeconds)
	}
	v.Usage = notch.Usage{
		Age:  time.Duration(h.Usage.AgeSeconds * float64(time.Second)),
		Load: h.Usage.Load.Value(), Pressure: h.Usage.Pressure,
	}
	for i, r := range h.Reports {
		kind, ok := reportKinds[r.Kind]
		if !ok {
			return v, errors.Errorf("reports[%d].kind: %q is none of running, finished, failed, stopped and checkpoint", i, r.Kind)
		}
		v.Reports = append(v.Reports, notch.TaskReport{
			Task: notch.TaskID(r.Task), Epoch: r.Epoch, Kind: kind, Checkpoint: r.Checkpoint, Reason: r.Reason,
		})
	}
	for _, a := range h.Running {
		v.Running = append(v.Running, notch.TaskEpoch{Task: notch.TaskID(a.Task), Epoch: a.Epoch})
	}
	return v, nil
}

// Order asks a worker to act on one attempt of a task.
type Order struct {
	Kind       string    `json:"kind"` // start, throttle, checkpoint (write a checkpoint, then stop) or stop
	Task       string    `json:"task"`
	Epoch      uint64    `json:"epoch"`
	Size       Resources `json:"size,omitempty"`
	Command    string    `json:"command,omitempty"`
	Checkpoint string    `json:"checkpoint,omitempty"`
}

// HeartbeatReply answers a Heartbeat. The lease starts when the worker sent the
// heartbeat. The worker must have stopped every task by the time the lease expires.
type HeartbeatReply struct {
	LeaseSeconds float64      `json:"lease-seconds"`
	Orders       []Order      `json:"orders,omitempty"`
	Settled      []Settlement `json:"settled,omitempty"`
}

// Settlement acknowledges a report, so that the worker stops repeating it. A worker
// publishes the results of an attempt only if Counted is set.
type Settlement struct {
	Task    string `json:"task"`
	Epoch   uint64 `json:"epoch"`
	Counted bool   `json:"counted"`
}

// HeartbeatReplyFrom converts a reply to its document.
func HeartbeatReplyFrom(r notch.HeartbeatReply) HeartbeatReply {
	doc := HeartbeatReply{LeaseSeconds: r.Lease.Seconds()}
	for _, o := range r.Orders {
		doc.Orders = append(doc.Orders, Order{
			Kind: string(o.Kind), Task: string(o.Task), Epoch: o.Epoch, Size: ResourcesFrom(o.Size),
			Command: o.Command, Checkpoint: o.Checkpoint,
		})
	}
	for _, s := range r.Settled {
		doc.Settled = append(doc.Settled, Settlement{Task: string(s.Task), Epoch: s.Epoch, Counted: s.Counted})
	}
	return doc
}

// Job is the submission of a batch job.
type Job struct {
	ID              string    `json:"id"`
	Team            string    `json:"team,omitempty"`
	Pool            string    `json:"pool"`
	Kind            string    `json:"kind,omitempty"`
	Class           string    `json:"class,omitempty"`
	Tasks           int       `json:"tasks,omitempty"`
	Size            Resources `json:"size"`
	ExpectedSeconds float64   `json:"expected-seconds,omitempty"`
	Checkpointable  bool      `json:"checkpointable,omitempty"`
	Command         string    `json:"command,omitempty"`
}

// Value checks j and converts it. A job without tasks, class or kind gets one task,
// the class normal and the kind TEAM/POOL.
func (j Job) Value() (notch.Job, error) {
	v := notch.Job{
		ID: j.ID, Team: j.Team, Pool: j.Pool, Kind: j.Kind, Class: notch.Normal, Tasks: max(j.Tasks, 0),
		Size: j.Size.Value(), Checkpointable: j.Checkpointable, Command: j.Command,
	}
	if j.Class != "" {
		c, ok := notch.ParseClass(j.Class)
		if !ok {
			return v, errors.Errorf("class: %q is none of urgent, normal and best-effort", j.Class)
		}
		v.Class = c
	}
	if j.Tasks < 0 || j.ExpectedSeconds < 0 || j.ExpectedSeconds > maxSeconds {
		return v, errors.Errorf("tasks and expected-seconds must not be negative, expected-seconds must be at most %d", maxSeconds)
	}
	if j.Tasks == 0 {
		v.Tasks = 1
	}
	if v.Kind == "" {
		v.Kind = v.Team + "/" + v.Pool
	}
	v.Expected = time.Duration(j.ExpectedSeconds * float64(time.Second))
	return v, nil
}

// JobStatus is the state of a batch job.
type JobStatus struct {
	Job         Job            `json:"job"`
	SubmittedAt time.Time      `json:"submitted-at"`
	EndedAt     *time.Time     `json:"ended-at,omitempty"`
	Counts      map[string]int `json:"counts"`
	WaitReason  string         `json:"waits,omitempty"`
	Tasks       []Task         `json:"tasks,omitempty"`
}

// Task is the state of one task of a batch job.
type Task struct {
	ID         string   `json:"id"`
	Phase      string   `json:"phase"`
	Epoch      uint64   `json:"epoch"`
	Worker     string   `json:"worker,omitempty"`
	Evictions  int      `json:"evictions,omitempty"`
	Checkpoint string   `json:"checkpoint,omitempty"`
	FailedOn   []string `json:"failed-on,omitempty"`
	Reason     string   `json:"reason,omitempty"`
}

// JobStatusFrom converts a job record to its document, without the tasks.
func JobStatusFrom(r notch.JobRecord) JobStatus {
	j := r.Job
	doc := JobStatus{SubmittedAt: r.At.Std().UTC(), Counts: map[string]int{}, Job: Job{
		ID: j.ID, Team: j.Team, Pool: j.Pool, Kind: j.Kind, Class: j.Class.String(), Tasks: j.Tasks,
		Size: ResourcesFrom(j.Size), ExpectedSeconds: j.Expected.Seconds(), Checkpointable: j.Checkpointable,
		Command: j.Command,
	}}
	for phase, n := range r.Counts {
		if n != 0 {
			doc.Counts[notch.TaskPhase(phase).String()] = n
		}
	}
	if r.Ended != 0 {
		t := r.Ended.Std().UTC()
		doc.EndedAt = &t
	}
	return doc
}

// TaskFrom converts a task to its document.
func TaskFrom(t notch.Task) Task {
	return Task{
		ID: string(t.ID), Phase: t.Phase.String(), Epoch: t.Epoch, Worker: t.Worker, Evictions: t.Evictions,
		Checkpoint: t.Checkpoint, FailedOn: t.FailedOn, Reason: t.Reason,
	}
}

// CancelRequest lists the jobs to cancel.
type CancelRequest struct {
	Jobs []string `json:"jobs"`
}

// Entry is the state of one entry as the leader knows it.
type Entry struct {
	Name         string  `json:"name"`
	Revision     uint64  `json:"revision"`
	LeaseSeconds float64 `json:"lease-seconds"`
}

// Entries lists the entries and the newest revision of the tables. For one lease
// after a change of the leader the list isn't complete: entries that the new leader
// doesn't know may still hold a lease from the former one.
type Entries struct {
	Revision uint64  `json:"revision"`
	Complete bool    `json:"complete"`
	Entries  []Entry `json:"entries"`
}

// Lagging returns the number of entries that may still send requests under a revision
// of the tables older than the given one.
func (e Entries) Lagging(revision uint64) int {
	n := 0
	for _, x := range e.Entries {
		if x.Revision < revision && x.LeaseSeconds > 0 {
			n++
		}
	}
	return n
}

// WorkerStatus is the state of a worker.
type WorkerStatus struct {
	Name          string    `json:"name"`
	Pool          string    `json:"pool"`
	Rack          string    `json:"rack,omitempty"`
	FailureDomain string    `json:"failure-domain"`
	Size          Resources `json:"size"`
	Services      Resources `json:"services"`
	Used          Resources `json:"used"`
	Quarantined   bool      `json:"quarantined,omitempty"`
}

// WorkerStatusFrom converts a worker to its document.
func WorkerStatusFrom(w notch.Worker) WorkerStatus {
	return WorkerStatus{
		Name: w.Name, Pool: w.Pool, Rack: w.Rack, FailureDomain: w.Domain, Size: ResourcesFrom(w.Size),
		Services: ResourcesFrom(w.Services), Used: ResourcesFrom(w.Used), Quarantined: w.Quarantined,
	}
}
