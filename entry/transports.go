package entry

import (
	"net"
	"net/http"
	"sync"
	"time"

	notch "tamaracknotch"
)

// The limits of the connections to backend servers.
const (
	dialTimeout   = time.Second
	idleTimeout   = 10 * time.Second
	maxTransports = 4096 // number of backend server incarnations with a transport
)

// transports holds a transport for each incarnation of a backend server, so that
// no connection to an earlier incarnation is used for a later one.
type transports struct {
	mu   sync.Mutex
	byID map[notch.ServerID]*http.Transport
}

func newTransports() *transports { return &transports{byID: map[notch.ServerID]*http.Transport{}} }

// get returns the transport for the backend server of a dispatch. It replaces the
// transport if the number of idle connections has changed.
func (t *transports) get(d notch.Dispatch) *http.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := d.Server.ID()
	if tr := t.byID[id]; tr != nil && tr.MaxIdleConnsPerHost == maxIdleConns(d) {
		return tr
	}
	if old := t.byID[id]; old != nil {
		old.CloseIdleConnections()
	}
	if len(t.byID) >= maxTransports {
		t.dropAll()
	}
	tr := newTransport(maxIdleConns(d))
	t.byID[id] = tr
	return tr
}

// maxIdleConns returns how many idle connections may be kept open. It returns -1
// for none, since http.Transport replaces zero by its default.
func maxIdleConns(d notch.Dispatch) int {
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
