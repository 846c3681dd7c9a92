package wire

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	notch "tamaracknotch"
)

// appendOf returns a message with entries that end n runs.
func appendOf(n int) notch.AppendRequest {
	r := notch.AppendRequest{Term: 3, Leader: "a", PrevIndex: 9, PrevTerm: 2, Commit: 8, SentAt: notch.Time(time.Hour), Contact: n%2 == 0}
	for i := range n {
		r.Entries = append(r.Entries, notch.LogEntry{Index: uint64(10 + i), Term: 3, At: notch.Time(time.Minute), Origin: "b", Ticket: 7, Command: notch.EndRuns{
			Life: notch.AgentIncarnation{Agent: fmt.Sprint("agent-", i), Born: 1}, UpTo: 5,
			Ends: []notch.RunEnd{{Run: notch.RunRef{Task: notch.TaskRef{Flow: "f", Index: i}, Number: 1}, Kind: notch.RunDone}},
		}})
	}
	return r
}

// The encoder, which encodes entries apart from their message, once for several replicas, sends what
// EncodeMessage does.
func TestEncoderEncodesAsEncodeMessage(t *testing.T) {
	e := NewEncoder()
	first := appendOf(3)
	resent := first
	resent.Commit, resent.Entries = 11, first.Entries[1:]
	messages := []notch.Message{first, first, appendOf(0), resent, notch.LeaveMessage{Incarnation: 4}}
	for i := range 2 * keptBatches {
		messages = append(messages, appendOf(1+i))
	}
	for _, m := range append(messages, first) {
		want, err := EncodeMessage(m)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := e.EncodeMessage(m); err != nil || !bytes.Equal(got, want) {
			t.Errorf("%T: got %x, error %v, want %x", m, got, err, want)
		}
	}
}

// Entries for several replicas were encoded for each of them.
func TestEncoderEncodesEntriesOnce(t *testing.T) {
	e, m := NewEncoder(), appendOf(50)
	if _, err := e.EncodeMessage(m); err != nil {
		t.Fatal(err)
	}
	first, err := e.batch(m.Entries).encode()
	if err != nil {
		t.Fatal(err)
	}
	m.PrevTerm++
	second, err := e.batch(m.Entries).encode()
	if err != nil || &first[0] != &second[0] {
		t.Errorf("got another encoding of the same entries, error %v, want that of the first message", err)
	}
}

// BenchmarkAppend measures what a message with 20 entries costs for each of four replicas.
func BenchmarkAppend(b *testing.B) {
	for _, shared := range []bool{false, true} {
		b.Run(fmt.Sprint("shared=", shared), func(b *testing.B) {
			e := NewEncoder()
			for b.Loop() {
				m := appendOf(20)
				for range 4 {
					if !shared {
						m.Entries = append([]notch.LogEntry(nil), m.Entries...)
					}
					if _, err := e.EncodeMessage(m); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
