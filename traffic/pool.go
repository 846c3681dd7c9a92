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
	config   notch.Pool
	servers  *immutable.List[*server] // what is pointed to is never modified
	index    map[notch.ServerID]int   // positions in servers; replaced as a whole
	gone     *immutable.SortedMap[notch.ServerID, int]
	queue    *immutable.SortedMap[queueKey, struct{}]
	kinds    *immutable.Map[string, kindStats]
	mean     time.Duration // over all kinds
	tokens   float64       // of the retry budget
	inFlight int
	capacity int // slots granted
}

func newPool(c notch.Pool) pool {
	return pool{
		config:  c,
		servers: immutable.NewList[*server](),
		gone:    immutable.NewSortedMap[notch.ServerID, int](nil),
		queue:   immutable.NewSortedMap[queueKey, struct{}](queueKeys{}),
		kinds:   immutable.NewMap[string, kindStats](nil),
		tokens:  retry.MaxTokens / 2,
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

func (p pool) withTokens(delta float64) pool {
	p.tokens = min(p.tokens+delta, retry.MaxTokens)
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

// smoothing is the weight of a new sample in the means.
const smoothing = 0.1

// withSample learns from the latency of a whole answer.
func (p pool) withSample(kind string, d time.Duration) pool {
	p.mean = smooth(p.mean, d)
	p.kinds = p.kinds.Set(kind, p.kind(kind).withSample(d))
	return p
}

// kindStats is what is known of the latency of one kind of request.
type kindStats struct {
	mean, tail time.Duration
	samples    int
}

func (k kindStats) withSample(d time.Duration) kindStats {
	return kindStats{mean: smooth(k.mean, d), tail: followTail(k.tail, d), samples: k.samples + 1}
}

func (p pool) kind(name string) kindStats {
	k, _ := p.kinds.Get(name)
	return k
}

func smooth(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(smoothing*float64(sample-mean))
}

func (p pool) expected(kind string) time.Duration { return p.kind(kind).mean }

func (p pool) service() time.Duration { return p.mean }

// ahead estimates how many waiting requests go before key without a walk
// through the queue: none, all or half of them.
func (p pool) ahead(key queueKey) int {
	n := p.queue.Len()
	if n == 0 {
		return 0
	}
	it := p.queue.Iterator()
	if first, _, _ := it.Next(); (queueKeys{}).Compare(key, first) < 0 {
		return 0
	}
	it.Last()
	if last, _, _ := it.Prev(); (queueKeys{}).Compare(key, last) > 0 {
		return n
	}
	return n / 2
}

func (p pool) hasRoom(now notch.Time) bool {
	for it := p.servers.Iterator(); !it.Done(); {
		if _, s := it.Next(); s.available(now) {
			return true
		}
	}
	return false
}

// maxEjected is the largest share of a pool that may be ejected at once.
const maxEjected = 0.5

// mayEject reports whether one more backend server may be taken out.
func (p pool) mayEject(now notch.Time) bool {
	out := 1
	for it := p.servers.Iterator(); !it.Done(); {
		if _, s := it.Next(); now.Before(s.ejectedUntil) {
			out++
		}
	}
	return float64(out) <= maxEjected*float64(p.servers.Len())
}

func (p pool) withCaps(caps map[notch.ServerID]int) pool {
	b := immutable.NewListBuilder[*server]()
	p.capacity = 0
	for it := p.servers.Iterator(); !it.Done(); {
		_, old := it.Next()
		s := *old
		s.slots = caps[s.id]
		p.capacity += s.slots
		b.Append(&s)
	}
	p.servers = b.List()
	return p
}

// withServers replaces the backend servers, keeping what is known of those that
// stay. What is in flight at the others is remembered in gone.
func (p pool) withServers(bs []notch.BackendServer, caps map[notch.ServerID]int, now notch.Time) pool {
	old := p.servers
	oldIndex := p.index
	list := immutable.NewListBuilder[*server]()
	p.index = make(map[notch.ServerID]int, len(bs))
	for _, b := range bs {
		s := newServer(b, now)
		if k, ok := oldIndex[s.id]; ok {
			s = *old.Get(k)
			s.server = b
		} else if n, ok := p.gone.Get(s.id); ok {
			s.inFlight = n
			p.gone = p.gone.Delete(s.id)
		}
		p.index[s.id] = list.Len()
		list.Append(&s)
	}
	for it := old.Iterator(); !it.Done(); {
		_, s := it.Next()
		if _, stays := p.index[s.id]; !stays && s.inFlight > 0 {
			p.gone = p.gone.Set(s.id, s.inFlight)
		}
	}
	p.servers = list.List()
	return p.withCaps(caps)
}

// withoutGone notes the end of an attempt at a backend server that has left.
func (p pool) withoutGone(id notch.ServerID) pool {
	n, ok := p.gone.Get(id)
	if !ok {
		return p
	}
	if n <= 1 {
		p.gone = p.gone.Delete(id)
	} else {
		p.gone = p.gone.Set(id, n-1)
	}
	return p
}

// pools is the lane's pools in the order of the table. It is never modified.
type pools []pool

func (ps pools) find(name string) int {
	return slices.IndexFunc(ps, func(p pool) bool { return p.config.Name == name })
}

func (ps pools) with(i int, p pool) pools {
	out := slices.Clone(ps)
	out[i] = p
	return out
}

// rebuild matches the pools to the tables and the announced backend servers.
func (s *stepper) rebuild() {
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
		next = append(next, p.withServers(serversOf(s.servers, c), s.caps, s.now))
	}
	s.dropPools(next)
	s.pools = next
	for i := range s.pools {
		s.serve(i)
	}
}

// dropPools refuses what waits in pools that the tables no longer hold.
func (s *stepper) dropPools(next pools) {
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
