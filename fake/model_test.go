package fake

import (
	"fmt"
	"time"

	notch "tamaracknotch"
)

// editRecord is one edit as its operator saw it.
type editRecord struct {
	id      string
	base    uint64
	content string // the path of its one route
	begun   time.Duration
	known   time.Duration // when the first answer came; zero: none yet
	result  notch.EditResult
}

// model is a naive account of the table routes, kept apart from the system: what
// operators sent and were told. It knows nothing of replicas.
type model struct {
	edits   map[string]*editRecord
	byVer   map[uint64]*editRecord // accepted, by version
	highest uint64                 // accepted version that some operator knows
	errs    []string
}

func newModel() *model {
	return &model{edits: map[string]*editRecord{}, byVer: map[uint64]*editRecord{}}
}

func (m *model) fail(format string, args ...any) {
	m.errs = append(m.errs, fmt.Sprintf(format, args...))
}

// answer takes one answer to an edit, the first or one to a resend.
func (m *model) answer(e *editRecord, begunKnowing uint64, now time.Duration, r notch.EditResult) {
	if e.known != 0 {
		if e.result.Outcome != r.Outcome || e.result.Version != r.Version {
			m.fail("edit %s was answered %s %d, then %s %d", e.id, e.result.Outcome, e.result.Version, r.Outcome, r.Version)
		}
		return
	}
	e.known, e.result = now, r
	switch r.Outcome {
	case notch.EditAccepted:
		if r.Version != e.base+1 {
			m.fail("edit %s on version %d was accepted as %d", e.id, e.base, r.Version)
		}
		if other := m.byVer[r.Version]; other != nil {
			m.fail("edits %s and %s were both accepted as version %d", other.id, e.id, r.Version)
		}
		m.byVer[r.Version] = e
		m.highest = max(m.highest, r.Version)
	case notch.EditConflict:
		if r.Version == e.base {
			m.fail("edit %s conflicts with its own base %d", e.id, e.base)
		}
	default:
		m.fail("edit %s: outcome %s", e.id, r.Outcome)
	}
	// What an operator knew before the edit began must have come before it.
	if r.Version < begunKnowing {
		m.fail("edit %s was answered with version %d after %d was known", e.id, r.Version, begunKnowing)
	}
}

// settle checks the tables at the end against what operators were told.
func (m *model) settle(t notch.Tables) {
	if t.RoutesVersion < m.highest {
		m.fail("the tables end at version %d, but %d was accepted", t.RoutesVersion, m.highest)
	}
	if e := m.byVer[t.RoutesVersion]; e != nil && t.Routes[0].Path != e.content {
		m.fail("version %d holds %q, but edit %s put %q", t.RoutesVersion, t.Routes[0].Path, e.id, e.content)
	}
}
