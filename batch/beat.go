package batch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	notch "tamaracknotch"
)

// attempt names one incarnation of a worker.
type attempt struct {
	worker      string
	incarnation uint64
}

type attempts struct{}

// Compare implements immutable.Comparer.
func (attempts) Compare(a, b attempt) int {
	return cmp.Or(strings.Compare(a.worker, b.worker), cmp.Compare(a.incarnation, b.incarnation))
}

// beat is what the leader knows of a worker incarnation from its heartbeats.
type beat struct {
	until    notch.Time // no lease granted reaches beyond this, by the leader's clock
	heard    notch.Time // zero: not by this leader
	usage    notch.Usage
	released notch.Time // when its release was proposed
}

// withDrift returns the longest time that may pass here while d passes on a worker.
func (p Part) withDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*2*p.timing.Drift)
}

// lead takes note of the leadership. A new leader grants every incarnation that
// holds tasks the lease that its predecessor may have granted last.
func (s *stepper) lead(l notch.Leadership) {
	started := l.Leading && l.Ready != 0 && (s.leading.Ready == 0 || s.leading.Term != l.Term)
	if !l.Leading {
		s.Part = s.withoutLead()
	}
	s.leading = l
	if !started {
		return
	}
	s.Part = s.withoutLead()
	until := l.Ready.Add(s.withDrift(s.timing.Lease))
	for it := s.onWorker.Iterator(); !it.Done(); {
		_, ids, _ := it.Next()
		for _, id := range ids {
			t, _ := s.tasks.Get(id)
			s.beats = s.beats.Set(attempt{t.Worker, t.Incarnation}, beat{until: until})
		}
	}
	s.dirty = true
}

// leaseAt returns how long a worker may rely on an answer sent now: no longer
// than a lease from the last instant at which this replica certainly led.
func (s *stepper) leaseAt() time.Duration {
	return max(0, s.leading.Contact.Add(s.timing.Lease).Sub(s.now))
}

// beat answers a worker's heartbeat.
func (s *stepper) beat(b notch.Beat) {
	if !s.acts() {
		s.emit(notch.BeatAnswered{Origin: b.Origin, Ticket: b.Ticket})
		return
	}
	h := b.Beat
	reply := notch.HeartbeatReply{Known: true}
	w, ok := s.workers.Get(h.Worker.Name)
	switch {
	case !ok || w.Incarnation < h.Worker.Incarnation || !sameShape(w, h.Worker):
		s.propose(notch.RegisterWorker{Worker: h.Worker})
		reply.Lease = s.renewIfKnown(w, h)
	case w.Incarnation > h.Worker.Incarnation:
		// Its successor has registered: it gets no lease and stops everything.
		reply.Orders = stopsFor(h.Running)
	default:
		reply.Lease = s.renew(h)
		s.watch(w, h.Usage)
	}
	s.takeReports(h, &reply)
	if reply.Lease > 0 {
		reply.Orders = append(reply.Orders, s.orders(h)...)
	}
	s.emit(notch.BeatAnswered{Origin: b.Origin, Ticket: b.Ticket, Reply: reply})
}

// renewIfKnown renews the lease of a worker that re-registers with another size.
func (s *stepper) renewIfKnown(w notch.Worker, h notch.Heartbeat) time.Duration {
	if w.Name == "" || w.Incarnation != h.Worker.Incarnation {
		return 0
	}
	return s.renew(h)
}

// sameShape compares what a worker says of itself.
func sameShape(a, b notch.Worker) bool {
	return a.Pool == b.Pool && a.Domain == b.Domain && a.Rack == b.Rack && a.Size == b.Size &&
		a.Guard == b.Guard && a.Services == b.Services
}

func (s *stepper) renew(h notch.Heartbeat) time.Duration {
	lease := s.leaseAt()
	key := attempt{h.Worker.Name, h.Worker.Incarnation}
	old, known := s.beats.Get(key)
	if !known || old.heard == 0 {
		s.dirty = true
	}
	if old.released != 0 {
		// Its tasks are being given to others.
		return 0
	}
	s.beats = s.beats.Set(key, beat{
		until: max(old.until, s.now.Add(s.withDrift(lease))), heard: s.now, usage: h.Usage,
	})
	return lease
}

func stopsFor(running []notch.TaskEpoch) []notch.Order {
	var out []notch.Order
	for _, te := range running {
		out = append(out, notch.Order{Kind: notch.OrderStop, Task: te.Task, Epoch: te.Epoch})
	}
	return out
}

