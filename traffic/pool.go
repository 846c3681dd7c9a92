package traffic

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
	"tamaracknotch/retry"
)

// pool is a lane's view of one pool. It is immutable.
type pool struct {
	config          notch.Pool
	servers         *immutable.List[*server]                  // the servers are never modified
	serverIndex     map[notch.ServerID]int                    // positions in servers; the map is never modified
	removedInFlight *immutable.SortedMap[notch.ServerID, int] // requests in flight at servers that are no longer announced
	queue           *immutable.SortedMap[queueKey, struct{}]
	kinds           *immutable.Map[string, kindStats]
	mean            time.Duration // latency over all kinds
	retryTokens     float64       // left in the retry budget
	inFlight        int
	totalSlots      int // granted to this entry
}

func newPool(c notch.Pool) pool {
	return pool{
		config:          c,
		servers:         immutable.NewList[*server](),
		removedInFlight: immutable.NewSortedMap[notch.ServerID, int](nil),
		queue:           immutable.NewSortedMap[queueKey, struct{}](queueKeyComparer{}),
		kinds:           immutable.NewMap[string, kindStats](nil),
		retryTokens:     retry.MaxTokens / 2,
	}
}

func (p pool) withServer(i int, s server) pool {
	p.servers = p.servers.Set(i, &s)
	return p
}

func (p pool) withInFlight(delta int) pool {
	p.inFlight += delta
	return p
}

func (p pool) withRetryTokens(delta float64) pool {
	p.retryTokens = min(p.retryTokens+delta, retry.MaxTokens)
	return p
}

func (p pool) withWaiting(k queueKey) pool {
	p.queue = p.queue.Set(k, struct{}{})
	return p
}

func (p pool) withoutWaiting(k queueKey) pool {
	p.queue = p.queue.Delete(k)
	return p
}

// ewmaWeight is the weight of a new sample in the moving averages.
const ewmaWeight = 0.1

// withSample returns p after a whole answer of latency d to a request of the kind.
func (p pool) withSample(kind string, d time.Duration) pool {
	p.mean = ewma(p.mean, d)
	p.kinds = p.kinds.Set(kind, p.kind(kind).withSample(d))
	return p
}

// kindStats holds the latency statistics of one kind of request.
type kindStats struct {
	mean, tail time.Duration
	samples    int
}

func (k kindStats) withSample(d time.Duration) kindStats {
	return kindStats{mean: ewma(k.mean, d), tail: updateTail(k.tail, d), samples: k.samples + 1}
}

func (p pool) kind(name string) kindStats {
	k, _ := p.kinds.Get(name)
	return k
}

// ewma returns the exponentially weighted moving average after a sample.
func ewma(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(ewmaWeight*float64(sample-mean))
}

func (p pool) expectedLatency(kind string) time.Duration { return p.kind(kind).mean }

func (p pool) meanLatency() time.Duration { return p.mean }

// estimateAhead estimates how many waiting requests are ahead of key. To avoid
// walking the queue it returns none, all or half of them.
func (p pool) estimateAhead(key queueKey) int {
	n := p.queue.Len()
	if n == 0 {
		return 0
	}
	it := p.queue.Iterator()
	if first, _, _ := it.Next(); (queueKeyComparer{}).Compare(key, first) < 0 {
		return 0
	}
	it.Last()
	if last, _, _ := it.Prev(); (queueKeyComparer{}).Compare(key, last) > 0 {
		return n
	}
	return n / 2
}

func (p pool) hasFreeSlot(now notch.Time) bool {
	for it := p.servers.Iterator(); !it.Done(); {
		if _, s := it.Next(); s.available(now) {
			return true
		}
	}
	return false
}

// maxEjectedFraction is the largest fraction of a pool's backend servers that may be
// ejected at the same time.
const maxEjectedFraction = 0.5

