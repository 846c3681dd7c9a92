package table

import (
	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// editHistory holds the outcomes of the edits of the last notch.EditTTL, at most
// maxEdits of them, so that a resent edit gets its first answer.
type editHistory struct {
	byID  *immutable.Map[string, notch.EditRecord]
	order *immutable.List[string] // oldest first
}

func newEditHistory() editHistory {
	return editHistory{byID: immutable.NewMap[string, notch.EditRecord](nil), order: immutable.NewList[string]()}
}

func (h editHistory) get(id string) (notch.EditResult, bool) {
	r, ok := h.byID.Get(id)
	return r.Result, ok
}

// with returns h with r added. It drops the oldest edits while there are more than
// maxEdits or they are more than notch.EditTTL older than r.
func (h editHistory) with(r notch.EditRecord) editHistory {
	h.byID = h.byID.Set(r.ID, r)
	h.order = h.order.Append(r.ID)
	for h.order.Len() > 0 {
		oldest, _ := h.byID.Get(h.order.Get(0))
		if r.At.Sub(oldest.At) <= notch.EditTTL && h.order.Len() <= maxEdits {
			break
		}
		h.byID = h.byID.Delete(oldest.ID)
		h.order = h.order.Slice(1, h.order.Len())
	}
	return h
}

// records returns the edits, oldest first.
func (h editHistory) records() []notch.EditRecord {
	var out []notch.EditRecord
	for it := h.order.Iterator(); !it.Done(); {
		_, id := it.Next()
		r, _ := h.byID.Get(id)
		out = append(out, r)
	}
	return out
}
