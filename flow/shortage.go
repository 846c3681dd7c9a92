package flow

import (
	"slices"

	notch "tamaracknotch"
)

// shortage is a demand that fits on no agent of a pool. As free resources and headroom don't grow
// during a plan, a demand that is at least as high doesn't fit either.
type shortage struct {
	label         string
	size          notch.Resources
	opportunistic bool
	image         string // of opportunistic tasks, as headroom depends on it
}

func shortageOf(st notch.Stage) shortage {
	out := shortage{label: st.Label, size: st.Size, opportunistic: st.Fills}
	if st.Fills {
		out.image = st.Image
	}
	return out
}

// includes reports whether a demand o is at least as high as s.
func (s shortage) includes(o shortage) bool {
	return (s.label == "" || s.label == o.label) && s.opportunistic == o.opportunistic && s.image == o.image && s.size.Fits(o.size)
}

// maxShortages limits the number of shortages that a plan remembers for a pool.
const maxShortages = 64

// shortages are the lowest demands that fit on no agent of a pool.
type shortages []shortage

// with returns l with one more shortage. It modifies l.
func (l shortages) with(s shortage) shortages {
	l = slices.DeleteFunc(l, s.includes)
	if len(l) == maxShortages {
		return l
	}
	return append(l, s)
}

// include reports whether a stage demands at least as much as one of the shortages.
func (l shortages) include(st notch.Stage) bool {
	o := shortageOf(st)
	return slices.ContainsFunc(l, func(s shortage) bool { return s.includes(o) })
}
