package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/api"
	"tamaracknotch/engine"
)

// maxBufferedAnswer is the number of bytes of an answer that are buffered before
// the first byte is written to the caller. A failure within these bytes can still be
// retried.
const maxBufferedAnswer = 64 << 10

// attemptResult is an answer with its buffered beginning, or a failure.
type attemptResult struct {
	resp     *http.Response // nil for a failure
	prefix   []byte
	complete bool                 // prefix is the whole body
	outcome  notch.AttemptOutcome // of a failure
}

// attempts tracks the attempts of one request that are in flight. An attempt continues
// after the caller was answered, since it uses a slot of the backend server until it
// ends.
type attempts struct {
	x        *exchange
	request  *engine.PendingRequest
	inFlight int
	finished chan finishedAttempt
}

// finishedCapacity is the capacity of the channel of finished attempts. It is more than
// the number of attempts of one request that can be in flight at once, so that no
// attempt blocks when it finishes.
const finishedCapacity = 8

// finishedAttempt is an attempt that has its result. Its answer may still have to
// be read to the end.
type finishedAttempt struct {
	attemptResult
	event     notch.AttemptEnded
	startedAt time.Time
	cancel    context.CancelFunc
}

// start sends the request in the background. The attempt continues after the request's
// deadline until the backend server has answered or the connection breaks: until then the
// backend server may work on it.
func (a *attempts) start(d notch.Dispatch) {
	x := a.x
	ctx, cancel := context.WithCancel(context.WithoutCancel(x.r.Context()))
	f := finishedAttempt{startedAt: time.Now(), cancel: cancel, event: notch.AttemptEnded{Attempt: d.Attempt, Server: d.Server.ID()}}
	a.inFlight++
	go func() {
		f.attemptResult = x.fetch(ctx, d)
		a.finished <- f
	}()
}

// fetch sends the request and buffers the beginning of the answer. It sends nothing after the
// request's deadline, when the caller has been answered.
func (x *exchange) fetch(ctx context.Context, d notch.Dispatch) attemptResult {
	if !time.Now().Before(x.deadline) {
		return attemptResult{outcome: notch.AttemptNotSent}
	}
	var sent atomic.Bool
	resp, err := x.send(ctx, d, &sent)
	if err != nil {
		if sent.Load() {
			return attemptResult{outcome: notch.AttemptFailed}
		}
		return attemptResult{outcome: notch.AttemptNotSent}
	}
	if refusedByServer(resp) {
		resp.Body.Close()
		return attemptResult{outcome: notch.AttemptRefused}
	}
	prefix, complete, err := readPrefix(resp.Body)
	if err != nil {
		resp.Body.Close()
		return attemptResult{outcome: notch.AttemptFailed}
	}
	return attemptResult{resp: resp, prefix: prefix, complete: complete}
}

// reportEnd cancels the context of an attempt and reports its outcome to the lane.
func (a *attempts) reportEnd(f finishedAttempt, o notch.AttemptOutcome) {
	f.cancel()
	f.event.Outcome, f.event.Latency = o, time.Since(f.startedAt)
	a.request.ReportAttempt(f.event)
}

// deliver writes an answer to the caller and returns true. It reports a failure to
// the lane, which decides about a retry, and returns false. If the answer breaks off,
// deliver panics with http.ErrAbortHandler.
func (a *attempts) deliver(f finishedAttempt) (done bool) {
	a.inFlight--
	if f.resp == nil {
		a.reportEnd(f, f.outcome)
		return false
	}
	defer f.resp.Body.Close()
	if a.x.forward(f.resp, f.prefix, f.complete) {
		a.reportEnd(f, notch.AttemptOK)
		return true
	}
	a.reportEnd(f, notch.AttemptTruncated)
	// Closes the connection, so that the caller does not take a truncated answer
	// for a complete one.
	panic(http.ErrAbortHandler)
}

// discardRest waits in the background for the attempts whose answers are no longer
// needed, and reports how they end.
func (a *attempts) discardRest() {
	if a.inFlight == 0 {
		return
	}
	go func() {
		for range a.inFlight {
			a.discard(<-a.finished)
		}
	}()
}

