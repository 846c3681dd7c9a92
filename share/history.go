package share

import (
	"slices"

	notch "tamaracknotch"
)

// tablesHistory holds the latest tables and the changes that led to them, so that an entry
// with an earlier revision needs only the changes since. The changes are the same values for
// all entries, so that the link can encode each of them once.
type tablesHistory struct {
	tables  notch.Tables          // without the text of the document
	whole   *notch.TablesChange   // from any revision to the latest
	changes []*notch.TablesChange // each from the revision of the one before, the latest last
}

// maxChanges limits the number of changes that are kept.
const maxChanges = 64

// with returns h with later tables.
func (h tablesHistory) with(t notch.Tables) tablesHistory {
	t = t.WithoutDocument()
	whole := notch.Tables{}.ChangeTo(t)
	next := tablesHistory{tables: t, whole: &whole}
	if h.tables.Revision == 0 || t.Revision <= h.tables.Revision {
		return next
	}
	latest := h.tables.ChangeTo(t)
	next.changes = latestChanges(append(slices.Clip(h.changes), &latest), whole.Rows())
	return next
}

// latestChanges returns the latest changes that have at most the given number of rows together: an
// entry that needs more of them is better served by the whole tables.
func latestChanges(changes []*notch.TablesChange, maxRows int) []*notch.TablesChange {
	first, rows := len(changes), 0
	for first > 0 && len(changes)-first < maxChanges {
		rows += changes[first-1].Rows()
		if rows > maxRows {
			break
		}
		first--
	}
	return slices.Clone(changes[first:])
}

// since returns the changes from a revision to the latest one: those made since, if they are
// known, or the whole tables.
func (h tablesHistory) since(revision uint64) []*notch.TablesChange {
	if revision >= h.tables.Revision {
		return nil
	}
	i := slices.IndexFunc(h.changes, func(c *notch.TablesChange) bool { return c.From == revision })
	if i < 0 {
		return []*notch.TablesChange{h.whole}
	}
	return h.changes[i:]
}
