package notch

import (
	"reflect"
	"slices"
)

// Splice replaces rows of a list: the Remove rows from index At on by the rows of Insert.
type Splice[T any] struct {
	At     int // index in the list before any change
	Remove int
	Insert []T
}

// TablesChange turns the tables of one revision into those of a later one. It is never
// modified.
type TablesChange struct {
	From          uint64 // revision to which it applies; zero: any earlier one, as all rows are inserted
	Revision      uint64 // revision after the change
	RoutesVersion uint64
	PoolsVersion  uint64
	Routes        []Splice[Route] // in the order of At, without overlap
	Pools         []Splice[Pool]

	DocumentVersion uint64
	Limits          CallerLimits
}

// Follows reports whether c applies to the tables of a revision.
func (c TablesChange) Follows(revision uint64) bool {
	return c.Revision > revision && (c.From == 0 || c.From == revision)
}

// Rows returns the number of rows that c removes or inserts.
func (c TablesChange) Rows() int { return rowsOf(c.Routes) + rowsOf(c.Pools) }

func rowsOf[T any](splices []Splice[T]) (n int) {
	for _, s := range splices {
		n += max(s.Remove, len(s.Insert))
	}
	return n
}

// RevisionAfter returns the revision that results from the tables of a revision by those of
// the changes that follow each other.
func RevisionAfter(revision uint64, changes []*TablesChange) uint64 {
	for _, c := range changes {
		if c.Follows(revision) {
			revision = c.Revision
		}
	}
	return revision
}

// ChangeTo returns the change from t to next, without the text of the document. If t is
// empty, the change applies to any tables.
func (t Tables) ChangeTo(next Tables) TablesChange {
	return TablesChange{
		From: t.Revision, Revision: next.Revision, RoutesVersion: next.RoutesVersion, PoolsVersion: next.PoolsVersion,
		Routes: splicesBetween(t.Routes, next.Routes, routeName, equalRoutes),
		Pools:  splicesBetween(t.Pools, next.Pools, poolName, equalPools),

		DocumentVersion: next.DocumentVersion, Limits: next.Limits,
	}
}

func routeName(r Route) string    { return r.Name }
func equalRoutes(a, b Route) bool { return a == b }
func poolName(p Pool) string      { return p.Name }
func equalPools(a, b Pool) bool   { return reflect.DeepEqual(a, b) }

// WithChanges returns t after those of the changes that follow each other from its revision
// on. ok is false if one of them doesn't fit the rows of the tables before it.
func (t Tables) WithChanges(changes []*TablesChange) (next Tables, ok bool) {
	for _, c := range changes {
		if !c.Follows(t.Revision) {
			continue
		}
		if t, ok = t.withChange(*c); !ok {
			return t, false
		}
	}
	return t, true
}

func (t Tables) withChange(c TablesChange) (Tables, bool) {
	if c.From == 0 {
		t = Tables{}
	}
	routes, ok := spliced(t.Routes, c.Routes)
	if !ok {
		return t, false
	}
	pools, ok := spliced(t.Pools, c.Pools)
	return Tables{
		Revision: c.Revision, RoutesVersion: c.RoutesVersion, PoolsVersion: c.PoolsVersion, Routes: routes, Pools: pools,
		DocumentVersion: c.DocumentVersion, Limits: c.Limits,
	}, ok
}

// splicesBetween returns the splices that turn one list into another. A row that has the same
// name and content in both lists stays, unless rows have changed their order.
func splicesBetween[T any](from, to []T, name func(T) string, equal func(a, b T) bool) []Splice[T] {
	same := 0
	for same < min(len(from), len(to)) && equal(from[same], to[same]) {
		same++
	}
	indexes := make(map[string]int, len(from)-same)
	for i := same; i < len(from); i++ {
		indexes[name(from[i])] = i
	}
	var out []Splice[T]
	next, inserted := same, same // from[next:] and to[inserted:] aren't yet part of a splice
	addUpTo := func(i, j int) {
		if i > next || j > inserted {
			out = append(out, Splice[T]{At: next, Remove: i - next, Insert: rowsToInsert(to, inserted, j)})
		}
	}
	for j := same; j < len(to); j++ {
		i, ok := indexes[name(to[j])]
		if !ok || i < next || !equal(from[i], to[j]) {
			continue
		}
		addUpTo(i, j)
		next, inserted = i+1, j+1
	}
	addUpTo(len(from), len(to))
	return out
}

// rowsToInsert returns to[i:j]. It copies a small part of a list, which would keep the whole
// list in memory.
func rowsToInsert[T any](to []T, i, j int) []T {
	if j-i > len(to)/2 {
		return to[i:j:j]
	}
	return slices.Clone(to[i:j])
}

// spliced returns rows after the splices. ok is false if they don't fit the rows.
func spliced[T any](rows []T, splices []Splice[T]) (out []T, ok bool) {
	if len(splices) == 0 {
		return rows, true
	}
	next := 0 // rows[next:] aren't copied yet
	for _, s := range splices {
		if s.At < next || s.Remove < 0 || s.Remove > len(rows)-s.At {
			return nil, false
		}
		out = append(append(out, rows[next:s.At]...), s.Insert...)
		next = s.At + s.Remove
	}
	return slices.Concat(out, rows[next:]), true
}