// discard reads an answer to the end without using it. The lane learns that the
// slot is free once the backend server has finished.
func (a *attempts) discard(f finishedAttempt) {
	if f.resp == nil {
		a.reportEnd(f, notch.AttemptTruncated)
		return
	}
	defer f.resp.Body.Close()
	if _, err := io.Copy(io.Discard, f.resp.Body); err != nil {
		a.reportEnd(f, notch.AttemptTruncated)
		return
	}
	a.reportEnd(f, notch.AttemptOK)
}

// answerTimeout answers a caller whose request is still in flight at its deadline.
func (x *exchange) answerTimeout() {
	if !x.idempotent {
		x.w.Header().Set(api.OutcomeHeader, api.OutcomeUnknown)
	}
	writeProblem(x.w, http.StatusGatewayTimeout, "no answer within the route's timeout", false, 0)
}

// send sends the request to a backend server. It sets sent once any part of the
// request may have reached the backend server.
func (x *exchange) send(ctx context.Context, d notch.Dispatch, sent *atomic.Bool) (*http.Response, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { sent.Store(true) },
	})
	out, err := http.NewRequestWithContext(ctx, x.r.Method, "http://"+d.Server.Address, nil)
	if err != nil {
		return nil, err
	}
	out.URL.Path, out.URL.RawPath, out.URL.RawQuery = x.r.URL.Path, x.r.URL.RawPath, x.r.URL.RawQuery
	out.Header = x.r.Header.Clone()
	removeHopByHopHeaders(out.Header)
	// http.Transport retries a request by itself if either of these headers is set
	// in its canonical form. The lane alone decides about retries.
	out.Header.Del("Idempotency-Key")
	out.Header.Del("X-Idempotency-Key")
	if key := x.r.Header.Get("Idempotency-Key"); key != "" {
		out.Header["idempotency-key"] = []string{key}
	}
	out.Header.Add("X-Forwarded-For", hostOf(x.r.RemoteAddr))
	out.Host = x.r.Host
	out.Body = x.body.reader()
	out.ContentLength = x.body.length
	return x.h.servers.get(d).RoundTrip(out)
}

// refusedByServer reports whether the backend server declares that it did not run
// the request.
func refusedByServer(r *http.Response) bool {
	return r.StatusCode == http.StatusServiceUnavailable && r.Header.Get(api.NotRunHeader) == "true"
}

// readPrefix reads up to maxBufferedAnswer bytes of an answer. complete is set if
// the answer is shorter.
func readPrefix(r io.Reader) (prefix []byte, complete bool, err error) {
	prefix, err = io.ReadAll(io.LimitReader(r, maxBufferedAnswer))
	if err != nil {
		return nil, false, err
	}
	return prefix, len(prefix) < maxBufferedAnswer, nil
}

// forward writes the answer to the caller. It returns false if the answer could
// not be read or written to its end.
func (x *exchange) forward(resp *http.Response, prefix []byte, complete bool) bool {
	removeHopByHopHeaders(resp.Header)
	header := x.w.Header()
	for k, vs := range resp.Header {
		header[k] = vs
	}
	for k := range resp.Trailer {
		header.Add("Trailer", k)
	}
	x.w.WriteHeader(resp.StatusCode)
	if _, err := x.w.Write(prefix); err != nil && x.r.Method != http.MethodHead && len(prefix) > 0 {
		return false
	}
	if !complete {
		if _, err := io.Copy(flushWriter{x.w}, resp.Body); err != nil {
			return false
		}
	}
	for k, vs := range resp.Trailer {
		header[k] = vs
	}
	return true
}

// flushWriter flushes after each write, so that parts of a long answer are not
// delayed by buffering.
type flushWriter struct{ w http.ResponseWriter }

// Write implements io.Writer.
func (f flushWriter) Write(b []byte) (int, error) {
	n, err := f.w.Write(b)
	if fl, ok := f.w.(http.Flusher); ok && err == nil {
		fl.Flush()
	}
	return n, err
}

// hopByHopHeaders apply to a single connection and must not be forwarded (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopByHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// hostOf returns an address without its port.
func hostOf(address string) string {
	if i := strings.LastIndexByte(address, ':'); i >= 0 {
		return address[:i]
	}
	return address
}
