package fake

import (
	"fmt"
	"time"

	notch "tamaracknotch"
)

// editRecord is an edit as its operator observed it.
type editRecord struct {
	id         string
	base       uint64
	content    string // path of its only route
	startedAt  time.Duration
	answeredAt time.Duration // when the first answer arrived; zero: none yet
	result     notch.EditResult
}

// editModel is a naive model of the table "routes", independent of the system. It
// records the edits that operators sent and the answers that they got, and doesn't
// model replicas.
type editModel struct {
	edits             map[string]*editRecord
	acceptedByVersion map[uint64]*editRecord // accepted edits by version
	highestAccepted   uint64                 // greatest accepted version that an operator knows
	errs              []string
}

func newEditModel() *editModel {
	return &editModel{edits: map[string]*editRecord{}, acceptedByVersion: map[uint64]*editRecord{}}
}

func (m *editModel) reportViolation(format string, args ...any) {
	m.errs = append(m.errs, fmt.Sprintf(format, args...))
}

// checkAnswer checks an answer to the first send or to a resend of an edit.
// VersionAtStart is the greatest accepted version that an operator knew at the send,
// or zero for a resend.
func (m *editModel) checkAnswer(e *editRecord, versionAtStart uint64, now time.Duration, r notch.EditResult) {
	if e.answeredAt != 0 {
		if e.result.Outcome != r.Outcome || e.result.Version != r.Version {
			m.reportViolation("edit %s was answered %s %d, then %s %d", e.id, e.result.Outcome, e.result.Version, r.Outcome, r.Version)
		}
		return
	}
	e.answeredAt, e.result = now, r
	switch r.Outcome {
	case notch.EditAccepted:
		if r.Version != e.base+1 {
			m.reportViolation("edit %s on version %d was accepted as %d", e.id, e.base, r.Version)
		}
		if other := m.acceptedByVersion[r.Version]; other != nil {
			m.reportViolation("edits %s and %s were both accepted as version %d", other.id, e.id, r.Version)
		}
		m.acceptedByVersion[r.Version] = e
		m.highestAccepted = max(m.highestAccepted, r.Version)
	case notch.EditConflict:
		if r.Version == e.base {
			m.reportViolation("edit %s conflicts with its own base %d", e.id, e.base)
		}
	default:
		m.reportViolation("edit %s: outcome %s", e.id, r.Outcome)
	}
	// A version that an operator knew before the edit started precedes the edit.
	if r.Version < versionAtStart {
		m.reportViolation("edit %s was answered with version %d, although an operator knew version %d before it started", e.id, r.Version, versionAtStart)
	}
}

// versionAcceptedBy returns the greatest version whose edit was answered as accepted
// before t.
func (m *editModel) versionAcceptedBy(t time.Duration) uint64 {
	greatest := uint64(0)
	for version, e := range m.acceptedByVersion {
		if e.answeredAt < t {
			greatest = max(greatest, version)
		}
	}
	return greatest
}

// checkFinalTables compares the tables at the end of the test with the answers that
// operators got.
func (m *editModel) checkFinalTables(t notch.Tables) {
	if t.RoutesVersion < m.highestAccepted {
		m.reportViolation("the tables end at version %d, but %d was accepted", t.RoutesVersion, m.highestAccepted)
	}
	if e := m.acceptedByVersion[t.RoutesVersion]; e != nil && t.Routes[0].Path != e.content {
		m.reportViolation("version %d holds %q, but edit %s put %q", t.RoutesVersion, t.Routes[0].Path, e.id, e.content)
	}
}
