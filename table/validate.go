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
	MaxRows     = 5000
	MaxName     = 128              // bytes
	MaxTimeout  = 10 * time.Minute // of a route
	MaxSlots    = 100_000
	MaxReplicas = 7
)

// checker gathers the errors of one edit.
type checker struct {
	errs     []notch.FieldError
	anyNames bool // names come from another system and may hold any character
}

func (c *checker) fail(field, format string, args ...any) {
	c.errs = append(c.errs, notch.FieldError{Field: field, Reason: fmt.Sprintf(format, args...)})
}

// Validate returns what is wrong with t after an edit of the named table: an
// empty result means that the edit keeps every rule.
func Validate(edited notch.TableName, t notch.Tables) []notch.FieldError {
	var c checker
	switch edited {
	case notch.RoutesTable:
		c.routes(t.Routes)
	case notch.PoolsTable:
		c.pools(t.Pools)
	default:
		c.fail("table", "must be %q or %q", notch.RoutesTable, notch.PoolsTable)
	}
	c.joins(edited, t)
	return c.errs
}

// ValidateDocument returns what is wrong with tables that were set from a document.
func ValidateDocument(t notch.Tables) []notch.FieldError {
	c := checker{anyNames: true}
	c.routes(t.Routes)
	c.pools(t.Pools)
	c.joins(notch.RoutesTable, t)
	return c.errs
}

func (c *checker) routes(routes []notch.Route) {
	if len(routes) > MaxRows {
		c.fail("routes", "has %d rows, at most %d are allowed", len(routes), MaxRows)
	}
	names, paths := map[string]bool{}, map[string]bool{}
	for i, r := range routes {
		at := fmt.Sprintf("routes[%d]", i)
		c.name(at+".name", r.Name)
		c.unique(at+".name", r.Name, names)
		c.unique(at+".path", r.Host+r.Path, paths)
		if !strings.HasPrefix(r.Path, "/") {
			c.fail(at+".path", "must begin with a slash")
		}
		if r.Host == "" && (strings.HasPrefix(r.Path, "/v1/") || r.Path == "/v1") {
			c.fail(at+".path", "/v1 is reserved for the system")
		}
		if r.Timeout <= 0 || r.Timeout > MaxTimeout {
			c.fail(at+".timeout", "is %v, must be above 0s and at most %v", r.Timeout, MaxTimeout)
		}
		if r.Priority < 0 || r.Attempts < 0 || r.Stretch < 0 || r.Target < 0 {
			c.fail(at, "priority, attempts, stretch and target must not be negative")
		}
		if r.MaxQueue < 0 {
			c.fail(at+".max-queue", "is %d, must not be negative", r.MaxQueue)
		}
	}
}

func (c *checker) pools(pools []notch.Pool) {
	if len(pools) > MaxRows {
		c.fail("pools", "has %d rows, at most %d are allowed", len(pools), MaxRows)
	}
	names := map[string]bool{}
	for i, p := range pools {
		at := fmt.Sprintf("pools[%d]", i)
		c.name(at+".name", p.Name)
		c.unique(at+".name", p.Name, names)
		c.number(at+".slots", p.Slots)
		c.number(at+".connections", p.Connections)
		if p.Connections > 0 && p.Connections < p.Slots {
			c.fail(at+".connections", "is %d, must be at least slots (%d)", p.Connections, p.Slots)
		}
		c.kind(at, p)
		c.teams(at, p)
		hosts := map[string]bool{}
		for j, h := range p.Hosts {
			c.name(fmt.Sprintf("%s.hosts[%d]", at, j), h)
			c.unique(fmt.Sprintf("%s.hosts[%d]", at, j), h, hosts)
		}
	}
	if !names[notch.ControlPool] {
		c.fail("pools", "must keep the pool %q", notch.ControlPool)
	}
}

func (c *checker) kind(at string, p notch.Pool) {
	kinds := []notch.PoolKind{notch.ServicePool, notch.WorkerPool, notch.ReplicaPool}
	if !slices.Contains(kinds, p.Kind) {
		c.fail(at+".kind", "is %q, must be one of %q", p.Kind, kinds)
	}
	if (p.Name == notch.ControlPool) != (p.Kind == notch.ReplicaPool) {
		c.fail(at+".kind", "%q is the kind of the pool %q alone", notch.ReplicaPool, notch.ControlPool)
	}
	if p.Kind == notch.ReplicaPool && (len(p.Hosts) < 1 || len(p.Hosts) > MaxReplicas) {
		c.fail(at+".hosts", "has %d hosts, must have 1 to %d", len(p.Hosts), MaxReplicas)
	}
}

func (c *checker) teams(at string, p notch.Pool) {
	names := map[string]bool{}
	for i, t := range p.Teams {
		field := fmt.Sprintf("%s.teams[%d]", at, i)
		c.name(field+".name", t.Name)
		c.unique(field+".name", t.Name, names)
		if t.Weight < 1 || t.Weight > 1000 {
			c.fail(field+".weight", "is %d, must be 1 to 1000", t.Weight)
		}
		if !t.Quota.Valid() {
			c.fail(field+".quota", "must not be negative")
		}
	}
	if len(p.Teams) > 0 && p.Kind != notch.WorkerPool {
		c.fail(at+".teams", "belong to pools of kind %q", notch.WorkerPool)
	}
}

// joins checks the names by which the tables are joined.
func (c *checker) joins(edited notch.TableName, t notch.Tables) {
	for i, r := range t.Routes {
		field := fmt.Sprintf("routes[%d].pool", i)
		p, ok := t.Pool(r.Pool)
		switch {
		case !ok && edited == notch.RoutesTable:
			c.fail(field, "there is no pool %q", r.Pool)
		case !ok:
			c.fail("pools", "route %q still uses the pool %q", r.Name, r.Pool)
		case p.Kind == notch.ReplicaPool:
			c.fail(field, "pool %q is of kind %q, which serves no routes", r.Pool, p.Kind)
		}
	}
}

func (c *checker) name(field, name string) {
	if name == "" || len(name) > MaxName {
		c.fail(field, "must have 1 to %d characters", MaxName)
		return
	}
	if c.anyNames {
		return
	}
	for _, r := range name {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyz0123456789-.", r) {
			c.fail(field, "%q may hold lower-case letters, digits, hyphens and dots only", name)
			return
		}
	}
}

func (c *checker) unique(field, value string, seen map[string]bool) {
	if seen[value] {
		c.fail(field, "%q stands twice", value)
	}
	seen[value] = true
}

func (c *checker) number(field string, n int) {
	if n < 0 || n > MaxSlots {
		c.fail(field, "is %d, must be 0 to %d", n, MaxSlots)
	}
}

// ValidateRoutes returns what is wrong with routes in themselves.
func ValidateRoutes(routes []notch.Route) []notch.FieldError {
	var c checker
	c.routes(routes)
	return c.errs
}

// ValidatePools returns what is wrong with pools in themselves.
func ValidatePools(pools []notch.Pool) []notch.FieldError {
	var c checker
	c.pools(pools)
	return c.errs
}
