package flow

import (
	"slices"

	notch "tamaracknotch"
)

// demandKind is what a stage requires of an agent besides resources. Headroom depends on the image,
// so that opportunistic tasks of different images aren't comparable. The limit of runs per agent
// counts the runs of one round's stage, so that no other stage is comparable.
type demandKind struct {
	label         string
	opportunistic bool
	image         string        // of opportunistic tasks
	throttled     bool          // throttled tasks have a limit of their own
	limited       notch.TaskRef // stage with a limit of runs per agent, the Index is 0; zero: the limit doesn't matter
}

func demandKindOf(st *notch.Stage) demandKind {
	out := demandKind{label: st.Label, opportunistic: st.Fills}
	if st.Fills {
		out.image = st.Image
	}
	return out
}

// withoutLabel returns the demand that agents with any labels can meet.
func (k demandKind) withoutLabel() demandKind {
	k.label = ""
	return k
}

// withLimitOf returns the demand that agents can meet which don't have the limit of a stage's runs.
func (k demandKind) withLimitOf(stage notch.TaskRef) demandKind {
	k.limited = stage
	return k
}

// shortage is a demand that fitted on no agent of a pool. As free resources and headroom don't grow
// unless the agent gains some, a demand that is at least as high doesn't fit either, but on agents
// that have gained some since. An agent on which a run of a stage has ended has gained some too.
type shortage struct {
	size notch.Resources
	plan uint64 // number of the plan that found it
}

// maxShortagesPerKind limits the number of shortages that are remembered for a kind of demand.
const maxShortagesPerKind = 32

// shortages are the lowest demands of one kind that fitted on no agent of a pool. Values are
// immutable.
type shortages struct {
	list     []shortage
	lookedAt uint64 // number of the latest plan with a group of this kind
}

// with returns l with a shortage that the latest plan found.
func (l shortages) with(s shortage) shortages {
	kept := slices.DeleteFunc(slices.Clone(l.list), func(o shortage) bool { return s.size.Fits(o.size) })
	if len(kept) == maxShortagesPerKind {
		oldest := slices.MinFunc(kept, func(a, b shortage) int { return int(a.plan) - int(b.plan) })
		kept = slices.DeleteFunc(kept, func(o shortage) bool { return o == oldest })
	}
	l.list = append(kept, s)
	return l
}

// latest returns the number of the latest plan in which a demand of at most the given size fitted
// on no agent, or 0.
func (l shortages) latest(size notch.Resources) uint64 {
	plan := uint64(0)
	for _, s := range l.list {
		if s.plan > plan && s.size.Fits(size) {
			plan = s.plan
		}
	}
	return plan
}
