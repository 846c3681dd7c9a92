package notch

import (
	"slices"
	"time"
)

// Class orders work by how soon it must start.
type Class uint8

// The classes, most pressing first.
const (
	Urgent Class = iota
	Normal
	BestEffort
)

var classNames = [...]string{"urgent", "normal", "best-effort"}

// String returns the kebab-case name of the class.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "unknown"
}

// ParseClass returns the class with the given kebab-case name.
func ParseClass(name string) (Class, bool) {
	i := slices.Index(classNames[:], name)
	return Class(max(i, 0)), i >= 0
}

// TableName names one of the two tables that operators edit.
type TableName string

// The two tables.
const (
	RoutesTable TableName = "routes"
	PoolsTable  TableName = "pools"
)

// ControlPool is the reserved pool whose hosts are the control replicas.
const ControlPool = "control"

// Route says where the requests below a path prefix go.
type Route struct {
	Name       string
	Host       string        // of the request; empty: any
	Path       string        // prefix, matched at path separators
	Pool       string        // name of the pool that serves it
	Timeout    time.Duration // deadline of a request, from its arrival at the entry
	Class      Class
	Idempotent bool // every method on this route may be repeated
	MaxQueue   int  // requests that may wait at one entry

	// Of a route to a pool of workers, which is a queue of jobs made of stages:
	Priority int           // 0 comes first
	Attempts int           // failed runs after which a task fails for good; 0: one
	Stretch  float64       // a job's objective is this many times its longest chain
	Target   time.Duration // added to the objective
}

// CallerLimits bound what callers may send. A zero isn't a limit.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Team is a share of a worker pool's capacity.
type Team struct {
	Name   string
	Weight int       // relative share, at least 1
	Quota  Resources // upper bound of the team's reservations; zero components are unlimited
}

// PoolKind says what the hosts of a pool do.
type PoolKind string

// The kinds of pool.
const (
	ServicePool PoolKind = "service" // backend servers that answer requests
	WorkerPool  PoolKind = "workers" // hosts that run batch tasks
	ReplicaPool PoolKind = "control" // hosts that hold the control state
)

// Pool says which hosts belong together and how far each may be loaded.
type Pool struct {
	Name        string
	Kind        PoolKind
	Hosts       []string // empty: every host that announces itself for the pool
	Slots       int      // requests in flight at one backend server; 0: as announced
	Connections int      // connections open to one backend server; 0: as announced
	Leaving     []string // hosts or backend servers that take no new work
	Teams       []Team
	Unguarded   bool // agents of a worker pool start what doesn't fit
	Standby     bool // hosts of the pool are off
}

// Admits reports whether host may serve the pool.
func (p Pool) Admits(host string) bool {
	return len(p.Hosts) == 0 || slices.Contains(p.Hosts, host)
}

// IsLeaving reports whether a backend server or its host is marked as leaving.
func (p Pool) IsLeaving(server, host string) bool {
	return slices.Contains(p.Leaving, server) || slices.Contains(p.Leaving, host)
}

// Team returns the named team.
func (p Pool) Team(name string) (Team, bool) {
	i := slices.IndexFunc(p.Teams, func(t Team) bool { return t.Name == name })
	if i < 0 {
		return Team{}, false
	}
	return p.Teams[i], true
}

// Tables is one revision of both tables. Its slices are never modified.
type Tables struct {
	Revision      uint64 // grows with every accepted edit of either table
	RoutesVersion uint64
	PoolsVersion  uint64
	Routes        []Route
	Pools         []Pool

	// Of a document that sets both tables; see ReplaceTables:
	DocumentVersion uint64
	Document        string // on replicas only
	Limits          CallerLimits
}

// WithDocument returns t set from a document, one revision later. The versions of
// the tables grow with it.
func (t Tables) WithDocument(c ReplaceTables) Tables {
	control, _ := t.Pool(ControlPool)
	t.Routes, t.Pools = c.Routes, append([]Pool{control}, c.Pools...)
	t.DocumentVersion, t.Document, t.Limits = c.Version, c.Document, c.Limits
	t.RoutesVersion++
	t.PoolsVersion++
	t.Revision++
	return t
}

// WithoutDocument returns t as entries need it.
func (t Tables) WithoutDocument() Tables {
	t.Document = ""
	return t
}

// WithRoutes returns t with new routes, one version and revision later.
func (t Tables) WithRoutes(routes []Route) Tables {
	t.Routes = routes
	t.RoutesVersion++
	t.Revision++
	return t
}

// WithPools returns t with new pools, one version and revision later.
func (t Tables) WithPools(pools []Pool) Tables {
	t.Pools = pools
	t.PoolsVersion++
	t.Revision++
	return t
}

// Version returns the version of the named table.
func (t Tables) Version(name TableName) uint64 {
	if name == RoutesTable {
		return t.RoutesVersion
	}
	return t.PoolsVersion
}

// Pool returns the named pool.
func (t Tables) Pool(name string) (Pool, bool) {
	i := slices.IndexFunc(t.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return Pool{}, false
	}
	return t.Pools[i], true
}

// Route returns the named route.
func (t Tables) Route(name string) (Route, bool) {
	i := slices.IndexFunc(t.Routes, func(r Route) bool { return r.Name == name })
	if i < 0 {
		return Route{}, false
	}
	return t.Routes[i], true
}

// Match returns the route with the longest prefix of path among those for host.
func (t Tables) Match(host, path string) (Route, bool) {
	best, found := Route{}, false
	for _, r := range t.Routes {
		if r.Host != "" && r.Host != host {
			continue
		}
		if covers(r.Path, path) && (!found || len(r.Path) > len(best.Path)) {
			best, found = r, true
		}
	}
	return best, found
}

func covers(prefix, path string) bool {
	if len(path) < len(prefix) || path[:len(prefix)] != prefix {
		return false
	}
	return len(path) == len(prefix) || prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}

// FieldError names one field of a rejected edit and the reason.
type FieldError struct {
	Field  string // for example "routes[2].pool"
	Reason string
}
