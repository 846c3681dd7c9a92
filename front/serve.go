package front

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// headerTimeout limits the time in which a client sends its headers.
const headerTimeout = 10 * time.Second

// Server serves one listener.
type Server struct{ http *http.Server }

// Serve starts to serve l in its own goroutine, until the server is closed.
func Serve(l net.Listener, h http.Handler) Server {
	s := Server{http: &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}}
	go func() { s.http.Serve(lastingListener{l}) }()
	return s
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

// Shutdown implements notch.Server.
func (s Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

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
