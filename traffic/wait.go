package traffic

import (
	"cmp"
	"slices"
	"strings"
	"time"

	notch "tamaracknotch"
)

// queueKey orders the waiting requests of a pool; the lowest goes first.
type queueKey struct {
	rank int64
	id   uint64
}

// queueKeyComparer compares by rank and then by id.
type queueKeyComparer struct{}

// Compare implements immutable.Comparer.
func (queueKeyComparer) Compare(a, b queueKey) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.id, b.id))
}

// enqueue adds q to the queue of pool i. Admission is checked only if checkAdmission
// is set: a request that was sent before isn't refused by the limits for new ones.
func (s *stepper) enqueue(i int, q request, checkAdmission bool) {
	pool := s.pools[i]
	waiting := notch.QueuedRequest{
		Class: q.Route.Class, Arrived: q.arrived, Deadline: q.Deadline, Expected: pool.expectedLatency(q.Kind),
	}
	q.key = queueKey{rank: s.policy.Order.Rank(waiting), id: q.ID}
	if checkAdmission {
		ok, reason := s.policy.Admitter.Admit(notch.QueueLoad{
			Length: pool.queue.Len(), Ahead: pool.estimateAhead(q.key), Limit: maxQueueOf(q.Route),
			Slots: pool.totalSlots, MeanLatency: pool.meanLatency(), Deadline: q.Deadline.Sub(s.now),
		})
		if !ok {
			s.refuse(q, reason, s.retryAfter(pool))
			return
		}
	}
	q.waiting = true
	s.requests = s.requests.Set(q.ID, &q)
	s.pools = s.pools.with(i, pool.withWaiting(q.key))
}

// defaultMaxQueue is the number of requests that may wait for a route without a limit.
const defaultMaxQueue = 1000

func maxQueueOf(r notch.Route) int {
	if r.MaxQueue > 0 {
		return r.MaxQueue
	}
	return defaultMaxQueue
}

// retryAfter estimates how long the queue takes to drain, between 1 s and 30 s.
func (s *stepper) retryAfter(p pool) time.Duration {
	wait := time.Duration(p.queue.Len()) * p.meanLatency() / time.Duration(max(1, p.totalSlots))
	return max(time.Second, min(wait, 30*time.Second))
}

// dispatchWaiting dispatches waiting requests of pool i while slots are free.
func (s *stepper) dispatchWaiting(i int) {
	for s.hasLease() {
		pool := s.pools[i]
		it := pool.queue.Iterator()
		key, _, ok := it.Next()
		if !ok || !pool.hasFreeSlot(s.now) {
			return
		}
		stored, known := s.requests.Get(key.id)
		if !known {
			s.pools = s.pools.with(i, pool.withoutWaiting(key))
			continue
		}
		q := *stored
		if s.missesDeadline(pool, q) {
			s.pools = s.pools.with(i, pool.withoutWaiting(key))
			s.refuse(q, notch.RefusedDeadline, s.retryAfter(pool))
			continue
		}
		s.pools = s.pools.with(i, pool.withoutWaiting(key))
		if s.dispatch(i, q) {
			continue
		}
		// Every backend server with a free slot was tried before. Try one of them again.
		q.tried = nil
		if !s.dispatch(i, q) {
			s.pools = s.pools.with(i, pool)
			return
		}
	}
}

// missesDeadline reports whether q can no longer be answered before its deadline,
// by the expected latency of its kind.
func (s *stepper) missesDeadline(p pool, q request) bool {
	return q.Deadline.Sub(s.now) <= p.expectedLatency(q.Kind)
}

// tick refuses requests that have waited too long and reports the load to the control
// loop.
func (s *stepper) tick() {
	for i := range s.pools {
		s.refuseExpired(i)
		s.dispatchWaiting(i)
	}
	s.reportLoad(false)
}

// refuseExpired refuses the waiting requests that can't be answered in time, or all
// of them without a lease.
func (s *stepper) refuseExpired(i int) {
	for it := s.pools[i].queue.Iterator(); !it.Done(); {
		key, _, _ := it.Next()
		q, known := s.requests.Get(key.id)
		if known && s.hasLease() && !s.missesDeadline(s.pools[i], *q) {
			continue
		}
		s.pools = s.pools.with(i, s.pools[i].withoutWaiting(key))
		if !known {
			continue
		}
		if !s.hasLease() {
			s.refuse(*q, notch.RefusedNoLease, time.Second)
		} else {
			s.refuse(*q, notch.RefusedDeadline, s.retryAfter(s.pools[i]))
		}
	}
}

// onSlotsGranted applies a new grant and reports the load, which acknowledges it.
func (s *stepper) onSlotsGranted(b notch.SlotsGranted) {
	s.grant = b
	s.grantedSlots = make(map[notch.ServerID]int, len(b.Slots))
	for _, a := range b.Slots {
		s.grantedSlots[a.Server] = a.Slots
	}
	for i := range s.pools {
		s.pools = s.pools.with(i, s.pools[i].withGrantedSlots(s.grantedSlots))
		s.dispatchWaiting(i)
	}
	s.reportLoad(true)
}

// reportLoad reports the load to the control loop if it has changed or force is set.
func (s *stepper) reportLoad(force bool) {
	load := notch.LaneLoad{Lane: s.lane, Seq: s.grant.Seq}
	for _, p := range s.pools {
		load.Demand = append(load.Demand, notch.Demand{Pool: p.config.Name, Slots: p.inFlight + p.queue.Len()})
		for it := p.servers.Iterator(); !it.Done(); {
			if _, server := it.Next(); server.inFlight > 0 {
				load.InUse = append(load.InUse, notch.SlotAllocation{Server: server.id, Slots: server.inFlight})
			}
		}
	}
	load.InUse = append(load.InUse, s.removedInUse()...)
	same := load.Lane == s.reportedLoad.Lane && load.Seq == s.reportedLoad.Seq &&
		slices.Equal(load.Demand, s.reportedLoad.Demand) && slices.Equal(load.InUse, s.reportedLoad.InUse)
	if same && !force {
		return
	}
	s.reportedLoad = load
	s.out = append(s.out, notch.ToControl{Body: load})
}

// removedInUse counts the requests in flight at backend servers that are no longer
// announced.
func (s *stepper) removedInUse() []notch.SlotAllocation {
	var out []notch.SlotAllocation
	for _, p := range s.pools {
		for it := p.removedInFlight.Iterator(); !it.Done(); {
			id, n, _ := it.Next()
			out = append(out, notch.SlotAllocation{Server: id, Slots: n})
		}
	}
	return out
}

// kebab returns the reason as it appears in the name of a counter: with hyphens for
// spaces, and without apostrophes.
func kebab(r notch.RefusalReason) string {
	return strings.ReplaceAll(strings.ReplaceAll(string(r), " ", "-"), "'", "")
}
