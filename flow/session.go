package flow

import (
	"cmp"
	"strconv"
	"strings"

	notch "tamaracknotch"
	"tamaracknotch/lease"
)

// contact is what the leader knows of one life of an agent from talking to it.
type contact struct {
	life   notch.Life
	token  uint64 // of every order to this life
	book   lease.Book
	asked  notch.Time // when the hold that isn't answered yet was sent; zero: none
	heard  notch.Time // when the last hold was answered; zero: none was
	due    notch.Time // no hold is sent before
	silent int        // holds in a row that brought no lists
	listed uint64     // ends up to here were proposed
	acked  uint64     // ends up to here are committed
	paused notch.Time // no new work before
	ended  notch.Time // when the end of all its runs was last proposed
	stale  notch.Time // until then orders to a former life may take effect in this one
	leftAt notch.Time // when it was seen to have left; zero: it hasn't
}

// start is what is known of the orders about one run.
type start struct {
	outcome  notch.AgentAnswerKind // of the start; empty: not answered yet
	done     notch.Time            // when the start's outcome came
	stopSent notch.Time            // zero: no stop is under way
	stopped  notch.Time            // when a stop was answered; zero: none was
}

// runFields are those of a log line about a run.
func runFields(ref notch.RunRef, agent, outcome string) []notch.Field {
	return []notch.Field{
		field("request-id", ref.Task.Flow), field("task", ref.Task.String()),
		field("run", strconv.FormatUint(ref.Number, 10)), field("agent", agent), field("outcome", outcome),
	}
}

type runRefs struct{}

// Hash implements immutable.Hasher.
func (runRefs) Hash(r notch.RunRef) uint32 {
	h := uint64(r.Task.Round)<<32 ^ uint64(r.Task.Stage)<<24 ^ uint64(r.Task.Index)<<8 ^ r.Number
	for _, c := range []byte(r.Task.Flow) {
		h = h*31 + uint64(c)
	}
	return uint32(notch.Mix(h))
}

// Equal implements immutable.Hasher.
func (runRefs) Equal(a, b notch.RunRef) bool { return a == b }

func compareRefs(a, b notch.RunRef) int {
	return cmp.Or(strings.Compare(a.Task.Flow, b.Task.Flow), cmp.Compare(a.Task.Round, b.Task.Round),
		cmp.Compare(a.Task.Stage, b.Task.Stage), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Number, b.Number))
}
