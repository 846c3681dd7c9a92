package entry

import (
	"net"
	"net/http"
	"sync"
	"time"

	notch "tamaracknotch"
)

// The limits of connections to backend servers.
const (
	dialTimeout  = time.Second
	idleTimeout  = 10 * time.Second
	maxTransport = 4096 // incarnations of backend servers that are remembered
)

// transports holds the connections to each incarnation of a backend server, so
// that none of an earlier incarnation is ever used for its successor.
type transports struct {
	mu   sync.Mutex
	byID map[notch.ServerID]*http.Transport
}

func newTransports() *transports { return &transports{byID: map[notch.ServerID]*http.Transport{}} }

func (t *transports) get(d notch.Dispatch) *http.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := d.Server.ID()
	if tr := t.byID[id]; tr != nil && tr.MaxIdleConnsPerHost == idleLimit(d) {
		return tr
	}
	if old := t.byID[id]; old != nil {
		old.CloseIdleConnections()
	}
	if len(t.byID) >= maxTransport {
		t.dropAll()
	}
	tr := newTransport(idleLimit(d))
	t.byID[id] = tr
	return tr
}

// idleLimit is how many idle connections may be kept; a transport takes zero for
// its default, so none is a negative number.
func idleLimit(d notch.Dispatch) int {
	if d.Idle <= 0 {
		return -1
	}
	return d.Idle
}

func (t *transports) dropAll() {
	for id, tr := range t.byID {
		tr.CloseIdleConnections()
		delete(t.byID, id)
	}
}

func newTransport(idle int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}
