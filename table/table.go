// Package table is the part that holds the two tables which operators edit, and
// the rules that an edit has to keep.
package table

import (
	notch "tamaracknotch"
)

// maxEdits bounds the remembered edits, at some seven days of a busy site.
const maxEdits = 50_000

// stamp says who set a version of a table, and when.
type stamp struct {
	by string
	at notch.Time
}

// Part holds the tables. On a replica it applies committed edits. What the leader
// tells is kept apart from that: it may be ahead of this replica's log, and must
// not mix with the state that every replica computes alike.
type Part struct {
	tables  notch.Tables // by the log
	inForce notch.Tables // the latest, by the log or by the leader
	routes  stamp
	pools   stamp
	edits   edits
}

// New returns empty tables at revision 0.
func New() Part { return Part{edits: newEdits()} }

// Tables returns the revision in force.
func (p Part) Tables() notch.Tables { return p.inForce }

// Step implements [notch.Part].
func (p Part) Step(e notch.Event) (notch.Part, []notch.Effect) {
	switch b := e.Body.(type) {
	case notch.Committed:
		return p.apply(b.Entry)
	case notch.Restored:
		return p.restore(b.Snapshot)
	case notch.TablesLearned:
		return p.enforce(b.Tables)
	}
	return p, nil
}

// enforce puts tables in force. Only a later revision is taken, so that none ever
// reverts.
func (p Part) enforce(t notch.Tables) (Part, []notch.Effect) {
	if t.Revision <= p.inForce.Revision {
		return p, nil
	}
	p.inForce = t
	applied := notch.TablesApplied{Tables: t}
	return p, []notch.Effect{notch.Emit{Body: applied}, notch.ToLanes{Body: applied}}
}

// committed tells the other parts of the tables by the log.
func (p Part) committed() (Part, []notch.Effect) {
	out := []notch.Effect{notch.Emit{Body: notch.TablesCommitted{Tables: p.tables}}}
	p, more := p.enforce(p.tables)
	return p, append(out, more...)
}

func (p Part) apply(e notch.Entry) (notch.Part, []notch.Effect) {
	var r notch.Result
	var out []notch.Effect
	switch c := e.Command.(type) {
	case notch.Barrier:
		r = notch.TablesResult{Tables: p.tables}
	case notch.EditTable:
		before := p.tables.Revision
		p, r = p.edit(c, e.At)
		if p.tables.Revision != before {
			p, out = p.committed()
		}
	case notch.ReplaceTables:
		before := p.tables.Revision
		p, r = p.replace(c, e.At)
		if p.tables.Revision != before {
			p, out = p.committed()
		}
	case notch.Noop, notch.ChangeReplicas:
		r = notch.Done{}
	default:
		return p, nil
	}
	return p, append(out, notch.Emit{Body: notch.Applied{Origin: e.Origin, Ticket: e.Ticket, Result: r}})
}

// edit returns p after c, and the answer. An edit id that was seen before gets
// its first answer.
func (p Part) edit(c notch.EditTable, at notch.Time) (Part, notch.EditResult) {
	if r, ok := p.edits.get(c.ID); ok {
		return p, r
	}
	if c.Base != p.tables.Version(c.Table) {
		return p.answer(c, at, notch.EditConflict, nil)
	}
	next := p.tables.WithPools(c.Pools)
	if c.Table == notch.RoutesTable {
		next = p.tables.WithRoutes(c.Routes)
	}
	if fields := Validate(c.Table, next); len(fields) > 0 {
		return p.answer(c, at, notch.EditInvalid, fields)
	}
	p.tables = next
	if c.Table == notch.RoutesTable {
		p.routes = stamp{c.By, at}
	} else {
		p.pools = stamp{c.By, at}
	}
	return p.answer(c, at, notch.EditAccepted, nil)
}

// replace returns p after a document, and the answer. A version that isn't above the
// one in force is accepted and changes nothing.
func (p Part) replace(c notch.ReplaceTables, at notch.Time) (Part, notch.EditResult) {
	next := p.tables.WithDocument(c)
	if fields := ValidateDocument(next); len(fields) > 0 {
		return p, notch.EditResult{Outcome: notch.EditInvalid, Version: p.tables.DocumentVersion, At: at, Fields: fields}
	}
	if c.Version > p.tables.DocumentVersion {
		p.tables = next
		p.routes, p.pools = stamp{documentAuthor, at}, stamp{documentAuthor, at}
	}
	return p, notch.EditResult{
		Outcome: notch.EditAccepted, Version: p.tables.DocumentVersion, Revision: p.tables.Revision, By: documentAuthor, At: at,
	}
}

// documentAuthor is the author of tables that were set from a document.
const documentAuthor = "document"

func (p Part) answer(c notch.EditTable, at notch.Time, o notch.EditOutcome, fields []notch.FieldError) (Part, notch.EditResult) {
	by := p.pools
	if c.Table == notch.RoutesTable {
		by = p.routes
	}
	r := notch.EditResult{
		Outcome: o, Version: p.tables.Version(c.Table), Revision: p.tables.Revision,
		By: by.by, At: by.at, Fields: fields,
	}
	p.edits = p.edits.with(notch.EditRecord{ID: c.ID, At: at, Result: r})
	return p, r
}

// Image implements [notch.ReplicatedPart].
func (p Part) Image() notch.Image {
	return notch.TablesImage{
		Tables: p.tables, RoutesBy: p.routes.by, RoutesAt: p.routes.at,
		PoolsBy: p.pools.by, PoolsAt: p.pools.at, Edits: p.edits.records(),
	}
}

func (p Part) restore(s notch.Snapshot) (notch.Part, []notch.Effect) {
	for _, im := range s.Images {
		t, ok := im.(notch.TablesImage)
		if !ok {
			continue
		}
		p.tables = t.Tables
		p.routes, p.pools = stamp{t.RoutesBy, t.RoutesAt}, stamp{t.PoolsBy, t.PoolsAt}
		p.edits = newEdits()
		for _, r := range t.Edits {
			p.edits = p.edits.with(r)
		}
	}
	return p.committed()
}
