package api

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	notch "tamaracknotch"
)

// Duration is a duration that is written in Go's notation, for example "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.Errorf("%q is not a duration such as 500ms or 2s", b)
	}
	*d = Duration(v)
	return nil
}

// Route is a row of the table routes.
type Route struct {
	Name       string   `json:"name" yaml:"name"`
	Host       string   `json:"host,omitempty" yaml:"host,omitempty"` // host name of the request; empty: any
	Path       string   `json:"path" yaml:"path"`
	Pool       string   `json:"pool" yaml:"pool"`
	Timeout    Duration `json:"timeout,omitempty" yaml:"timeout,omitempty"`
	Class      string   `json:"class,omitempty" yaml:"class,omitempty"`
	Idempotent bool     `json:"idempotent,omitempty" yaml:"idempotent,omitempty"`
	MaxQueue   int      `json:"max-queue,omitempty" yaml:"max-queue,omitempty"`

	// For a route to a pool of workers:
	Priority int      `json:"priority,omitempty" yaml:"priority,omitempty"`
	Attempts int      `json:"attempts,omitempty" yaml:"attempts,omitempty"`
	Stretch  float64  `json:"stretch,omitempty" yaml:"stretch,omitempty"`
	Target   Duration `json:"target,omitempty" yaml:"target,omitempty"`
}

// Pool is a row of the table pools.
type Pool struct {
	Name        string   `json:"name" yaml:"name"`
	Kind        string   `json:"kind" yaml:"kind"`
	Hosts       []string `json:"hosts,omitempty" yaml:"hosts,omitempty"`
	Slots       int      `json:"slots,omitempty" yaml:"slots,omitempty"`
	Connections int      `json:"connections,omitempty" yaml:"connections,omitempty"`
	Leaving     []string `json:"leaving,omitempty" yaml:"leaving,omitempty"`
	Teams       []Team   `json:"teams,omitempty" yaml:"teams,omitempty"`
}

// Team is a team's weight and quota in a worker pool.
type Team struct {
	Name   string    `json:"name" yaml:"name"`
	Weight int       `json:"weight,omitempty" yaml:"weight,omitempty"`
	Quota  Resources `json:"quota,omitempty" yaml:"quota,omitempty"`
}

// Resources is an amount of processors, memory and accelerators of a host.
type Resources struct {
	MilliCPU     int64 `json:"milli-cpu,omitempty" yaml:"milli-cpu,omitempty"`
	MemoryMB     int64 `json:"memory-mb,omitempty" yaml:"memory-mb,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty" yaml:"accelerators,omitempty"`
}

// Table is one version of the table routes or of the table pools. Only the rows of
// that table are set.
type Table struct {
	Table    string  `json:"table" yaml:"table"`
	Version  uint64  `json:"version" yaml:"version"`
	Revision uint64  `json:"revision,omitempty" yaml:"revision,omitempty"`
	Routes   []Route `json:"routes,omitempty" yaml:"routes,omitempty"`
	Pools    []Pool  `json:"pools,omitempty" yaml:"pools,omitempty"`
}

// Edit replaces all rows of a table if the table is still at version Base.
type Edit struct {
	ID     string  `json:"id"`
	Base   uint64  `json:"base"`
	By     string  `json:"by"`
	Routes []Route `json:"routes,omitempty"`
	Pools  []Pool  `json:"pools,omitempty"`
}

// EditResult is the result of an Edit. For a conflict it describes the current version
// of the table.
type EditResult struct {
	Outcome    string    `json:"outcome"`
	Version    uint64    `json:"version"`
	Revision   uint64    `json:"revision"`
	By         string    `json:"by,omitempty"`
	AcceptedAt time.Time `json:"at,omitzero"`
	Fields     []Field   `json:"fields,omitempty"`
}

// defaultRouteTimeout is the timeout of a route that sets none.
const defaultRouteTimeout = 10 * time.Second

