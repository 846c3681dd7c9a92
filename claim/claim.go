// Package claim implements the part that records which non-idempotent requests were
// claimed. When a caller resends a request through another entry, the claim keeps the
// request from running again.
package claim

import (
	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// Part holds the claims of the last notch.ClaimTTL.
type Part struct {
	byID  *immutable.Map[string, notch.ClaimRecord]
	order *immutable.List[notch.ClaimRecord] // oldest first; may contain released claims
}

// New returns a part without claims.
func New() Part {
	return Part{byID: immutable.NewMap[string, notch.ClaimRecord](nil), order: immutable.NewList[notch.ClaimRecord]()}
}

// Step implements [notch.Part].
func (p Part) Step(e notch.Event) (notch.Part, []notch.Effect) {
	switch b := e.Body.(type) {
	case notch.Committed:
		return p.apply(b.Entry)
	case notch.Restored:
		return p.restore(b.Snapshot), nil
	}
	return nil, nil
}

// apply applies a committed log entry. It ignores the commands of other parts.
func (p Part) apply(e notch.LogEntry) (notch.Part, []notch.Effect) {
	var result notch.Result
	switch c := e.Command.(type) {
	case notch.ClaimRequest:
		p = p.expire(e.At)
		p, result = p.claim(notch.ClaimRecord{ID: c.ID, Entry: c.Entry, Token: c.Token, At: e.At})
	case notch.ReleaseClaim:
		p, result = p.release(c), notch.Done{}
	default:
		return nil, nil
	}
	return p, []notch.Effect{notch.Emit{Body: notch.Applied{Origin: e.Origin, Ticket: e.Ticket, Result: result}}}
}

// claim adds the claim c unless its request is claimed already. A resent claim is
// granted again.
func (p Part) claim(c notch.ClaimRecord) (Part, notch.ClaimResult) {
	existing, ok := p.byID.Get(c.ID)
	if ok {
		return p, notch.ClaimResult{Granted: existing.Token == c.Token && existing.Entry == c.Entry, Entry: existing.Entry}
	}
	p.byID = p.byID.Set(c.ID, c)
	p.order = p.order.Append(c)
	return p, notch.ClaimResult{Granted: true, Entry: c.Entry}
}

// release removes a claim. Its position in order stays until it expires.
func (p Part) release(c notch.ReleaseClaim) Part {
	if existing, ok := p.byID.Get(c.ID); ok && existing.Token == c.Token {
		p.byID = p.byID.Delete(c.ID)
	}
	return p
}

// expire removes the claims that are older than notch.ClaimTTL.
func (p Part) expire(now notch.Time) Part {
	for p.order.Len() > 0 {
		oldest := p.order.Get(0)
		if now.Sub(oldest.At) <= notch.ClaimTTL {
			return p
		}
		p.order = p.order.Slice(1, p.order.Len())
		if existing, ok := p.byID.Get(oldest.ID); ok && existing.Token == oldest.Token {
			p.byID = p.byID.Delete(oldest.ID)
		}
	}
	return p
}

// Snapshot implements [notch.ReplicatedPart].
func (p Part) Snapshot() notch.PartSnapshot {
	var snap notch.ClaimsSnapshot
	for it := p.order.Iterator(); !it.Done(); {
		_, c := it.Next()
		if existing, ok := p.byID.Get(c.ID); ok && existing.Token == c.Token {
			snap.Claims = append(snap.Claims, c)
		}
	}
	return snap
}

// restore replaces the replicated state by that of a snapshot.
func (p Part) restore(s notch.Snapshot) Part {
	for _, part := range s.Images {
		claims, ok := part.(notch.ClaimsSnapshot)
		if !ok {
			continue
		}
		p = New()
		for _, c := range claims.Claims {
			p.byID = p.byID.Set(c.ID, c)
			p.order = p.order.Append(c)
		}
	}
	return p
}
