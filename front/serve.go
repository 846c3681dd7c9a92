package front

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// headerTimeout limits the time in which a client sends its headers.
const headerTimeout = 10 * time.Second

// Server serves one listener.
type Server struct {
	http     *http.Server
	listener net.Listener
	conns    *conns
	draining *atomic.Bool
	accepted chan struct{} // closed when nothing more is accepted
}

// Serve starts to serve l in its own goroutine, until the server is closed.
func Serve(l net.Listener, h http.Handler) Server {
	s := Server{listener: l, conns: &conns{open: map[*trackedConn]bool{}}, draining: &atomic.Bool{}, accepted: make(chan struct{})}
	s.http = &http.Server{Handler: s.endingConnections(h), ReadHeaderTimeout: headerTimeout, ConnState: s.conns.changed}
	go func() {
		defer close(s.accepted)
		s.http.Serve(trackedListener{lastingListener{l}, s.conns})
	}()
	return s
}

// endingConnections returns a handler whose answers end their connections while the server drains.
func (s Server) endingConnections(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		dw := &drainingWriter{ResponseWriter: w, draining: s.draining}
		h.ServeHTTP(dw, r)
		dw.finishHeader()
	})
}

// lastingListener is a listener whose errors are temporary unless it is closed. The HTTP server
// accepts again after a pause that it doubles up to a second; after any other error, such as a lack
// of kernel memory, it would end while the process goes on.
type lastingListener struct{ net.Listener }

// Accept implements [net.Listener].
func (l lastingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		err = temporaryError{err}
	}
	return conn, err
}

// temporaryError implements [net.Error].
type temporaryError struct{ error }

// Timeout implements [net.Error].
func (temporaryError) Timeout() bool { return false }

// Temporary implements [net.Error].
func (temporaryError) Temporary() bool { return true }

// Drain implements notch.Server.
func (s Server) Drain() { s.draining.Store(true) }

// idlePoll is how often a server that shuts down looks for idle connections.
const idlePoll = 5 * time.Millisecond

// Shutdown implements notch.Server. Connections that are established already are still accepted: their clients
// may have sent requests.
func (s Server) Shutdown(ctx context.Context) error {
	s.Drain()
	go s.endAccepting(ctx)
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for !s.idle() {
		select {
		case <-ctx.Done():
			s.listener.Close()
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// endAccepting closes the listener once all connections that are established by now are accepted. The system passes
// them on in their order, so a connection of its own is the last one.
func (s Server) endAccepting(ctx context.Context) {
	var dialer net.Dialer
	last, err := dialer.DialContext(ctx, s.listener.Addr().Network(), s.listener.Addr().String())
	if err != nil {
		s.listener.Close()
		return
	}
	defer last.Close()
	if s.conns.endAfter(last.LocalAddr().String()) {
		s.listener.Close()
	}
	select {
	case <-s.accepted:
	case <-ctx.Done():
	}
}

// idle ends the idle connections and reports whether none is left and nothing more is accepted.
func (s Server) idle() bool {
	select {
	case <-s.accepted:
		return s.conns.endIdle()
	default:
		s.conns.endIdle()
		return false
	}
}

// Close implements notch.Server.
func (s Server) Close() error { return s.http.Close() }

// MetricsHandler returns a handler that answers every path with the metrics as text.
func MetricsHandler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		metrics.WriteOnce(registry, w)
	})
}

// ReadinessHandler returns a handler for the load balancer's readiness checks.
func ReadinessHandler(h ReadinessChecker) http.Handler {
	r := newRouter()
	r.GET("/readyz", func(c *gin.Context) { serveReadiness(c, h) })
	return r
}