// mayEject reports whether one more backend server may be ejected.
func (p pool) mayEject(now notch.Time) bool {
	ejected := 1
	for it := p.servers.Iterator(); !it.Done(); {
		if _, s := it.Next(); now.Before(s.ejectedUntil) {
			ejected++
		}
	}
	return float64(ejected) <= maxEjectedFraction*float64(p.servers.Len())
}

func (p pool) withGrantedSlots(granted map[notch.ServerID]int) pool {
	b := immutable.NewListBuilder[*server]()
	p.totalSlots = 0
	for it := p.servers.Iterator(); !it.Done(); {
		_, old := it.Next()
		s := *old
		s.slots = granted[s.id]
		p.totalSlots += s.slots
		b.Append(&s)
	}
	p.servers = b.List()
	return p
}

// withServers replaces the backend servers and keeps the state of those that stay.
// Requests in flight at the others are counted in removedInFlight.
func (p pool) withServers(bs []notch.BackendServer, granted map[notch.ServerID]int, now notch.Time) pool {
	old := p.servers
	oldIndex := p.serverIndex
	list := immutable.NewListBuilder[*server]()
	p.serverIndex = make(map[notch.ServerID]int, len(bs))
	for _, b := range bs {
		s := newServer(b, now)
		if k, ok := oldIndex[s.id]; ok {
			s = *old.Get(k)
			s.backend = b
		} else if n, ok := p.removedInFlight.Get(s.id); ok {
			s.inFlight = n
			p.removedInFlight = p.removedInFlight.Delete(s.id)
		}
		p.serverIndex[s.id] = list.Len()
		list.Append(&s)
	}
	for it := old.Iterator(); !it.Done(); {
		_, s := it.Next()
		if _, stays := p.serverIndex[s.id]; !stays && s.inFlight > 0 {
			p.removedInFlight = p.removedInFlight.Set(s.id, s.inFlight)
		}
	}
	p.servers = list.List()
	return p.withGrantedSlots(granted)
}

// withRemovedAttemptEnded returns p after the end of an attempt at a backend server
// that is no longer announced.
func (p pool) withRemovedAttemptEnded(id notch.ServerID) pool {
	n, ok := p.removedInFlight.Get(id)
	if !ok {
		return p
	}
	if n <= 1 {
		p.removedInFlight = p.removedInFlight.Delete(id)
	} else {
		p.removedInFlight = p.removedInFlight.Set(id, n-1)
	}
	return p
}

// pools holds the lane's pools in the order of the table. It is never modified.
type pools []pool

func (ps pools) find(name string) int {
	return slices.IndexFunc(ps, func(p pool) bool { return p.config.Name == name })
}

func (ps pools) with(i int, p pool) pools {
	out := slices.Clone(ps)
	out[i] = p
	return out
}

// rebuildPools updates the pools to the tables and the announced backend servers.
func (s *stepper) rebuildPools() {
	var next pools
	for _, c := range s.tables.Pools {
		if c.Kind != notch.ServicePool {
			continue
		}
		p := newPool(c)
		if i := s.pools.find(c.Name); i >= 0 {
			p = s.pools[i]
			p.config = c
		}
		next = append(next, p.withServers(serversOf(s.servers, c), s.grantedSlots, s.now))
	}
	s.refuseRemovedPools(next)
	s.pools = next
	for i := range s.pools {
		s.dispatchWaiting(i)
	}
}

// refuseRemovedPools refuses the requests that wait in pools that are no longer in
// the tables.
func (s *stepper) refuseRemovedPools(next pools) {
	for _, p := range s.pools {
		if next.find(p.config.Name) >= 0 {
			continue
		}
		for it := p.queue.Iterator(); !it.Done(); {
			key, _, _ := it.Next()
			if q, ok := s.requests.Get(key.id); ok {
				s.refuse(*q, notch.RefusedNoServer, 0)
			}
		}
	}
}

func serversOf(all []notch.BackendServer, c notch.Pool) []notch.BackendServer {
	var out []notch.BackendServer
	for _, b := range all {
		if b.Pool == c.Name {
			out = append(out, b.WithPool(c))
		}
	}
	return out
}
