package notch

import "slices"

// Part is an immutable piece of state with its reducer. Parts don't know each
// other: one tells the others by an [Emit] effect.
type Part interface {
	// Step returns the part after e and what is to be done.
	Step(e Event) (Part, []Effect)
}

// ReplicatedPart is a part that belongs to the replicated state.
type ReplicatedPart interface {
	Part
	// Image returns what a snapshot has to hold of the part.
	Image() Image
}

// State is the whole state of one reducer: that of the control loop or of a lane.
type State struct{ parts []Part }

// NewState returns a state of the given parts. An event reaches them in this order.
func NewState(parts ...Part) State { return State{parts: slices.Clone(parts)} }

// Parts returns the parts of s, for dumps and tests.
func (s State) Parts() []Part { return slices.Clone(s.parts) }

// Step is the reducer: it returns the state after e, and what is to be done
// about it. It is a pure function. Events that parts emit are reduced within the
// same step and before anything that was pending when they were emitted: what
// follows from one committed entry is thus complete before the next is applied,
// on every replica alike.
func Step(s State, e Event) (State, []Effect) {
	s.parts = slices.Clone(s.parts)
	pending, out := s.reduce(Event{At: e.At, Wall: e.Wall, Seed: Mix(e.Seed), Body: e.Body})
	slices.Reverse(pending)
	for n := uint64(1); len(pending) > 0; n++ {
		body := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if due, ok := body.(SnapshotDue); ok {
			body = SnapshotTaken{s.snapshot(due)}
		}
		emitted, effects := s.reduce(Event{At: e.At, Wall: e.Wall, Seed: Mix(e.Seed + n), Body: body})
		out = append(out, effects...)
		slices.Reverse(emitted)
		pending = append(pending, emitted...)
	}
	return s, out
}

// reduce hands e to every part. It modifies s.parts, which Step has cloned.
func (s State) reduce(e Event) (emitted []Body, out []Effect) {
	for i, p := range s.parts {
		next, effects := p.Step(e)
		s.parts[i] = next
		if len(s.parts) == 1 && !slices.ContainsFunc(effects, isEmit) {
			return nil, effects
		}
		for _, f := range effects {
			if f, ok := f.(Emit); ok {
				emitted = append(emitted, f.Body)
				continue
			}
			out = append(out, f)
		}
	}
	return emitted, out
}

func isEmit(f Effect) bool {
	_, ok := f.(Emit)
	return ok
}

func (s State) snapshot(due SnapshotDue) Snapshot {
	snap := Snapshot{Index: due.Index, Term: due.Term, Replicas: due.Replicas}
	for _, p := range s.parts {
		if r, ok := p.(ReplicatedPart); ok {
			snap.Images = append(snap.Images, r.Image())
		}
	}
	return snap
}

// Mix scrambles x, so that nearby seeds give unrelated values (splitmix64).
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Pick returns a value in [0, n) drawn from seed.
func Pick(seed uint64, n int) int {
	if n <= 1 {
		return 0
	}
	return int(Mix(seed) % uint64(n))
}
