package engine

import (
	"testing"

	notch "tamaracknotch"
)

// Guards against a replica that acknowledges entries of a new leader before they are synced: the
// sync of the entries that they replaced was reported under the new term.
func TestPersistedHasTermOfEntry(t *testing.T) {
	records := []notch.Persist{
		{Hard: notch.HardState{Term: 1}, Entries: []notch.LogEntry{{Index: 2, Term: 1}}},
		{Hard: notch.HardState{Term: 2}},
	}
	var got notch.Body
	acknowledge(records, func(b notch.Body) { got = b }, func(notch.Send) {})
	if want := (notch.Persisted{Term: 1, Index: 2}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
