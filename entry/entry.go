// Package entry serves callers: it matches a request to a route, has the lane
// decide, and carries the request to a backend server and the answer back.
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

// Handler answers callers' requests.
type Handler struct {
	engine  *engine.Engine
	self    string
	servers *transports
}

// New returns the handler of the daemon called self.
func New(e *engine.Engine, self string) *Handler {
	return &Handler{engine: e, self: self, servers: newTransports()}
}

// exchange is one caller's request in the handler.
type exchange struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	route    notch.Route
	body     *body
	deadline time.Time
	repeat   bool // the method or the route is idempotent
	claim    notch.ClaimRequest
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	route, ok := h.engine.Tables().Match(r.Host, r.URL.Path)
	if !ok {
		refuse(w, http.StatusNotFound, "no route matches the path", true, 0)
		return
	}
	b, err := readBody(r)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error(), true, 0)
		return
	}
	x := &exchange{
		h: h, w: w, r: r, route: route, body: b, deadline: time.Now().Add(route.Timeout),
		repeat: route.Idempotent || idempotent(r.Method),
	}
	if !x.claimed() {
		return
	}
	x.serve()
}

// idempotent reports whether a method may be repeated (RFC 9110, section 9.2.2).
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return true
	}
	return false
}

// maxRequestID bounds the caller's request id, in bytes.
const maxRequestID = 200

// claimed claims a non-idempotent request that carries an id. If it returns
// false the caller has its answer.
func (x *exchange) claimed() bool {
	id := x.r.Header.Get(api.RequestID)
	if x.repeat || id == "" {
		return true
	}
	if len(id) > maxRequestID {
		refuse(x.w, http.StatusBadRequest, "the request id has more than "+strconv.Itoa(maxRequestID)+" bytes", true, 0)
		return false
	}
	claim := notch.ClaimRequest{ID: x.route.Name + "/" + id, Entry: x.h.self, Token: rand.Uint64()}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	r, err := x.h.engine.Submit(ctx, claim)
	if err != nil {
		// It may still be committed; without the request it must not stand.
		x.claim = claim
		x.unclaim()
		refuse(x.w, http.StatusServiceUnavailable, "the request id could not be claimed", true, time.Second)
		return false
	}
	if c, ok := r.(notch.ClaimResult); !ok || !c.Granted {
		x.w.Header().Set(api.OutcomeHeader, api.Unknown)
		refuse(x.w, http.StatusConflict, "a request with this id was taken before; it is not run again", false, 0)
		return false
	}
	x.claim = claim
	return true
}

// unclaim gives the claim up, as the request provably did not run.
func (x *exchange) unclaim() {
	if x.claim.ID == "" {
		return
	}
	release := notch.ReleaseClaim{ID: x.claim.ID, Token: x.claim.Token}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		x.h.engine.Submit(ctx, release)
	}()
}

// releaseTimeout bounds the attempts to give up a claim.
const releaseTimeout = 30 * time.Second

// serve follows the lane's decisions until the request is answered or refused.
func (x *exchange) serve() {
	call := x.h.engine.Start(notch.Request{
		Route: x.route, Kind: x.kind(), Idempotent: x.repeat, Replayable: x.body.replayable(),
		Deadline: notch.TimeOf(x.deadline),
	})
	defer call.End()
	fs := flights{x: x, call: call, landed: make(chan landing, maxFlights)}
	defer fs.abandon()
	late := time.NewTimer(time.Until(x.deadline))
	defer late.Stop()
	gone := x.r.Context().Done()
	for {
		select {
		case f := <-call.Next():
			switch f := f.(type) {
			case notch.Refuse:
				x.refused(f)
				return
			case notch.Dispatch:
				fs.launch(f)
			}
		case l := <-fs.landed:
			if fs.land(l) {
				return
			}
		case <-late.C:
			if fs.open > 0 {
				x.timedOut()
				return
			}
		case <-gone:
			if fs.open > 0 {
				return
			}
			// The lane refuses it, unless a dispatch is under way to here.
			call.Abandon()
			gone = nil
		}
	}
}

// kind groups requests that take about as long.
func (x *exchange) kind() string {
	if k := x.r.Header.Get("Request-Kind"); k != "" && len(k) <= maxKind {
		return x.route.Name + "/" + k
	}
	return x.route.Name
}

// maxKind bounds the name of a kind, in bytes.
const maxKind = 64

func (x *exchange) refused(f notch.Refuse) {
	if f.NotRun {
		x.unclaim()
		refuse(x.w, http.StatusServiceUnavailable, string(f.Reason), true, f.RetryAfter)
		return
	}
	if f.Reason == notch.RefusedOutcome {
		x.w.Header().Set(api.OutcomeHeader, api.Unknown)
	}
	refuse(x.w, http.StatusBadGateway, string(f.Reason), false, f.RetryAfter)
}

// refuse answers with a problem document.
func refuse(w http.ResponseWriter, status int, reason string, notRun bool, after time.Duration) {
	if notRun {
		w.Header().Set(api.NotRunHeader, "true")
	}
	if after > 0 {
		seconds := int64((after + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.Header().Set("Content-Type", api.ProblemType)
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(api.NewProblem(status, reason))
}
