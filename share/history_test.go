package share

import (
	"fmt"
	"reflect"
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
