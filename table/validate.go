package table

import (
	"fmt"
	"slices"
	"strings"
	"time"

	notch "tamaracknotch"
)

// The limits of a table.
const (
	MaxRows     = 5000             // of either table
	MaxName     = 128              // bytes
	MaxTimeout  = 10 * time.Minute // of a route
	MaxSlots    = 100_000          // of slots and of connections of one backend server
	MaxReplicas = 7                // hosts of the pool notch.ControlPool
)

// checker collects the errors of one edit.
type checker struct {
	errs     []notch.FieldError
	anyNames bool // names come from another system and may contain any character
}

// errorf adds an error for a field.
func (c *checker) errorf(field, format string, args ...any) {
	c.errs = append(c.errs, notch.FieldError{Field: field, Reason: fmt.Sprintf(format, args...)})
}

// Validate returns the errors of the tables t after an edit of the named table. The
// edit is valid if there are none.
func Validate(edited notch.TableName, t notch.Tables) []notch.FieldError {
	var c checker
	switch edited {
	case notch.RoutesTable:
		c.routes(t.Routes)
	case notch.PoolsTable:
		c.pools(t.Pools)
	default:
		c.errorf("table", "must be %q or %q", notch.RoutesTable, notch.PoolsTable)
	}
	c.references(edited, t)
	return c.errs
}

// ValidateDocument returns the errors of tables that were set from a document.
func ValidateDocument(t notch.Tables) []notch.FieldError {
	c := checker{anyNames: true}
	c.routes(t.Routes)
	c.pools(t.Pools)
	c.references(notch.RoutesTable, t)
	return c.errs
}

// routes checks the table of routes by itself.
func (c *checker) routes(routes []notch.Route) {
	if len(routes) > MaxRows {
		c.errorf("routes", "has %d rows, at most %d are allowed", len(routes), MaxRows)
	}
	names, paths := map[string]bool{}, map[string]bool{}
	for i, r := range routes {
		prefix := fmt.Sprintf("routes[%d]", i)
		c.name(prefix+".name", r.Name)
		c.unique(prefix+".name", r.Name, names)
		c.unique(prefix+".path", r.Host+r.Path, paths)
		if !strings.HasPrefix(r.Path, "/") {
			c.errorf(prefix+".path", "must begin with a slash")
		}
		if r.Host == "" && (strings.HasPrefix(r.Path, "/v1/") || r.Path == "/v1") {
			c.errorf(prefix+".path", "/v1 is reserved for the system")
		}
		if r.Timeout <= 0 || r.Timeout > MaxTimeout {
			c.errorf(prefix+".timeout", "is %v, must be above 0s and at most %v", r.Timeout, MaxTimeout)
		}
		if r.Priority < 0 || r.Attempts < 0 || r.Stretch < 0 || r.Target < 0 {
			c.errorf(prefix, "priority, attempts, stretch and target must not be negative")
		}
		if r.MaxQueue < 0 {
			c.errorf(prefix+".max-queue", "is %d, must not be negative", r.MaxQueue)
		}
	}
}

// pools checks the table of pools by itself.
func (c *checker) pools(pools []notch.Pool) {
	if len(pools) > MaxRows {
		c.errorf("pools", "has %d rows, at most %d are allowed", len(pools), MaxRows)
	}
	names := map[string]bool{}
	for i, p := range pools {
		prefix := fmt.Sprintf("pools[%d]", i)
		c.name(prefix+".name", p.Name)
		c.unique(prefix+".name", p.Name, names)
		c.limit(prefix+".slots", p.Slots)
		c.limit(prefix+".connections", p.Connections)
		if p.Connections > 0 && p.Connections < p.Slots {
			c.errorf(prefix+".connections", "is %d, must be at least slots (%d)", p.Connections, p.Slots)
		}
		c.kind(prefix, p)
		c.teams(prefix, p)
		hosts := map[string]bool{}
		for j, h := range p.Hosts {
			c.name(fmt.Sprintf("%s.hosts[%d]", prefix, j), h)
			c.unique(fmt.Sprintf("%s.hosts[%d]", prefix, j), h, hosts)
		}
	}
	if !names[notch.ControlPool] {
		c.errorf("pools", "must contain the pool %q", notch.ControlPool)
	}
}

