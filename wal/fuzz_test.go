package wal

import (
	"bytes"
	"testing"
)

func FuzzUnframe(f *testing.F) {
	f.Add(append(frame([]byte("one")), frame([]byte("two"))...))
	f.Add(frame(nil)[:5])
	f.Fuzz(func(t *testing.T, b []byte) {
		payloads, sound, err := unframe(b)
		if err != nil {
			return
		}
		var again []byte
		for _, p := range payloads {
			again = append(again, frame(p)...)
		}
		if !bytes.Equal(again, b[:sound]) {
			t.Errorf("got %d sound bytes that are %q, want %q", sound, again, b[:sound])
		}
	})
}
