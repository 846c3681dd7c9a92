package engine

import (
	"hash/fnv"

	notch "tamaracknotch"
)

// PendingRequest is the handle of a caller's request that a lane processes.
type PendingRequest struct {
	ID      uint64
	lane    *loop
	effects chan notch.Effect
	engine  *Engine
}

// StartRequest assigns an ID to a request and posts the request to the lane of its pool.
// The caller must call Release when the request is done.
func (e *Engine) StartRequest(r notch.Request) *PendingRequest {
	r.ID = e.lastRequest.Add(1)
	p := &PendingRequest{ID: r.ID, lane: e.laneOf(r.Route.Pool), effects: make(chan notch.Effect, 8), engine: e}
	e.mu.Lock()
	e.requests[r.ID] = p.effects
	e.mu.Unlock()
	p.lane.post(notch.RequestArrived{Request: r})
	return p
}

// Effects returns the channel of the request's Dispatch and Refuse effects.
func (p *PendingRequest) Effects() <-chan notch.Effect { return p.effects }

// ReportAttempt reports to the lane how an attempt ended.
func (p *PendingRequest) ReportAttempt(a notch.AttemptEnded) {
	a.Request = p.ID
	p.lane.post(a)
}

// Abandon reports to the lane that the caller disconnected while the request waited.
func (p *PendingRequest) Abandon() { p.lane.post(notch.CallerGone{Request: p.ID}) }

// Release releases the request. Later effects for it are dropped.
func (p *PendingRequest) Release() {
	p.engine.mu.Lock()
	delete(p.engine.requests, p.ID)
	p.engine.mu.Unlock()
}

// deliver passes an effect to the goroutine that serves the request.
func (e *Engine) deliver(id uint64, f notch.Effect) {
	e.mu.Lock()
	ch := e.requests[id]
	e.mu.Unlock()
	if ch != nil {
		ch <- f
	}
}

// laneOf returns the lane that owns a pool.
func (e *Engine) laneOf(pool string) *loop {
	h := fnv.New32a()
	h.Write([]byte(pool))
	return e.lanes[int(h.Sum32())%len(e.lanes)]
}
