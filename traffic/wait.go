package traffic

import (
	"cmp"
	"slices"
	"strings"
	"time"

	notch "tamaracknotch"
)

// queueKey orders the waiting requests of a pool.
type queueKey struct {
	rank int64
	id   uint64
}

type queueKeys struct{}

// Compare implements immutable.Comparer.
func (queueKeys) Compare(a, b queueKey) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.id, b.id))
}

// enqueue lets q wait in pool i. A request that was sent before isn't turned
// away by the limits that new ones meet.
func (s *stepper) enqueue(i int, q request, limited bool) {
	pool := s.pools[i]
	waiting := notch.Waiting{
		Class: q.Route.Class, Arrived: q.arrived, Deadline: q.Deadline, Expected: pool.expected(q.Kind),
	}
	q.key = queueKey{rank: s.policy.Order.Rank(waiting), id: q.ID}
	if limited {
		ok, reason := s.policy.Admitter.Admit(notch.QueueLoad{
			Length: pool.queue.Len(), Ahead: pool.ahead(q.key), Limit: limitOf(q.Route),
			Slots: pool.capacity, Service: pool.service(), Deadline: q.Deadline.Sub(s.now),
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

// defaultMaxQueue applies to a route that sets no limit.
const defaultMaxQueue = 1000

func limitOf(r notch.Route) int {
	if r.MaxQueue > 0 {
		return r.MaxQueue
	}
	return defaultMaxQueue
}

// retryAfter estimates when the queue will have been served.
func (s *stepper) retryAfter(p pool) time.Duration {
	wait := time.Duration(p.queue.Len()) * p.service() / time.Duration(max(1, p.capacity))
	return max(time.Second, min(wait, 30*time.Second))
}

// serve sends waiting requests of pool i while there are free slots.
func (s *stepper) serve(i int) {
	for s.leased() {
		pool := s.pools[i]
		it := pool.queue.Iterator()
		key, _, ok := it.Next()
		if !ok || !pool.hasRoom(s.now) {
			return
		}
		held, known := s.requests.Get(key.id)
		if !known {
			s.pools = s.pools.with(i, pool.withoutWaiting(key))
			continue
		}
		q := *held
		if s.hopeless(pool, q) {
			s.pools = s.pools.with(i, pool.withoutWaiting(key))
			s.refuse(q, notch.RefusedDeadline, s.retryAfter(pool))
			continue
		}
		s.pools = s.pools.with(i, pool.withoutWaiting(key))
		if s.dispatch(i, q) {
			continue
		}
		// Where every backend server with room was tried, one is tried again.
		q.tried = nil
		if !s.dispatch(i, q) {
			s.pools = s.pools.with(i, pool)
			return
		}
	}
}

// hopeless reports whether q can't be answered within its deadline any more.
func (s *stepper) hopeless(p pool, q request) bool {
	return q.Deadline.Sub(s.now) <= p.expected(q.Kind)
}

// tick refuses what has waited too long and tells the control loop the load.
func (s *stepper) tick() {
	for i := range s.pools {
		s.expire(i)
		s.serve(i)
	}
	s.tell(false)
}

func (s *stepper) expire(i int) {
	for it := s.pools[i].queue.Iterator(); !it.Done(); {
		key, _, _ := it.Next()
		q, known := s.requests.Get(key.id)
		if known && s.leased() && !s.hopeless(s.pools[i], *q) {
			continue
		}
		s.pools = s.pools.with(i, s.pools[i].withoutWaiting(key))
		if !known {
			continue
		}
		if !s.leased() {
			s.refuse(*q, notch.RefusedNoLease, time.Second)
		} else {
			s.refuse(*q, notch.RefusedDeadline, s.retryAfter(s.pools[i]))
		}
	}
}

// granted obeys a new grant and says so.
func (s *stepper) granted(b notch.SlotsGranted) {
	s.slots = b
	s.caps = make(map[notch.ServerID]int, len(b.Slots))
	for _, h := range b.Slots {
		s.caps[h.Server] = h.Slots
	}
	for i := range s.pools {
		s.pools = s.pools.with(i, s.pools[i].withCaps(s.caps))
		s.serve(i)
	}
	s.tell(true)
}

// tell reports the load, if it changed or if always is set.
func (s *stepper) tell(always bool) {
	load := notch.LaneLoad{Lane: s.lane, Seq: s.slots.Seq}
	for _, p := range s.pools {
		load.Demand = append(load.Demand, notch.Demand{Pool: p.config.Name, Slots: p.inFlight + p.queue.Len()})
		for it := p.servers.Iterator(); !it.Done(); {
			if _, b := it.Next(); b.inFlight > 0 {
				load.InUse = append(load.InUse, notch.Hold{Server: b.id, Slots: b.inFlight})
			}
		}
	}
	load.InUse = append(load.InUse, s.departed()...)
	same := load.Lane == s.told.Lane && load.Seq == s.told.Seq &&
		slices.Equal(load.Demand, s.told.Demand) && slices.Equal(load.InUse, s.told.InUse)
	if same && !always {
		return
	}
	s.told = load
	s.out = append(s.out, notch.ToControl{Body: load})
}

// departed counts the requests in flight at backend servers that are no longer
// announced.
func (s *stepper) departed() []notch.Hold {
	var out []notch.Hold
	for _, p := range s.pools {
		for it := p.gone.Iterator(); !it.Done(); {
			id, n, _ := it.Next()
			out = append(out, notch.Hold{Server: id, Slots: n})
		}
	}
	return out
}

func kebab(r notch.RefusalReason) string {
	return strings.ReplaceAll(strings.ReplaceAll(string(r), " ", "-"), "'", "")
}
