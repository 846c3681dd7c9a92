package share

import (
	"fmt"
	"testing"
	"time"

	notch "tamaracknotch"
)

// BenchmarkReport measures what the report of an entry without requests costs the leader of 150 entries.
func BenchmarkReport(b *testing.B) {
	const entries = 150
	now := notch.Time(time.Hour)
	part := notch.Part(NewLeader("a"))
	step := func(body notch.Body) {
		if next, _ := part.Step(notch.Event{At: now, Body: body}); next != nil {
			part = next
		}
	}
	report := func(i int, m notch.EntryReport) {
		m.Term, m.Incarnation, m.SentAt = 2, 1, now
		step(notch.MessageReceived{From: fmt.Sprint("entry-", i), Message: m})
	}
	step(notch.Leadership{Leading: true, Term: 2, Ready: 1, Contact: now})
	for i := range entries {
		report(i, notch.EntryReport{Full: true})
		report(i, notch.EntryReport{Seq: 1})
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		report(n%entries, notch.EntryReport{Seq: 1})
	}
}
