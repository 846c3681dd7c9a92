package table

import (
	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// edits remembers the outcomes of edits by their id, for notch.EditTTL.
type edits struct {
	byID  *immutable.Map[string, notch.EditRecord]
	order *immutable.List[string] // oldest first
}

func newEdits() edits {
	return edits{byID: immutable.NewMap[string, notch.EditRecord](nil), order: immutable.NewList[string]()}
}

func (e edits) get(id string) (notch.EditResult, bool) {
	r, ok := e.byID.Get(id)
	return r.Result, ok
}

// with adds r and forgets what is older than notch.EditTTL before it.
func (e edits) with(r notch.EditRecord) edits {
	e.byID = e.byID.Set(r.ID, r)
	e.order = e.order.Append(r.ID)
	for e.order.Len() > 0 {
		oldest, _ := e.byID.Get(e.order.Get(0))
		if r.At.Sub(oldest.At) <= notch.EditTTL && e.order.Len() <= maxEdits {
			break
		}
		e.byID = e.byID.Delete(oldest.ID)
		e.order = e.order.Slice(1, e.order.Len())
	}
	return e
}

func (e edits) records() []notch.EditRecord {
	var out []notch.EditRecord
	for it := e.order.Iterator(); !it.Done(); {
		_, id := it.Next()
		r, _ := e.byID.Get(id)
		out = append(out, r)
	}
	return out
}
