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
	c := &PendingRequest{ID: r.ID, lane: e.laneOf(r.Route.Pool), effects: make(chan notch.Effect, 8), engine: e}
	e.mu.Lock()
	e.requests[r.ID] = c.effects
	e.mu.Unlock()
	c.lane.post(notch.RequestArrived{Request: r})
	return c
}

// Effects returns the channel of the request's Dispatch and Refuse effects.
func (c *PendingRequest) Effects() <-chan notch.Effect { return c.effects }

// ReportAttempt reports to the lane how an attempt ended.
func (c *PendingRequest) ReportAttempt(a notch.AttemptEnded) {
	a.Request = c.ID
	c.lane.post(a)
}

// Abandon reports to the lane that the caller disconnected while the request waited.
func (c *PendingRequest) Abandon() { c.lane.post(notch.CallerGone{Request: c.ID}) }

// Release releases the request. Later effects for it are dropped.
func (c *PendingRequest) Release() {
	c.engine.mu.Lock()
	delete(c.engine.requests, c.ID)
	c.engine.mu.Unlock()
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
