package notch_test

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	notch "tamaracknotch"
)

// drawTables returns tables with the routes and pools of a few names, in any order.
func drawTables(t *rapid.T, revision uint64) notch.Tables {
	out := notch.Tables{Revision: revision, RoutesVersion: revision, PoolsVersion: 1, DocumentVersion: 2 * revision}
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 1, 10, rapid.ID).Draw(t, "routes") {
		out.Routes = append(out.Routes, notch.Route{Name: fmt.Sprint("r", i), MaxQueue: rapid.IntRange(0, 1).Draw(t, "queue")})
	}
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 2), 1, 3, rapid.ID).Draw(t, "pools") {
		out.Pools = append(out.Pools, notch.Pool{Name: fmt.Sprint("p", i), Hosts: []string{fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "host"))}})
	}
	return out
}

// TestTablesChanges checks that changes lead from the tables of any revision to the latest
// ones, with the rows in their order.
func TestTablesChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var revisions []notch.Tables
		var changes []*notch.TablesChange
		before := notch.Tables{}
		for r := range uint64(4) {
			next := drawTables(t, r+1)
			c := before.ChangeTo(next)
			changes, revisions, before = append(changes, &c), append(revisions, before), next
		}
		for _, from := range revisions {
			got, ok := from.WithChanges(changes)
			if !ok || !reflect.DeepEqual(got, before) {
				t.Fatalf("from revision %d: got %+v, %v, want %+v", from.Revision, got, ok, before)
			}
			if got := notch.RevisionAfter(from.Revision, changes); got != before.Revision {
				t.Fatalf("from revision %d: got revision %d, want %d", from.Revision, got, before.Revision)
			}
		}
	})
}

// TestTablesChangeIsSmall checks that a change of one row doesn't contain the others.
func TestTablesChangeIsSmall(t *testing.T) {
	var routes []notch.Route
	for i := range 1000 {
		routes = append(routes, notch.Route{Name: fmt.Sprint("r", i)})
	}
	before := notch.Tables{Revision: 1, Routes: routes}
	changed := append([]notch.Route{}, routes...)
	changed[500].MaxQueue = 7
	for name, next := range map[string][]notch.Route{
		"changed":  changed,
		"removed":  append(append([]notch.Route{}, routes[:3]...), routes[4:]...),
		"inserted": append(append(append([]notch.Route{}, routes[:3]...), notch.Route{Name: "new"}), routes[3:]...),
	} {
		if got := before.ChangeTo(notch.Tables{Revision: 2, Routes: next}).Rows(); got != 1 {
			t.Errorf("%s: got %d rows, want 1", name, got)
		}
	}
}
