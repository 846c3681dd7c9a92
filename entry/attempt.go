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

// maxAnswerHeld is the part of an answer that is held before any of it is passed
// on, in bytes. While that is so, a failure can still be repaired by a retry.
const maxAnswerHeld = 64 << 10

// fetched is what an attempt brought: an answer with its beginning, or a failure.
type fetched struct {
	resp    *http.Response // nil for a failure
	held    []byte
	whole   bool
	outcome notch.AttemptOutcome
}

// flights are the sends of one request that are under way. They go on after the
// caller was answered, since a backend server's slot is in use until they end.
type flights struct {
	x      *exchange
	call   *engine.Call
	open   int
	landed chan landing
}

// maxFlights is more than the sends of a request that can be under way at once.
const maxFlights = 8

// landing is the end of a flight.
type landing struct {
	fetched
	ended  notch.AttemptEnded
	began  time.Time
	cancel context.CancelFunc
}

// launch starts a send, which may last as long again as the request.
func (fs *flights) launch(d notch.Dispatch) {
	x := fs.x
	ctx, cancel := context.WithDeadline(context.WithoutCancel(x.r.Context()), x.deadline.Add(x.route.Timeout))
	l := landing{began: time.Now(), cancel: cancel, ended: notch.AttemptEnded{Attempt: d.Attempt, Server: d.Server.ID()}}
	fs.open++
	go func() {
		l.fetched = x.fetch(ctx, d)
		fs.landed <- l
	}()
}

// fetch sends the request and reads the beginning of the answer.
func (x *exchange) fetch(ctx context.Context, d notch.Dispatch) fetched {
	var sent atomic.Bool
	resp, err := x.send(ctx, d, &sent)
	if err != nil {
		if sent.Load() {
			return fetched{outcome: notch.AttemptFailed}
		}
		return fetched{outcome: notch.AttemptNotSent}
	}
	if refusedByServer(resp) {
		resp.Body.Close()
		return fetched{outcome: notch.AttemptRefused}
	}
	held, whole, err := hold(resp.Body)
	if err != nil {
		resp.Body.Close()
		return fetched{outcome: notch.AttemptFailed}
	}
	return fetched{resp: resp, held: held, whole: whole}
}

// end tells the lane how a flight ended.
func (fs *flights) end(l landing, o notch.AttemptOutcome) {
	l.cancel()
	l.ended.Outcome, l.ended.Latency = o, time.Since(l.began)
	fs.call.Ended(l.ended)
}

// land passes an answer on and returns true, or leaves a failure to the lane.
func (fs *flights) land(l landing) (done bool) {
	fs.open--
	if l.resp == nil {
		fs.end(l, l.outcome)
		return false
	}
	defer l.resp.Body.Close()
	if fs.x.pass(l.resp, l.held, l.whole) {
		fs.end(l, notch.AttemptOK)
		return true
	}
	fs.end(l, notch.AttemptCut)
	// The caller must not take what it has for the whole answer.
	panic(http.ErrAbortHandler)
}

// abandon waits in the background for the end of flights whose answers nobody
// awaits.
func (fs *flights) abandon() {
	if fs.open == 0 {
		return
	}
	go func() {
		for range fs.open {
			fs.discard(<-fs.landed)
		}
	}()
}

func (fs *flights) discard(l landing) {
	if l.resp == nil {
		fs.end(l, notch.AttemptCut)
		return
	}
	defer l.resp.Body.Close()
	if _, err := io.Copy(io.Discard, l.resp.Body); err != nil {
		fs.end(l, notch.AttemptCut)
		return
	}
	fs.end(l, notch.AttemptOK)
}

// timedOut answers a caller whose request is still under way at its deadline.
func (x *exchange) timedOut() {
	if !x.repeat {
		x.w.Header().Set(api.OutcomeHeader, api.Unknown)
	}
	refuse(x.w, http.StatusGatewayTimeout, "no answer within the route's timeout", false, 0)
}

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
	removeHopHeaders(out.Header)
	// The transport repeats a request by itself if these say that it may.
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

// refusedByServer reports whether the backend server says that it did not run
// the request.
func refusedByServer(r *http.Response) bool {
	return r.StatusCode == http.StatusServiceUnavailable && r.Header.Get(api.NotRunHeader) == "true"
}

// hold reads the beginning of an answer, or all of it if it is short.
func hold(r io.Reader) (held []byte, whole bool, err error) {
	held, err = io.ReadAll(io.LimitReader(r, maxAnswerHeld))
	if err != nil {
		return nil, false, err
	}
	return held, len(held) < maxAnswerHeld, nil
}

// pass writes the answer to the caller. It returns false if it was cut.
func (x *exchange) pass(resp *http.Response, held []byte, whole bool) bool {
	removeHopHeaders(resp.Header)
	header := x.w.Header()
	for k, vs := range resp.Header {
		header[k] = vs
	}
	for k := range resp.Trailer {
		header.Add("Trailer", k)
	}
	x.w.WriteHeader(resp.StatusCode)
	if _, err := x.w.Write(held); err != nil && x.r.Method != http.MethodHead && len(held) > 0 {
		return false
	}
	if !whole {
		if _, err := io.Copy(flusher{x.w}, resp.Body); err != nil {
			return false
		}
	}
	for k, vs := range resp.Trailer {
		header[k] = vs
	}
	return true
}

// flusher passes each part of a long answer on at once.
type flusher struct{ w http.ResponseWriter }

// Write implements io.Writer.
func (f flusher) Write(b []byte) (int, error) {
	n, err := f.w.Write(b)
	if fl, ok := f.w.(http.Flusher); ok && err == nil {
		fl.Flush()
	}
	return n, err
}

// hopHeaders belong to one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

func hostOf(address string) string {
	if i := strings.LastIndexByte(address, ':'); i >= 0 {
		return address[:i]
	}
	return address
}
