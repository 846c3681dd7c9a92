package engine

import (
	"testing"

	notch "tamaracknotch"
)

// A replica took entries of a new leader for synced when the entries that they replaced were.
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
