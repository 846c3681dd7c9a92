package notch

import (
	"slices"
	"time"
)

// Class ranks requests and tasks by how soon they must start.
type Class uint8

// The classes, most urgent first.
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

// TableName is the name of one of the two tables that operators edit.
type TableName string

// The two tables.
const (
	RoutesTable TableName = "routes"
	PoolsTable  TableName = "pools"
)

// ControlPool is the name of the reserved pool whose hosts are the control
// replicas.
const ControlPool = "control"

// Route maps requests with a path prefix to a pool.
type Route struct {
	Name       string
	Host       string        // host name of the request; empty: any
	Path       string        // path prefix, matched at path separators
	Pool       string        // name of the pool that handles the requests
	Timeout    time.Duration // time that a request may take, from its arrival at the entry
	Class      Class
	Idempotent bool // every method on this route may be repeated
	MaxQueue   int  // limit of requests that wait at one entry

	// For a route to a pool of workers, which is a queue of workflows:
	Priority int           // 0 is the highest priority
	Attempts int           // number of failed runs after which a task fails for good; 0: one
	Stretch  float64       // objective of a workflow: this multiple of the run time of its longest chain, plus Target
	Target   time.Duration // constant part of that objective
}

// CallerLimits limits what callers may send. A zero field means no limit.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Team is a group of users that shares the capacity of a worker pool with other
// teams.
type Team struct {
	Name   string
	Weight int       // relative share, at least 1
	Quota  Resources // limit of the team's reservations; a zero component is unlimited
}

// PoolKind is the role of the hosts of a pool.
type PoolKind string

// The kinds of pool.
const (
	ServicePool PoolKind = "service" // backend servers that answer requests
	WorkerPool  PoolKind = "workers" // hosts that run batch tasks
	ReplicaPool PoolKind = "control" // hosts that run the control replicas
)

// Pool is a group of hosts with common limits.
type Pool struct {
	Name        string
	Kind        PoolKind
	Hosts       []string // host names; empty: every host that announces itself for the pool
	Slots       int      // limit of requests in flight at one backend server; 0: as announced
	Connections int      // limit of open connections to one backend server; 0: as announced
	Leaving     []string // names of hosts or backend servers that take no new work
	Teams       []Team
	Unguarded   bool // agents of the worker pool start runs even if they don't fit
	Standby     bool // the hosts of the pool are switched off and get no work
}

// Admits reports whether host belongs to the pool.
func (p Pool) Admits(host string) bool {
	return len(p.Hosts) == 0 || slices.Contains(p.Hosts, host)
}

// IsLeaving reports whether the backend server or its host is marked as leaving.
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

	// Set by a document that replaces both tables; see ReplaceTables:
	DocumentVersion uint64
	Document        string // kept on replicas only
	Limits          CallerLimits
}

// WithDocument returns t with both tables set from a document. The revision and
// the versions of both tables grow by one.
func (t Tables) WithDocument(c ReplaceTables) Tables {
	control, _ := t.Pool(ControlPool)
	t.Routes, t.Pools = c.Routes, append([]Pool{control}, c.Pools...)
	t.DocumentVersion, t.Document, t.Limits = c.Version, c.Document, c.Limits
	t.RoutesVersion++
	t.PoolsVersion++
	t.Revision++
	return t
}

// WithoutDocument returns t without the text of the document, which entries don't
// need.
func (t Tables) WithoutDocument() Tables {
	t.Document = ""
	return t
}

// WithRoutes returns t with new routes. The version of the routes and the
// revision grow by one.
func (t Tables) WithRoutes(routes []Route) Tables {
	t.Routes = routes
	t.RoutesVersion++
	t.Revision++
	return t
}

// WithPools returns t with new pools. The version of the pools and the revision
// grow by one.
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

// Match returns the route with the longest matching path prefix among the routes
// for host.
func (t Tables) Match(host, path string) (Route, bool) {
	best, found := Route{}, false
	for _, r := range t.Routes {
		if r.Host != "" && r.Host != host {
			continue
		}
		if matchesPrefix(r.Path, path) && (!found || len(r.Path) > len(best.Path)) {
			best, found = r, true
		}
	}
	return best, found
}

// matchesPrefix reports whether prefix ends at a path separator of path, or is the
// whole path.
func matchesPrefix(prefix, path string) bool {
	if len(path) < len(prefix) || path[:len(prefix)] != prefix {
		return false
	}
	return len(path) == len(prefix) || prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}

// FieldError names a field of an edit that was rejected, with the reason.
type FieldError struct {
	Field  string // for example "routes[2].pool"
	Reason string
}
