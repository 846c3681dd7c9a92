package wal

import (
	"bytes"
	"testing"
)

// FuzzDecodeFrames checks that the decoded payloads, framed again, equal the valid part of
// the input.
func FuzzDecodeFrames(f *testing.F) {
	f.Add(append(encodeFrame([]byte("one")), encodeFrame([]byte("two"))...))
	f.Add(encodeFrame(nil)[:5])
	f.Fuzz(func(t *testing.T, b []byte) {
		payloads, validLength, err := decodeFrames(b)
		if err != nil {
			return
		}
		var encoded []byte
		for _, p := range payloads {
			encoded = append(encoded, encodeFrame(p)...)
		}
		if !bytes.Equal(encoded, b[:validLength]) {
			t.Errorf("got %q for %d valid bytes, want %q", encoded, validLength, b[:validLength])
		}
	})
}
