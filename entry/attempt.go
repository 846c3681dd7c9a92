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

// flight is an attempt under way. It goes on after its caller has been answered
// for lack of time, since the backend server's slot is in use until it ends.
type flight struct {
	x      *exchange
	call   *engine.Call
	ended  notch.AttemptEnded
	began  time.Time
	cancel context.CancelFunc
	result chan fetched
}

// attempt sends the request to one backend server. It returns true if the caller
// has its answer, and false if the lane has to decide again.
func (x *exchange) attempt(call *engine.Call, d notch.Dispatch) (done bool) {
	f := x.launch(call, d)
	late := time.NewTimer(time.Until(x.deadline))
	defer late.Stop()
	select {
	case r := <-f.result:
		return f.land(r)
	case <-late.C:
		go f.abandon()
		x.timedOut()
	case <-x.r.Context().Done():
		go f.abandon()
	}
	return true
}

// launch starts an attempt, which may last as long again as the request.
func (x *exchange) launch(call *engine.Call, d notch.Dispatch) *flight {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(x.r.Context()), x.deadline.Add(x.route.Timeout))
	f := &flight{
		x: x, call: call, began: time.Now(), cancel: cancel, result: make(chan fetched, 1),
		ended: notch.AttemptEnded{Attempt: d.Attempt, Server: d.Server.ID()},
	}
	go func() { f.result <- x.fetch(ctx, d) }()
	return f
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

// end says how the attempt ended.
func (f *flight) end(o notch.AttemptOutcome) {
	f.cancel()
	f.ended.Outcome, f.ended.Latency = o, time.Since(f.began)
	f.call.Ended(f.ended)
}

// land passes an answer on, or leaves a failure to the lane.
func (f *flight) land(r fetched) (done bool) {
	if r.resp == nil {
		f.end(r.outcome)
		return false
	}
	defer r.resp.Body.Close()
	if f.x.pass(r.resp, r.held, r.whole) {
		f.end(notch.AttemptOK)
		return true
	}
	f.end(notch.AttemptCut)
	// The caller must not take what it has for the whole answer.
	panic(http.ErrAbortHandler)
}

// abandon waits for the end of an attempt whose answer nobody awaits.
func (f *flight) abandon() {
	r := <-f.result
	if r.resp == nil {
		f.end(notch.AttemptCut)
		return
	}
	defer r.resp.Body.Close()
	if _, err := io.Copy(io.Discard, r.resp.Body); err != nil {
		f.end(notch.AttemptCut)
		return
	}
	f.end(notch.AttemptOK)
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