// takeReports proposes what is news and settles what is decided already.
func (s *stepper) takeReports(h notch.Heartbeat, reply *notch.HeartbeatReply) {
	var fresh []notch.TaskReport
	for _, r := range h.Reports {
		t, ok := s.current(h.Worker.Name, h.Worker.Incarnation, r)
		if !ok {
			reply.Settled = append(reply.Settled, s.settlement(h.Worker.Name, r))
			continue
		}
		if isNews(t, r) {
			fresh = append(fresh, r)
		}
	}
	if len(fresh) > 0 {
		s.propose(notch.ReportTasks{Worker: h.Worker.Name, Incarnation: h.Worker.Incarnation, Reports: fresh})
	}
}

// settlement tells whether the attempt of a report is the one that finished its
// task.
func (s *stepper) settlement(worker string, r notch.TaskReport) notch.Settlement {
	t, ok := s.tasks.Get(r.Task)
	counted := ok && t.Phase == notch.Finished && t.Epoch == r.Epoch && t.Worker == worker
	return notch.Settlement{Task: r.Task, Epoch: r.Epoch, Counted: counted}
}

func isNews(t notch.Task, r notch.TaskReport) bool {
	switch r.Kind {
	case notch.ReportRunning:
		return t.Phase == notch.Placed
	case notch.ReportCheckpoint:
		return t.Checkpoint != r.Checkpoint
	}
	return true
}

// orders returns what the worker should do, from the difference between what it
// runs and what it should run.
func (s *stepper) orders(h notch.Heartbeat) []notch.Order {
	ids, _ := s.onWorker.Get(h.Worker.Name)
	var stops, starts []notch.Order
	wanted := map[notch.TaskEpoch]bool{}
	for _, id := range ids {
		t, _ := s.tasks.Get(id)
		if t.Incarnation != h.Worker.Incarnation {
			continue
		}
		te := notch.TaskEpoch{Task: t.ID, Epoch: t.Epoch}
		wanted[te] = true
		if o, ok := s.order(t, slices.Contains(h.Running, te)); ok {
			starts = append(starts, o)
		}
	}
	for _, te := range h.Running {
		if !wanted[te] {
			stops = append(stops, notch.Order{Kind: notch.OrderStop, Task: te.Task, Epoch: te.Epoch})
		}
	}
	// What is no longer wanted stops before its room is used again.
	return append(stops, starts...)
}

func (s *stepper) order(t notch.Task, running bool) (notch.Order, bool) {
	rec, _ := s.jobs.Get(t.Job)
	o := notch.Order{Task: t.ID, Epoch: t.Epoch}
	switch {
	case t.Phase == notch.Stopping:
		// A stop for an attempt that never began is confirmed just the same.
		o.Kind = notch.OrderStop
		if rec.Job.Checkpointable && !t.Cancel {
			o.Kind = notch.OrderCheckpoint
		}
	case t.Phase == notch.Placed && !running:
		o.Kind, o.Size, o.Command, o.Checkpoint = notch.OrderStart, rec.Job.Size, rec.Job.Command, t.Checkpoint
	case s.isThrottled(t):
		o.Kind = notch.OrderThrottle
	default:
		return notch.Order{}, false
	}
	return o, true
}

// expireLeases releases the tasks of incarnations whose leases are certainly over.
func (s *stepper) expireLeases() {
	if !s.acts() {
		return
	}
	for it := s.beats.Iterator(); !it.Done(); {
		key, b, _ := it.Next()
		if s.now.Before(b.until) {
			continue
		}
		if !s.holdsTasks(key) {
			s.beats = s.beats.Delete(key)
			continue
		}
		if b.released != 0 && s.now.Sub(b.released) < s.timing.Repropose {
			continue
		}
		b.released = s.now
		s.beats = s.beats.Set(key, b)
		s.count("worker-leases-expired", 1)
		s.propose(notch.ReleaseWorker{Worker: key.worker, Incarnation: key.incarnation})
	}
}

// watchLease makes sure that an incarnation which got tasks has a lease to run
// out, even if the last one known ended before the placement was committed.
func (s *stepper) watchLease(key attempt) {
	if _, ok := s.beats.Get(key); !ok && s.acts() {
		s.beats = s.beats.Set(key, beat{until: s.now.Add(s.withDrift(s.timing.Lease))})
	}
}

func (s *stepper) holdsTasks(key attempt) bool {
	ids, _ := s.onWorker.Get(key.worker)
	return slices.ContainsFunc(ids, func(id notch.TaskID) bool {
		t, _ := s.tasks.Get(id)
		return t.Incarnation == key.incarnation
	})
}
