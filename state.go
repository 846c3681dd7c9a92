package notch

import "slices"

// Part is an immutable piece of state together with its reducer. Parts don't
// refer to each other; a part informs the others by an [Emit] effect.
type Part interface {
	// Step returns the part after e, and the effects to carry out. The returned part is
	// nil if e leaves the part unchanged, so that such events cost no allocation.
	Step(e Event) (next Part, effects []Effect)
}

// ReplicatedPart is a part that belongs to the replicated state.
type ReplicatedPart interface {
	Part
	// Snapshot returns the snapshot of this part.
	Snapshot() PartSnapshot
}

// State is the whole state of one reducer: that of the control loop or of a lane.
type State struct{ parts []Part }

// NewState returns a state of the given parts. Each event reaches the parts in
// this order.
func NewState(parts ...Part) State { return State{parts: slices.Clone(parts)} }

// Parts returns the parts of s, for dumps and tests.
func (s State) Parts() []Part { return slices.Clone(s.parts) }

// Step is the reducer: it returns the state after e, and the effects to carry
// out. It is a pure function. Events that parts emit are reduced within the same
// step, before all events that were pending when they were emitted. Thus the
// consequences of one committed log entry are complete before the next entry is
// applied, on every replica alike.
func Step(s State, e Event) (State, []Effect) {
	s.parts = slices.Clone(s.parts)
	pending, out := s.reduce(Event{At: e.At, UnixMilli: e.UnixMilli, Seed: HashSeed(e.Seed), Body: e.Body})
	slices.Reverse(pending)
	for n := uint64(1); len(pending) > 0; n++ {
		body := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if due, ok := body.(SnapshotDue); ok {
			body = SnapshotTaken{s.snapshot(due)}
		}
		emitted, effects := s.reduce(Event{At: e.At, UnixMilli: e.UnixMilli, Seed: HashSeed(e.Seed + n), Body: body})
		out = append(out, effects...)
		slices.Reverse(emitted)
		pending = append(pending, emitted...)
	}
	return s, out
}

// reduce passes e to every part. It modifies s.parts, which Step has cloned.
func (s State) reduce(e Event) (emitted []Body, out []Effect) {
	for i, p := range s.parts {
		next, effects := p.Step(e)
		if next != nil {
			s.parts[i] = next
		}
		// A state of one part, such as that of a lane, mostly emits nothing: the effects need no copy.
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

// snapshot collects the snapshots of the replicated parts.
func (s State) snapshot(due SnapshotDue) Snapshot {
	snap := Snapshot{Index: due.Index, Term: due.Term, Replicas: due.Replicas}
	for _, p := range s.parts {
		if replicated, ok := p.(ReplicatedPart); ok {
			snap.Images = append(snap.Images, replicated.Snapshot())
		}
	}
	return snap
}

// HashSeed hashes x with the finalizer of splitmix64, so that similar seeds give
// unrelated values.
func HashSeed(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// SeededIndex returns a value in [0, n) drawn from seed.
func SeededIndex(seed uint64, n int) int {
	if n <= 1 {
		return 0
	}
	return int(HashSeed(seed) % uint64(n))
}
