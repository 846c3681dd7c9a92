package front

import (
	"net/http"
	"sync/atomic"
)

// drainingWriter writes an answer. If the server drains by the time of its header, the answer ends the connection.
type drainingWriter struct {
	http.ResponseWriter
	draining    *atomic.Bool
	wroteHeader bool
}

// WriteHeader implements [http.ResponseWriter].
func (w *drainingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.finishHeader()
	}
	w.ResponseWriter.WriteHeader(status)
}

// finishHeader completes the header right before it is written.
func (w *drainingWriter) finishHeader() {
	if w.wroteHeader {
		return
	}
	w.wroteHeader = true
	if w.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}

// Write implements [http.ResponseWriter].
func (w *drainingWriter) Write(b []byte) (int, error) {
	w.finishHeader()
	return w.ResponseWriter.Write(b)
}

// FlushError is called by [http.ResponseController].
func (w *drainingWriter) FlushError() error {
	w.finishHeader()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Flush implements [http.Flusher].
func (w *drainingWriter) Flush() { w.FlushError() }

// Unwrap is called by [http.ResponseController].
func (w *drainingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
