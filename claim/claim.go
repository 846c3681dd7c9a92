// Package claim is the part that remembers which non-idempotent requests were
// claimed, so that a caller's resend through another entry doesn't run the
// request again.
package claim

import (
	"github.com/benbjohnson/immutable"

	notch "tamaracknotch"
)

// Part holds the claims of the last notch.ClaimTTL.
type Part struct {
	byID  *immutable.Map[string, notch.ClaimRecord]
	order *immutable.List[notch.ClaimRecord] // oldest first; may hold released ones
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
	return p, nil
}

func (p Part) apply(e notch.Entry) (notch.Part, []notch.Effect) {
	var r notch.Result
	switch c := e.Command.(type) {
	case notch.ClaimRequest:
		p = p.expire(e.At)
		p, r = p.claim(notch.ClaimRecord{ID: c.ID, Entry: c.Entry, Token: c.Token, At: e.At})
	case notch.ReleaseClaim:
		p, r = p.release(c), notch.Done{}
	default:
		return p, nil
	}
	return p, []notch.Effect{notch.Emit{Body: notch.Applied{Origin: e.Origin, Ticket: e.Ticket, Result: r}}}
}

func (p Part) claim(c notch.ClaimRecord) (Part, notch.ClaimResult) {
	held, ok := p.byID.Get(c.ID)
	if ok {
		return p, notch.ClaimResult{Granted: held.Token == c.Token && held.Entry == c.Entry, Entry: held.Entry}
	}
	p.byID = p.byID.Set(c.ID, c)
	p.order = p.order.Append(c)
	return p, notch.ClaimResult{Granted: true, Entry: c.Entry}
}

func (p Part) release(c notch.ReleaseClaim) Part {
	if held, ok := p.byID.Get(c.ID); ok && held.Token == c.Token {
		p.byID = p.byID.Delete(c.ID)
	}
	return p
}

func (p Part) expire(now notch.Time) Part {
	for p.order.Len() > 0 {
		oldest := p.order.Get(0)
		if now.Sub(oldest.At) <= notch.ClaimTTL {
			return p
		}
		p.order = p.order.Slice(1, p.order.Len())
		if held, ok := p.byID.Get(oldest.ID); ok && held.Token == oldest.Token {
			p.byID = p.byID.Delete(oldest.ID)
		}
	}
	return p
}

// Image implements [notch.ReplicatedPart].
func (p Part) Image() notch.Image {
	var im notch.ClaimsImage
	for it := p.order.Iterator(); !it.Done(); {
		_, c := it.Next()
		if held, ok := p.byID.Get(c.ID); ok && held.Token == c.Token {
			im.Claims = append(im.Claims, c)
		}
	}
	return im
}

func (p Part) restore(s notch.Snapshot) Part {
	for _, im := range s.Images {
		claims, ok := im.(notch.ClaimsImage)
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
