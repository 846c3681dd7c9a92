package outbound

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// TestLongCallIsSentWhole guards against a call that is longer than what the system takes at once and is cut, or waits for an answer
// before it has been sent.
func TestLongCallIsSentWhole(t *testing.T) {
	address := servePeer(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(50 * time.Millisecond) // the buffers between the peers fill up meanwhile
		b, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		w.Write([]byte(strconv.Itoa(len(b))))
	})
	c := New()
	for _, size := range []int{1, bufferBytes, 16 << 20} {
		got := ""
		err := c.Post(Call{Address: address, Path: "/x", Body: bytes.Repeat([]byte("x"), size), Timeout: 10 * time.Second}, func(_ int, b []byte) { got = string(b) })
		if want := strconv.Itoa(size); got != want || err != nil {
			t.Errorf("the peer has read %q bytes, want %q, error %v", got, want, err)
		}
	}
}
