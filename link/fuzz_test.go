package link

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// FuzzDecodeProof checks that a decoded proof is no longer than its encoding.
func FuzzDecodeProof(f *testing.F) {
	b, _ := cbor.Marshal(proof{Hello: []byte{1}, MAC: []byte{2}})
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := decodeProof(b)
		if err == nil && len(p.MAC)+len(p.Hello) > len(b) {
			t.Errorf("got %d bytes out of %d", len(p.MAC)+len(p.Hello), len(b))
		}
	})
}
