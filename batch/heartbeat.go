package batch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	notch "tamaracknotch"
)

// workerIncarnation identifies one incarnation of a worker.
type workerIncarnation struct {
	worker      string
	incarnation uint64
}

type workerIncarnationComparer struct{}

// Compare implements immutable.Comparer.
func (workerIncarnationComparer) Compare(a, b workerIncarnation) int {
	return cmp.Or(strings.Compare(a.worker, b.worker), cmp.Compare(a.incarnation, b.incarnation))
}

// workerSession is the leader's state of one worker incarnation. Heartbeats update it.
type workerSession struct {
	leaseUntil        notch.Time // latest end of any lease granted to it, by the leader's clock
	lastHeardAt       notch.Time // zero if this leader has received no heartbeat
	usage             notch.Usage
	releaseProposedAt notch.Time // zero if its release hasn't been proposed
}

// withDrift returns the longest time that can pass on the leader's clock while d
// passes on a worker's. It allows for twice the drift.
func (p Part) withDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*2*p.timing.Drift)
}

// setLeadership records a change of leadership. A new leader assumes that its
// predecessor granted a full lease, at the last moment, to every incarnation that
// has tasks.
func (s *stepper) setLeadership(l notch.Leadership) {
	newTerm := l.Leading && l.Ready != 0 && (s.leadership.Ready == 0 || s.leadership.Term != l.Term)
	if !l.Leading {
		s.Part = s.withoutLeaderState()
	}
	s.leadership = l
	if !newTerm {
		return
	}
	s.Part = s.withoutLeaderState()
	leaseUntil := l.Ready.Add(s.withDrift(s.timing.Lease))
	for it := s.onWorker.Iterator(); !it.Done(); {
		_, ids, _ := it.Next()
		for _, id := range ids {
			t, _ := s.tasks.Get(id)
			s.sessions = s.sessions.Set(workerIncarnation{t.Worker, t.Incarnation}, workerSession{leaseUntil: leaseUntil})
		}
	}
	s.planNeeded = true
}

// grantableLease returns the length of a lease granted now. The lease ends at most
// timing.Lease after the last instant at which this replica was surely the leader.
func (s *stepper) grantableLease() time.Duration {
	return max(0, s.leadership.Contact.Add(s.timing.Lease).Sub(s.now))
}

// handleHeartbeat answers a worker's heartbeat with a lease, orders and the reports that
// are settled. If this replica doesn't lead, the reply is empty and the worker has to send
// the heartbeat again.
func (s *stepper) handleHeartbeat(b notch.HeartbeatReceived) {
	if !s.hasLeaderLease() {
		s.emit(notch.HeartbeatAnswered{Origin: b.Origin, Ticket: b.Ticket})
		return
	}
	h := b.Beat
	reply := notch.HeartbeatReply{Known: true}
	w, ok := s.workers.Get(h.Worker.Name)
	switch {
	case !ok || w.Incarnation < h.Worker.Incarnation || !sameRegistration(w, h.Worker):
		s.propose(notch.RegisterWorker{Worker: h.Worker})
		reply.Lease = s.renewOnReregistration(w, h)
	case w.Incarnation > h.Worker.Incarnation:
		// A newer incarnation has registered: this one gets no lease and has to stop
		// everything.
		reply.Orders = stopOrders(h.Running)
	default:
		reply.Lease = s.renewLease(h)
		s.observeUsage(w, h.Usage)
	}
	s.handleReports(h, &reply)
	if reply.Lease > 0 {
		reply.Orders = append(reply.Orders, s.orders(h)...)
	}
	s.emit(notch.HeartbeatAnswered{Origin: b.Origin, Ticket: b.Ticket, Reply: reply})
}

// renewOnReregistration renews the lease of an incarnation that has registered before
// and now reports another size or other attributes. A new incarnation gets a lease once
// its registration is committed.
func (s *stepper) renewOnReregistration(w notch.Worker, h notch.Heartbeat) time.Duration {
	if w.Name == "" || w.Incarnation != h.Worker.Incarnation {
		return 0
	}
	return s.renewLease(h)
}

// sameRegistration reports whether two registrations agree in all that a worker reports
// about itself.
func sameRegistration(a, b notch.Worker) bool {
	return a.Pool == b.Pool && a.Domain == b.Domain && a.Rack == b.Rack && a.Size == b.Size &&
		a.Guard == b.Guard && a.Services == b.Services
}

// renewLease records a heartbeat and returns the length of the new lease, or 0 if the
// release of the worker's tasks has been proposed.
func (s *stepper) renewLease(h notch.Heartbeat) time.Duration {
	lease := s.grantableLease()
	key := workerIncarnation{h.Worker.Name, h.Worker.Incarnation}
	old, known := s.sessions.Get(key)
	if !known || old.lastHeardAt == 0 {
		s.planNeeded = true
	}
	if old.releaseProposedAt != 0 {
		// Its tasks are being released and may start elsewhere.
		return 0
	}
	s.sessions = s.sessions.Set(key, workerSession{
		leaseUntil: max(old.leaseUntil, s.now.Add(s.withDrift(lease))), lastHeardAt: s.now, usage: h.Usage,
	})
	return lease
}

