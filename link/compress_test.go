package link

import (
	"fmt"
	"testing"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/wire"
)

// Guards against a replica that came back with an empty disk and isn't a voter for seconds, because
// its snapshot and large entries take a second and more to write.
func TestLargeMessagesAreCompressed(t *testing.T) {
	t.Parallel()
	l := newProxiedLink(t, acceptor)
	routes := make([]notch.Route, 5000)
	for i := range routes {
		routes[i] = notch.Route{Name: fmt.Sprint("route-", i), Path: fmt.Sprintf("/route-%d/", i), Pool: "sorters"}
	}
	m := notch.AppendRequest{Entries: []notch.LogEntry{{Index: 1, Command: notch.ReplaceTables{Version: 2, Routes: routes}}}}
	plain, err := wire.EncodeMessage(m)
	if err != nil {
		t.Fatal(err)
	}
	before := l.bytes.Load()
	l.sender.Send("b", m)
	select {
	case <-l.received:
	case <-time.After(10 * time.Second):
		t.Fatal("the message wasn't received")
	}
	if got, most := l.bytes.Load()-before, int64(len(plain)/4); got > most {
		t.Errorf("bytes sent for a message of %d bytes: got %d, want at most %d", len(plain), got, most)
	}
}
