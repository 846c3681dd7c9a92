package api

import (
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"

	notch "tamaracknotch"
)

// BackendServer is what a backend server announces.
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

// Value converts b after checking it.
func (b BackendServer) Value() (notch.BackendServer, error) {
	v := notch.BackendServer{
		Name: b.Name, Incarnation: b.Incarnation, Address: b.Address, Host: b.Host,
		Domain: b.FailureDomain, Pool: b.Pool, Slots: b.Slots, Connections: b.Connections, Leaving: b.Leaving,
	}
	if b.Name == "" || b.Host == "" || b.FailureDomain == "" || b.Pool == "" {
		return v, errors.New("name, host, failure-domain and pool are needed")
	}
	if b.Incarnation == 0 {
		return v, errors.New("incarnation is needed: a number that grows with every start")
	}
	if err := CheckAddress(b.Address); err != nil {
		return v, errors.Wrap(err, "address")
	}
	if b.Slots < 1 || b.Connections < b.Slots {
		return v, errors.Errorf("slots is %d, must be at least 1; connections is %d, must be at least slots", b.Slots, b.Connections)
	}
	return v, nil
}

// CheckAddress tells whether s is an IP number and a port.
func CheckAddress(s string) error {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return errors.Errorf("%q must be an IP number and a port such as 192.0.2.7:8080", s)
	}
	if net.ParseIP(host) == nil {
		return errors.Errorf("%q is no IP number", host)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return errors.Errorf("%q is no port", port)
	}
	return nil
}

// Worker is what a worker says of itself.
type Worker struct {
	Incarnation   uint64    `json:"incarnation"`
	Pool          string    `json:"pool"`
	FailureDomain string    `json:"failure-domain"`
	Rack          string    `json:"rack,omitempty"`
	Size          Resources `json:"size"`
	Services      Resources `json:"services,omitempty"`
	Guard         bool      `json:"guard,omitempty"`
}

// Usage is a worker's lagging report of load.
type Usage struct {
	AgeSeconds float64   `json:"age-seconds"`
	Load       Resources `json:"load"`
	Pressure   float64   `json:"pressure"`
}

// Attempt names one attempt of a task.
type Attempt struct {
	Task  string `json:"task"`
	Epoch uint64 `json:"epoch"`
}

// Report is a worker's word about one attempt.
type Report struct {
	Task       string `json:"task"`
	Epoch      uint64 `json:"epoch"`
	Kind       string `json:"kind"` // running, finished, failed, stopped or checkpoint
	Checkpoint string `json:"checkpoint,omitempty"`
	Reason     string `json:"reason,omitempty"`
}

// Heartbeat is a worker's periodic call.
type Heartbeat struct {
	Worker  Worker    `json:"worker"`
	Usage   Usage     `json:"usage"`
	Reports []Report  `json:"reports,omitempty"`
	Running []Attempt `json:"running,omitempty"`
}

var reportKinds = map[string]notch.TaskReportKind{
	"running": notch.ReportRunning, "finished": notch.ReportFinished, "failed": notch.ReportFailed,
	"stopped": notch.ReportStopped, "checkpoint": notch.ReportCheckpoint,
}

