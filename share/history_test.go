package share

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	notch "tamaracknotch"
)

// TestHistory guards against changes that don't lead to the latest tables, and against entries that
// get more rows than the whole tables have.
func TestHistory(t *testing.T) {
	const rows, revisions = 100, 3 * maxChanges
	var h tablesHistory
	tables := notch.Tables{Document: "text"}
	byRevision := map[uint64]notch.Tables{0: {}}
	for i := range revisions {
		routes := make([]notch.Route, 0, rows)
		for k := range rows {
			routes = append(routes, notch.Route{Name: fmt.Sprint(k), MaxQueue: max(0, (i-k)/rows)})
		}
		routes[i%rows].MaxQueue = i
		tables = tables.WithRoutes(routes)
		h = h.with(tables)
		byRevision[tables.Revision] = tables.WithoutDocument()
	}
	for revision, from := range byRevision {
		changes := h.since(revision)
		got, ok := from.WithChanges(changes)
		if !ok || !reflect.DeepEqual(got, tables.WithoutDocument()) {
			t.Errorf("from revision %d: got revision %d with %d routes, want %d with %d", revision, got.Revision, len(got.Routes), tables.Revision, rows)
		}
		sent := 0
		for _, c := range changes {
			sent += c.Rows()
		}
		if sent > rows {
			t.Errorf("from revision %d: got %d rows, want at most %d", revision, sent, rows)
		}
	}
	if got := len(h.since(tables.Revision - 1)); got != 1 {
		t.Errorf("from the revision before: got %d changes, want 1", got)
	}
}

// Guards against an entry that gets the whole tables for each edit of a row: on a slow link, they
// delay the leases behind them.
func TestSmallEditIsSentAlone(t *testing.T) {
	routes := make([]notch.Route, 100)
	for i := range routes {
		routes[i].Name = fmt.Sprint(i)
	}
	before := notch.Tables{}.WithRoutes(routes)
	edited := slices.Clone(routes)
	edited[50].MaxQueue = 7
	h := tablesHistory{}.with(before).with(before.WithRoutes(edited))
	got := 0
	for _, c := range h.since(before.Revision) {
		got += c.Rows()
	}
	if want := 1; got != want {
		t.Errorf("rows sent for an edit of one row: got %d, want %d", got, want)
	}
}