// ConvertRoutes converts the rows of the table routes. It also returns the fields that
// can't be converted.
func ConvertRoutes(rows []Route) ([]notch.Route, []notch.FieldError) {
	var routes []notch.Route
	var errs []notch.FieldError
	for i, r := range rows {
		class := notch.Normal
		if r.Class != "" {
			var ok bool
			if class, ok = notch.ParseClass(r.Class); !ok {
				errs = append(errs, notch.FieldError{
					Field:  fmt.Sprintf("routes[%d].class", i),
					Reason: fmt.Sprintf("%q is none of urgent, normal and best-effort", r.Class),
				})
			}
		}
		timeout := time.Duration(r.Timeout)
		if timeout == 0 {
			timeout = defaultRouteTimeout
		}
		routes = append(routes, notch.Route{
			Name: r.Name, Host: r.Host, Path: r.Path, Pool: r.Pool, Timeout: timeout,
			Class: class, Idempotent: r.Idempotent, MaxQueue: r.MaxQueue,
			Priority: r.Priority, Attempts: r.Attempts, Stretch: r.Stretch, Target: time.Duration(r.Target),
		})
	}
	return routes, errs
}

// ConvertPools converts the rows of the table pools. A team without a weight gets
// weight 1.
func ConvertPools(rows []Pool) []notch.Pool {
	var out []notch.Pool
	for _, p := range rows {
		v := notch.Pool{
			Name: p.Name, Kind: notch.PoolKind(p.Kind), Hosts: p.Hosts, Slots: p.Slots,
			Connections: p.Connections, Leaving: p.Leaving,
		}
		for _, t := range p.Teams {
			weight := t.Weight
			if weight == 0 {
				weight = 1
			}
			v.Teams = append(v.Teams, notch.Team{Name: t.Name, Weight: weight, Quota: t.Quota.Value()})
		}
		out = append(out, v)
	}
	return out
}

// Value converts r to the type of the root package.
func (r Resources) Value() notch.Resources {
	return notch.Resources{MilliCPU: r.MilliCPU, MemoryMB: r.MemoryMB, Accelerators: r.Accelerators}
}

// ResourcesFrom converts r to its document.
func ResourcesFrom(r notch.Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU, MemoryMB: r.MemoryMB, Accelerators: r.Accelerators}
}

// TableFrom returns the document of the named table in t.
func TableFrom(name notch.TableName, t notch.Tables) Table {
	doc := Table{Table: string(name), Version: t.Version(name), Revision: t.Revision}
	if name == notch.RoutesTable {
		for _, r := range t.Routes {
			doc.Routes = append(doc.Routes, routeFrom(r))
		}
		return doc
	}
	for _, p := range t.Pools {
		doc.Pools = append(doc.Pools, poolFrom(p))
	}
	return doc
}

func routeFrom(r notch.Route) Route {
	return Route{
		Name: r.Name, Host: r.Host, Path: r.Path, Pool: r.Pool, Timeout: Duration(r.Timeout),
		Class: r.Class.String(), Idempotent: r.Idempotent, MaxQueue: r.MaxQueue,
		Priority: r.Priority, Attempts: r.Attempts, Stretch: r.Stretch, Target: Duration(r.Target),
	}
}

func poolFrom(p notch.Pool) Pool {
	doc := Pool{
		Name: p.Name, Kind: string(p.Kind), Hosts: p.Hosts, Slots: p.Slots,
		Connections: p.Connections, Leaving: p.Leaving,
	}
	for _, t := range p.Teams {
		doc.Teams = append(doc.Teams, Team{Name: t.Name, Weight: t.Weight, Quota: ResourcesFrom(t.Quota)})
	}
	return doc
}

// EditResultFrom converts the result of an edit to its document.
func EditResultFrom(r notch.EditResult) EditResult {
	doc := EditResult{Outcome: string(r.Outcome), Version: r.Version, Revision: r.Revision, By: r.By}
	if r.At != 0 {
		doc.AcceptedAt = r.At.Std().UTC()
	}
	doc.Fields = FieldsFrom(r.Fields)
	return doc
}

// FieldsFrom converts field errors to their documents.
func FieldsFrom(fs []notch.FieldError) []Field {
	var out []Field
	for _, f := range fs {
		out = append(out, Field{Field: f.Field, Reason: f.Reason})
	}
	return out
}
