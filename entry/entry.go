// Package entry is the proxy for callers' requests. It matches a request to a
// route, passes it to the lane of the route's pool, which decides about each
// attempt, and forwards the request to a backend server and the answer to the
// caller.
package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/api"
	"tamaracknotch/engine"
)

// Handler proxies callers' requests to backend servers.
type Handler struct {
	engine     *engine.Engine
	daemonName string
	servers    *transports
}

// New returns the handler of the daemon with the given name.
func New(e *engine.Engine, daemonName string) *Handler {
	return &Handler{engine: e, daemonName: daemonName, servers: newTransports()}
}

// exchange is one caller's request while it is being handled.
type exchange struct {
	h          *Handler
	w          http.ResponseWriter
	r          *http.Request
	route      notch.Route
	body       *body
	deadline   time.Time
	idempotent bool // the method or the route is idempotent
	claim      notch.ClaimRequest
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	route, ok := h.engine.Tables().Match(r.Host, r.URL.Path)
	if !ok {
		writeProblem(w, http.StatusNotFound, "no route matches the path", true, 0)
		return
	}
	b, err := readBody(r)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, err.Error(), true, 0)
		return
	}
	x := &exchange{
		h: h, w: w, r: r, route: route, body: b, deadline: time.Now().Add(route.Timeout),
		idempotent: route.Idempotent || idempotentMethod(r.Method),
	}
	if !x.acquireClaim() {
		return
	}
	x.serve()
}

// idempotentMethod reports whether an HTTP method is idempotent (RFC 9110, section
// 9.2.2).
func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return true
	}
	return false
}

// maxRequestIDBytes is the largest size of a caller's request id.
const maxRequestIDBytes = 200

// acquireClaim claims the id of a non-idempotent request, if it has one, so that no
// other request with this id runs. If it returns false, it has answered the
// caller.
func (x *exchange) acquireClaim() bool {
	id := x.r.Header.Get(api.RequestIDHeader)
	if x.idempotent || id == "" {
		return true
	}
	if len(id) > maxRequestIDBytes {
		writeProblem(x.w, http.StatusBadRequest, "the request id has more than "+strconv.Itoa(maxRequestIDBytes)+" bytes", true, 0)
		return false
	}
	claim := notch.ClaimRequest{ID: x.route.Name + "/" + id, Entry: x.h.daemonName, Token: rand.Uint64()}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	r, err := x.h.engine.Submit(ctx, claim)
	if err != nil {
		// The claim may still be committed. As the request will not run, the claim
		// must not block a resend.
		x.claim = claim
		x.releaseClaim()
		writeProblem(x.w, http.StatusServiceUnavailable, "the request id could not be claimed", true, time.Second)
		return false
	}
	if c, ok := r.(notch.ClaimResult); !ok || !c.Granted {
		x.w.Header().Set(api.OutcomeHeader, api.OutcomeUnknown)
		writeProblem(x.w, http.StatusConflict, "a request with this id was accepted before; it is not run again", false, 0)
		return false
	}
	x.claim = claim
	return true
}

// releaseClaim releases the claim in the background. It is called when the request
// provably did not run, so that a resend with the same id can run.
func (x *exchange) releaseClaim() {
	if x.claim.ID == "" {
		return
	}
	release := notch.ReleaseClaim{ID: x.claim.ID, Token: x.claim.Token}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimReleaseTimeout)
		defer cancel()
		x.h.engine.Submit(ctx, release)
	}()
}

// claimReleaseTimeout bounds the attempts to release a claim.
const claimReleaseTimeout = 30 * time.Second

// serve carries out the lane's decisions until the request is answered or refused.
func (x *exchange) serve() {
	request := x.h.engine.StartRequest(notch.Request{
		Route: x.route, Kind: x.latencyKind(), Idempotent: x.idempotent, Replayable: x.body.replayable(),
		Deadline: notch.TimeOf(x.deadline),
	})
	defer request.Release()
	sends := attempts{x: x, request: request, finished: make(chan finishedAttempt, finishedCapacity)}
	defer sends.discardRest()
	timeout := time.NewTimer(time.Until(x.deadline))
	defer timeout.Stop()
	callerGone := x.r.Context().Done()
	for {
		select {
		case effect := <-request.Effects():
			switch f := effect.(type) {
			case notch.Refuse:
				x.answerRefusal(f)
				return
			case notch.Dispatch:
				sends.start(f)
			}
		case f := <-sends.finished:
			if sends.deliver(f) {
				return
			}
		case <-timeout.C:
			if sends.inFlight > 0 {
				x.answerTimeout()
				return
			}
		case <-callerGone:
			if sends.inFlight > 0 {
				return
			}
			// The lane answers with a Refuse, unless it has already sent a Dispatch.
			request.Abandon()
			callerGone = nil
		}
	}
}

// latencyKind returns the kind of the request, which groups requests with similar
// latencies: the route, and the caller's Request-Kind header if there is one.
func (x *exchange) latencyKind() string {
	if k := x.r.Header.Get("Request-Kind"); k != "" && len(k) <= maxKindBytes {
		return x.route.Name + "/" + k
	}
	return x.route.Name
}

// maxKindBytes is the largest size of a Request-Kind header; a longer one is ignored.
const maxKindBytes = 64

// answerRefusal answers a caller whose request the lane refused. If the request
// provably did not run, it also releases the claim.
func (x *exchange) answerRefusal(f notch.Refuse) {
	if f.NotRun {
		x.releaseClaim()
		writeProblem(x.w, http.StatusServiceUnavailable, string(f.Reason), true, f.RetryAfter)
		return
	}
	if f.Reason == notch.RefusedOutcome {
		x.w.Header().Set(api.OutcomeHeader, api.OutcomeUnknown)
	}
	writeProblem(x.w, http.StatusBadGateway, string(f.Reason), false, f.RetryAfter)
}

// writeProblem answers with a problem document. notRun states that the request
// provably did not run on any backend server; retryAfter is zero if no time for a
// resend is known.
func writeProblem(w http.ResponseWriter, status int, reason string, notRun bool, retryAfter time.Duration) {
	if notRun {
		w.Header().Set(api.NotRunHeader, "true")
	}
	if retryAfter > 0 {
		seconds := int64((retryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.Header().Set("Content-Type", api.ProblemType)
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(api.NewProblem(status, reason))
}
