package engine

import (
	"hash/fnv"

	notch "tamaracknotch"
)

// Call is a caller's request on its way through a lane.
type Call struct {
	ID    uint64
	lane  *loop
	steps chan notch.Effect
	e     *Engine
}

// Start hands a request to the lane of its pool. Its ID is set here. End has to
// follow.
func (e *Engine) Start(r notch.Request) *Call {
	r.ID = e.requests.Add(1)
	c := &Call{ID: r.ID, lane: e.laneOf(r.Route.Pool), steps: make(chan notch.Effect, 8), e: e}
	e.mu.Lock()
	e.callers[r.ID] = c.steps
	e.mu.Unlock()
	c.lane.post(notch.RequestArrived{Request: r})
	return c
}

// Next delivers Dispatch and Refuse effects.
func (c *Call) Next() <-chan notch.Effect { return c.steps }

// Ended says how an attempt ended.
func (c *Call) Ended(a notch.AttemptEnded) {
	a.Request = c.ID
	c.lane.post(a)
}

// Abandon says that the caller went away while the request waited.
func (c *Call) Abandon() { c.lane.post(notch.CallerGone{Request: c.ID}) }

// End forgets the request.
func (c *Call) End() {
	c.e.mu.Lock()
	delete(c.e.callers, c.ID)
	c.e.mu.Unlock()
}

func (e *Engine) toCaller(id uint64, f notch.Effect) {
	e.mu.Lock()
	ch := e.callers[id]
	e.mu.Unlock()
	if ch != nil {
		ch <- f
	}
}

func (e *Engine) laneOf(pool string) *loop {
	h := fnv.New32a()
	h.Write([]byte(pool))
	return e.lanes[int(h.Sum32())%len(e.lanes)]
}