func stopOrders(running []notch.TaskEpoch) []notch.Order {
	var out []notch.Order
	for _, te := range running {
		out = append(out, notch.Order{Kind: notch.OrderStop, Task: te.Task, Epoch: te.Epoch})
	}
	return out
}

// handleReports proposes the reports that change a task and settles those whose attempt
// has already ended.
func (s *stepper) handleReports(h notch.Heartbeat, reply *notch.HeartbeatReply) {
	key := workerIncarnation{h.Worker.Name, h.Worker.Incarnation}
	var newReports []notch.TaskReport
	var unknown []notch.TaskEpoch
	for _, r := range h.Reports {
		t, ok := s.currentAttempt(h.Worker.Name, h.Worker.Incarnation, r)
		switch {
		case ok && changesTask(t, r):
			newReports = append(newReports, r)
		case ok: // repeated until the task's next phase
		case s.isStale(key, r):
			reply.Settled = append(reply.Settled, s.settlement(h.Worker.Name, r))
		default:
			unknown = append(unknown, attemptOf(r))
		}
	}
	s.setUnknownReports(key, unknown)
	if len(newReports) > 0 {
		s.propose(notch.ReportTasks{Worker: h.Worker.Name, Incarnation: h.Worker.Incarnation, Reports: newReports})
	}
}

// settlement reports whether the attempt of a report is the one that finished its task.
func (s *stepper) settlement(worker string, r notch.TaskReport) notch.Settlement {
	t, ok := s.tasks.Get(r.Task)
	counted := ok && t.Phase == notch.Finished && t.Epoch == r.Epoch && t.Worker == worker
	return notch.Settlement{Task: r.Task, Epoch: r.Epoch, Counted: counted}
}

// changesTask reports whether a report about the current attempt would change the task.
// Workers repeat their reports until they are settled.
func changesTask(t notch.Task, r notch.TaskReport) bool {
	switch r.Kind {
	case notch.ReportRunning:
		return t.Phase == notch.Placed
	case notch.ReportCheckpoint:
		return t.Checkpoint != r.Checkpoint
	}
	return true
}

// orders returns the orders that turn the attempts which the worker runs into those
// that are placed on it.
func (s *stepper) orders(h notch.Heartbeat) []notch.Order {
	ids, _ := s.onWorker.Get(h.Worker.Name)
	var stops, orders []notch.Order
	expected := map[notch.TaskEpoch]bool{}
	for _, id := range ids {
		t, _ := s.tasks.Get(id)
		if t.Incarnation != h.Worker.Incarnation {
			continue
		}
		te := notch.TaskEpoch{Task: t.ID, Epoch: t.Epoch}
		expected[te] = true
		if o, ok := s.orderFor(t, slices.Contains(h.Running, te)); ok {
			orders = append(orders, o)
		}
	}
	for _, te := range h.Running {
		if !expected[te] {
			stops = append(stops, notch.Order{Kind: notch.OrderStop, Task: te.Task, Epoch: te.Epoch})
		}
	}
	// Attempts that aren't expected stop first, so that their resources are free before
	// another attempt uses them.
	return append(stops, orders...)
}

// orderFor returns the order for an attempt that is placed on the worker, if it needs
// one.
func (s *stepper) orderFor(t notch.Task, running bool) (notch.Order, bool) {
	rec, _ := s.jobs.Get(t.Job)
	o := notch.Order{Task: t.ID, Epoch: t.Epoch}
	switch {
	case t.Phase == notch.Stopping:
		// This doesn't depend on running: a worker also confirms the stop of an attempt
		// that never started.
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

// expireLeases proposes the release of the tasks of incarnations whose leases have
// certainly expired, and forgets the expired incarnations without tasks.
func (s *stepper) expireLeases() {
	if !s.hasLeaderLease() {
		return
	}
	for it := s.sessions.Iterator(); !it.Done(); {
		key, session, _ := it.Next()
		if s.now.Before(session.leaseUntil) {
			continue
		}
		if !s.holdsTasks(key) {
			s.sessions = s.sessions.Delete(key)
			continue
		}
		if session.releaseProposedAt != 0 && s.now.Sub(session.releaseProposedAt) < s.timing.Repropose {
			continue
		}
		session.releaseProposedAt = s.now
		s.sessions = s.sessions.Set(key, session)
		s.count("worker-leases-expired", 1)
		s.propose(notch.ReleaseWorker{Worker: key.worker, Incarnation: key.incarnation})
	}
}

// ensureSession adds a session for an incarnation that was given tasks but has no session,
// because its lease expired before the placement was committed. Without a session,
// expireLeases would never release the tasks.
func (s *stepper) ensureSession(key workerIncarnation) {
	if _, ok := s.sessions.Get(key); !ok && s.hasLeaderLease() {
		s.sessions = s.sessions.Set(key, workerSession{leaseUntil: s.now.Add(s.withDrift(s.timing.Lease))})
	}
}

func (s *stepper) holdsTasks(key workerIncarnation) bool {
	ids, _ := s.onWorker.Get(key.worker)
	return slices.ContainsFunc(ids, func(id notch.TaskID) bool {
		t, _ := s.tasks.Get(id)
		return t.Incarnation == key.incarnation
	})
}