// kind checks the kind of a pool. Prefix is the path of the pool's fields.
func (c *checker) kind(prefix string, p notch.Pool) {
	kinds := []notch.PoolKind{notch.ServicePool, notch.WorkerPool, notch.ReplicaPool}
	if !slices.Contains(kinds, p.Kind) {
		c.errorf(prefix+".kind", "is %q, must be one of %q", p.Kind, kinds)
	}
	if (p.Name == notch.ControlPool) != (p.Kind == notch.ReplicaPool) {
		c.errorf(prefix+".kind", "must be %q for the pool %q and for no other pool", notch.ReplicaPool, notch.ControlPool)
	}
	if p.Kind == notch.ReplicaPool && (len(p.Hosts) < 1 || len(p.Hosts) > MaxReplicas) {
		c.errorf(prefix+".hosts", "has %d hosts, must have 1 to %d", len(p.Hosts), MaxReplicas)
	}
}

// teams checks the teams of a pool. Prefix is the path of the pool's fields.
func (c *checker) teams(prefix string, p notch.Pool) {
	names := map[string]bool{}
	for i, t := range p.Teams {
		field := fmt.Sprintf("%s.teams[%d]", prefix, i)
		c.name(field+".name", t.Name)
		c.unique(field+".name", t.Name, names)
		if t.Weight < 1 || t.Weight > 1000 {
			c.errorf(field+".weight", "is %d, must be 1 to 1000", t.Weight)
		}
		if !t.Quota.Valid() {
			c.errorf(field+".quota", "must not be negative")
		}
	}
	if len(p.Teams) > 0 && p.Kind != notch.WorkerPool {
		c.errorf(prefix+".teams", "are allowed in pools of kind %q only", notch.WorkerPool)
	}
}

// references checks that every route names a pool that may serve routes.
func (c *checker) references(edited notch.TableName, t notch.Tables) {
	for i, r := range t.Routes {
		field := fmt.Sprintf("routes[%d].pool", i)
		p, ok := t.Pool(r.Pool)
		switch {
		case !ok && edited == notch.RoutesTable:
			c.errorf(field, "there is no pool %q", r.Pool)
		case !ok:
			c.errorf("pools", "route %q still uses the pool %q", r.Name, r.Pool)
		case p.Kind == notch.ReplicaPool:
			c.errorf(field, "pool %q is of kind %q, which serves no routes", r.Pool, p.Kind)
		}
	}
}

// name checks the characters and the length of a name.
func (c *checker) name(field, name string) {
	if name == "" || len(name) > MaxName {
		c.errorf(field, "has %d bytes, must have 1 to %d", len(name), MaxName)
		return
	}
	if c.anyNames {
		return
	}
	for _, r := range name {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyz0123456789-.", r) {
			c.errorf(field, "%q may contain lower-case letters, digits, hyphens and dots only", name)
			return
		}
	}
}

// unique checks that a value isn't in seen, and adds it there.
func (c *checker) unique(field, value string, seen map[string]bool) {
	if seen[value] {
		c.errorf(field, "%q is listed twice", value)
	}
	seen[value] = true
}

// limit checks a number of slots or connections.
func (c *checker) limit(field string, n int) {
	if n < 0 || n > MaxSlots {
		c.errorf(field, "is %d, must be 0 to %d", n, MaxSlots)
	}
}

// ValidateRoutes returns the errors of the routes. It doesn't check that their pools exist.
func ValidateRoutes(routes []notch.Route) []notch.FieldError {
	var c checker
	c.routes(routes)
	return c.errs
}

// ValidatePools returns the errors of the pools. It doesn't check the routes that use them.
func ValidatePools(pools []notch.Pool) []notch.FieldError {
	var c checker
	c.pools(pools)
	return c.errs
}
