// Package table implements the part that holds the two tables that operators edit.
// It also validates edits.
package table

import (
	notch "tamaracknotch"
)

// maxEdits limits the edits that are remembered. A busy installation makes that many
// in about seven days.
const maxEdits = 50_000

// lastEdit records who set the current version of a table, and when.
type lastEdit struct {
	author     string
	acceptedAt notch.Time // by the clock of the leader that proposed the edit
}

// Part holds the tables. On a replica it applies committed edits. Tables that the
// leader sends are kept apart from the committed ones: they may be ahead of this
// replica's log, and the committed tables must be the same on every replica.
type Part struct {
	committed  notch.Tables // from the replicated log
	inForce    notch.Tables // latest revision, from the log or from the leader
	routesEdit lastEdit
	poolsEdit  lastEdit
	history    editHistory
}

// New returns empty tables at revision 0.
func New() Part { return Part{history: newEditHistory()} }

// Tables returns the tables in force.
func (p Part) Tables() notch.Tables { return p.inForce }

// Step implements [notch.Part].
func (p Part) Step(e notch.Event) (notch.Part, []notch.Effect) {
	switch b := e.Body.(type) {
	case notch.Committed:
		return p.apply(b.Entry)
	case notch.Restored:
		return p.restore(b.Snapshot)
	case notch.TablesReceived:
		return p.putInForce(b.Tables)
	case notch.TablesChanged:
		next, ok := p.inForce.WithChanges(b.Changes)
		if !ok {
			return nil, nil
		}
		return p.putInForce(next)
	}
	return nil, nil
}

// putInForce puts t in force if its revision is later than the current one, so that
// tables never go back to an earlier revision.
func (p Part) putInForce(t notch.Tables) (Part, []notch.Effect) {
	if t.Revision <= p.inForce.Revision {
		return p, nil
	}
	p.inForce = t
	applied := notch.TablesInForce{Tables: t}
	return p, []notch.Effect{notch.Emit{Body: applied}, notch.ToLanes{Body: applied}}
}

// emitCommitted informs the other parts about new committed tables, and puts them in
// force.
func (p Part) emitCommitted() (Part, []notch.Effect) {
	out := []notch.Effect{notch.Emit{Body: notch.TablesCommitted{Tables: p.committed}}}
	p, applied := p.putInForce(p.committed)
	return p, append(out, applied...)
}

// apply applies a committed log entry. It ignores the commands of other parts.
func (p Part) apply(e notch.LogEntry) (notch.Part, []notch.Effect) {
	var result notch.Result
	var out []notch.Effect
	switch c := e.Command.(type) {
	case notch.Barrier:
		result = notch.TablesResult{Tables: p.committed}
	case notch.EditTable:
		before := p.committed.Revision
		p, result = p.edit(c, e.At)
		if p.committed.Revision != before {
			p, out = p.emitCommitted()
		}
	case notch.ReplaceTables:
		before := p.committed.Revision
		p, result = p.replace(c, e.At)
		if p.committed.Revision != before {
			p, out = p.emitCommitted()
		}
	case notch.Noop, notch.ChangeReplicas:
		result = notch.Done{}
	default:
		return nil, nil
	}
	return p, append(out, notch.Emit{Body: notch.Applied{Origin: e.Origin, Ticket: e.Ticket, Result: result}})
}

// edit returns p after the edit c, and its result. A resent edit gets the result of
// the first one.
func (p Part) edit(c notch.EditTable, at notch.Time) (Part, notch.EditResult) {
	if result, ok := p.history.get(c.ID); ok {
		return p, result
	}
	if c.Base != p.committed.Version(c.Table) {
		return p.record(c, at, notch.EditConflict, nil)
	}
	next := p.committed.WithPools(c.Pools)
	if c.Table == notch.RoutesTable {
		next = p.committed.WithRoutes(c.Routes)
	}
	if fields := Validate(c.Table, next); len(fields) > 0 {
		return p.record(c, at, notch.EditInvalid, fields)
	}
	p.committed = next
	if c.Table == notch.RoutesTable {
		p.routesEdit = lastEdit{c.By, at}
	} else {
		p.poolsEdit = lastEdit{c.By, at}
	}
	return p.record(c, at, notch.EditAccepted, nil)
}

// replace returns p after the document of c, and the result. A document whose version
// isn't higher than the current one is accepted and changes nothing.
func (p Part) replace(c notch.ReplaceTables, at notch.Time) (Part, notch.EditResult) {
	next := p.committed.WithDocument(c)
	if fields := ValidateDocument(next); len(fields) > 0 {
		return p, notch.EditResult{Outcome: notch.EditInvalid, Version: p.committed.DocumentVersion, At: at, Fields: fields}
	}
	if c.Version > p.committed.DocumentVersion {
		p.committed = next
		p.routesEdit, p.poolsEdit = lastEdit{documentAuthor, at}, lastEdit{documentAuthor, at}
	}
	return p, notch.EditResult{
		Outcome: notch.EditAccepted, Version: p.committed.DocumentVersion, Revision: p.committed.Revision, By: documentAuthor, At: at,
	}
}

// documentAuthor is shown as the author of tables that were set from a document.
const documentAuthor = "document"

// record adds the outcome of the edit c to the history, and returns the result.
func (p Part) record(c notch.EditTable, at notch.Time, outcome notch.EditOutcome, fields []notch.FieldError) (Part, notch.EditResult) {
	last := p.poolsEdit
	if c.Table == notch.RoutesTable {
		last = p.routesEdit
	}
	result := notch.EditResult{
		Outcome: outcome, Version: p.committed.Version(c.Table), Revision: p.committed.Revision,
		By: last.author, At: last.acceptedAt, Fields: fields,
	}
	p.history = p.history.with(notch.EditRecord{ID: c.ID, At: at, Result: result})
	return p, result
}

// Snapshot implements [notch.ReplicatedPart].
func (p Part) Snapshot() notch.PartSnapshot {
	return notch.TablesSnapshot{
		Tables: p.committed, RoutesBy: p.routesEdit.author, RoutesAt: p.routesEdit.acceptedAt,
		PoolsBy: p.poolsEdit.author, PoolsAt: p.poolsEdit.acceptedAt, Edits: p.history.records(),
	}
}

// restore replaces the replicated state by that of a snapshot.
func (p Part) restore(s notch.Snapshot) (notch.Part, []notch.Effect) {
	for _, part := range s.Images {
		t, ok := part.(notch.TablesSnapshot)
		if !ok {
			continue
		}
		p.committed = t.Tables
		p.routesEdit, p.poolsEdit = lastEdit{t.RoutesBy, t.RoutesAt}, lastEdit{t.PoolsBy, t.PoolsAt}
		p.history = newEditHistory()
		for _, r := range t.Edits {
			p.history = p.history.with(r)
		}
	}
	return p.emitCommitted()
}