// Value converts h, sent by the named worker, after checking it.
func (h Heartbeat) Value(name string) (notch.Heartbeat, error) {
	w := h.Worker
	v := notch.Heartbeat{Worker: notch.Worker{
		Name: name, Incarnation: w.Incarnation, Pool: w.Pool, Domain: w.FailureDomain, Rack: w.Rack,
		Size: w.Size.Value(), Services: w.Services.Value(), Guard: w.Guard,
	}}
	if name == "" || w.Incarnation == 0 || w.Pool == "" || w.FailureDomain == "" {
		return v, errors.New("worker: name, incarnation, pool and failure-domain are needed")
	}
	if !v.Worker.Size.Valid() || v.Worker.Size.IsZero() || !v.Worker.Services.Valid() {
		return v, errors.New("worker: size must be positive and services must not be negative")
	}
	if h.Usage.AgeSeconds < 0 || h.Usage.Pressure < 0 {
		return v, errors.New("usage: age-seconds and pressure must not be negative")
	}
	v.Usage = notch.Usage{
		Age:  time.Duration(h.Usage.AgeSeconds * float64(time.Second)),
		Load: h.Usage.Load.Value(), Pressure: h.Usage.Pressure,
	}
	for i, r := range h.Reports {
		kind, ok := reportKinds[r.Kind]
		if !ok {
			return v, errors.Errorf("reports[%d].kind: %q is unknown", i, r.Kind)
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

// Order tells a worker what to do with one attempt.
type Order struct {
	Kind       string    `json:"kind"` // start, throttle, checkpoint (then stop) or stop
	Task       string    `json:"task"`
	Epoch      uint64    `json:"epoch"`
	Size       Resources `json:"size,omitempty"`
	Command    string    `json:"command,omitempty"`
	Checkpoint string    `json:"checkpoint,omitempty"`
}

// HeartbeatReply answers a Heartbeat. The lease runs from the instant at which
// the worker sent the heartbeat; when it ends, the worker must have stopped
// every task.
type HeartbeatReply struct {
	LeaseSeconds float64   `json:"lease-seconds"`
	Orders       []Order   `json:"orders,omitempty"`
	Settled      []Settled `json:"settled,omitempty"`
}

// Settled says that a report needs no repetition. The results of an attempt may
// be published only if it counted.
type Settled struct {
	Task    string `json:"task"`
	Epoch   uint64 `json:"epoch"`
	Counted bool   `json:"counted"`
}

// ReplyFrom converts r.
func ReplyFrom(r notch.HeartbeatReply) HeartbeatReply {
	doc := HeartbeatReply{LeaseSeconds: r.Lease.Seconds()}
	for _, o := range r.Orders {
		doc.Orders = append(doc.Orders, Order{
			Kind: string(o.Kind), Task: string(o.Task), Epoch: o.Epoch, Size: ResourcesFrom(o.Size),
			Command: o.Command, Checkpoint: o.Checkpoint,
		})
	}
	for _, s := range r.Settled {
		doc.Settled = append(doc.Settled, Settled{Task: string(s.Task), Epoch: s.Epoch, Counted: s.Counted})
	}
	return doc
}

// Job is a batch job.
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

// Value converts j after checking it.
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
	if j.Tasks < 0 || j.ExpectedSeconds < 0 {
		return v, errors.New("tasks and expected-seconds must not be negative")
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

// JobStatus is what is known of a job.
type JobStatus struct {
	Job    Job            `json:"job"`
	At     time.Time      `json:"submitted-at"`
	Ended  *time.Time     `json:"ended-at,omitempty"`
	Counts map[string]int `json:"counts"`
	Waits  string         `json:"waits,omitempty"`
	Tasks  []Task         `json:"tasks,omitempty"`
}

// Task is what is known of a task.
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

// JobFrom converts a record.
func JobFrom(r notch.JobRecord) JobStatus {
	j := r.Job
	doc := JobStatus{At: r.At.Std().UTC(), Counts: map[string]int{}, Job: Job{
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
		doc.Ended = &t
	}
	return doc
}

// TaskFrom converts a task.
func TaskFrom(t notch.Task) Task {
	return Task{
		ID: string(t.ID), Phase: t.Phase.String(), Epoch: t.Epoch, Worker: t.Worker, Evictions: t.Evictions,
		Checkpoint: t.Checkpoint, FailedOn: t.FailedOn, Reason: t.Reason,
	}
}

// Cancel asks for the cancellation of jobs.
type Cancel struct {
	Jobs []string `json:"jobs"`
}

// Entry is what the leader knows of an entry.
type Entry struct {
	Name         string  `json:"name"`
	Revision     uint64  `json:"revision"`
	LeaseSeconds float64 `json:"lease-seconds"`
}

// Entries lists the entries and the revision that all should have. It isn't complete
// for a lease after a change of the leader: others may hold one from before.
type Entries struct {
	Revision uint64  `json:"revision"`
	Complete bool    `json:"complete"`
	Entries  []Entry `json:"entries"`
}

// Lagging counts the entries that may still send requests and don't obey the
// revision yet.
func (e Entries) Lagging(revision uint64) int {
	n := 0
	for _, x := range e.Entries {
		if x.Revision < revision && x.LeaseSeconds > 0 {
			n++
		}
	}
	return n
}

// WorkerStatus is what is known of a worker.
type WorkerStatus struct {
	Name        string    `json:"name"`
	Pool        string    `json:"pool"`
	Rack        string    `json:"rack,omitempty"`
	Domain      string    `json:"failure-domain"`
	Size        Resources `json:"size"`
	Services    Resources `json:"services"`
	Used        Resources `json:"used"`
	Quarantined bool      `json:"quarantined,omitempty"`
}

// WorkerFrom converts a worker.
func WorkerFrom(w notch.Worker) WorkerStatus {
	return WorkerStatus{
		Name: w.Name, Pool: w.Pool, Rack: w.Rack, Domain: w.Domain, Size: ResourcesFrom(w.Size),
		Services: ResourcesFrom(w.Services), Used: ResourcesFrom(w.Used), Quarantined: w.Quarantined,
	}
}
