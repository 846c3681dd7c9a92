package share

import (
	"maps"
	"slices"

	notch "tamaracknotch"
)

// Entry is the part that keeps one entry's lease.
type Entry struct {
	self    notch.Daemon
	timing  Timing
	leader  string
	term    uint64                // highest known
	seq     uint64                // of the last grant applied, in term; zero: none
	issued  uint64                // of the last SlotsGranted handed to the lanes
	revised uint64                // revision in force
	voters  []string              // as the last grant named them
	known   []string              // daemons with a data folder that were linked, to ask before that
	hinted  map[string]notch.Time // replicas that knew no leader when asked at that instant

	until     notch.Time
	granted   notch.Time             // when the last grant of a leader was asked for
	caps      map[notch.ServerID]int // granted by grant seq; never modified
	full      bool                   // the leader asked for all holds
	laneCount int
	lanes     map[int]notch.LaneLoad
	reported  notch.Time
	queried   notch.Time
	lastTotal int
	entries   int
	leased    bool
	stopping  bool
}

// EntryOption adjusts a new Entry.
type EntryOption func(*Entry)

// WithEntryTiming replaces DefaultTiming.
func WithEntryTiming(t Timing) EntryOption { return func(e *Entry) { e.timing = t } }

// NewEntry returns an entry of the given number of lanes, without a lease.
func NewEntry(self notch.Daemon, lanes int, opts ...EntryOption) Entry {
	e := Entry{self: self, timing: DefaultTiming, laneCount: lanes}
	for _, opt := range opts {
		opt(&e)
	}
	return e
}

// Until returns when the lease ends.
func (p Entry) Until() notch.Time { return p.until }

// Step implements [notch.Part].
func (p Entry) Step(e notch.Event) (notch.Part, []notch.Effect) {
	switch b := e.Body.(type) {
	case notch.Tick:
		return p.tick(e.At)
	case notch.LeaderChanged:
		return p.leaderChanged(b), nil
	case notch.TablesApplied:
		p.revised = b.Tables.Revision
		return p.report(e.At)
	case notch.PeerUp:
		return p.peerUp(b.Hello), nil
	case notch.LaneLoad:
		return p.laneLoad(e.At, b)
	case notch.ShutdownStarted:
		p.stopping = true
		if p.leader != "" {
			return p, []notch.Effect{notch.Send{To: p.leader, Message: notch.Goodbye{}}}
		}
	case notch.MessageReceived:
		switch m := b.Message.(type) {
		case notch.EntryGrant:
			return p.onGrant(e.At, b.From, m)
		case notch.LeaderHint:
			return p.onHint(e.At, b.From, m)
		}
	}
	return p, nil
}

func (p Entry) peerUp(h notch.Hello) Entry {
	if h.Storage != 0 && !slices.Contains(p.known, h.Daemon.Name) {
		p.known = append(slices.Clip(p.known), h.Daemon.Name)
	}
	return p
}

func (p Entry) leaderChanged(b notch.LeaderChanged) Entry {
	if b.Term < p.term {
		return p
	}
	if b.Term > p.term {
		p.seq = 0
	}
	p.leader, p.term = b.Leader, b.Term
	return p
}

func (p Entry) tick(now notch.Time) (notch.Part, []notch.Effect) {
	var out []notch.Effect
	if p.leased && !now.Before(p.until) {
		p.leased = false
		out = append(out, p.notice("lease ended: requests are refused until control answers"))
	}
	if now.Sub(p.reported) >= p.timing.Report {
		next, more := p.report(now)
		p = next.(Entry)
		out = append(out, more...)
	}
	next, more := p.query(now)
	return next, append(out, more...)
}

// query asks the replicas who leads, when no leader has answered lately.
func (p Entry) query(now notch.Time) (notch.Part, []notch.Effect) {
	fresh := p.granted != 0 && now.Sub(p.granted) < p.timing.Lease/3
	if fresh || now.Sub(p.queried) < p.timing.Lease/6 {
		return p, nil
	}
	p.queried = now
	ask := p.voters
	if len(ask) == 0 {
		ask = p.known
	}
	var out []notch.Effect
	for _, v := range ask {
		out = append(out, notch.Send{To: v, Message: notch.LeaderQuery{SentAt: now}})
	}
	return p, out
}

func (p Entry) laneLoad(now notch.Time, b notch.LaneLoad) (notch.Part, []notch.Effect) {
	p.lanes = maps.Clone(p.lanes)
	if p.lanes == nil {
		p.lanes = map[int]notch.LaneLoad{}
	}
	p.lanes[b.Lane] = b
	total := 0
	for _, d := range p.demand() {
		total += d.Slots
	}
	// A swing is reported at once.
	if total > p.lastTotal+p.lastTotal/4 || b.Seq == p.issued && now.Sub(p.reported) >= p.timing.Divide {
		return p.report(now)
	}
	return p, nil
}

func (p Entry) demand() []notch.Demand {
	sum := map[string]int{}
	for _, l := range p.lanes {
		for _, d := range l.Demand {
			sum[d.Pool] += d.Slots
		}
	}
	var out []notch.Demand
	for _, pool := range slices.Sorted(maps.Keys(sum)) {
		out = append(out, notch.Demand{Pool: pool, Slots: sum[pool]})
	}
	return out
}

// holds returns the slots that the entry may use or has in use: all of them, or
// those that differ from what was granted.
func (p Entry) holds(full bool) []notch.Hold {
	most := map[notch.ServerID]int{}
	if full {
		maps.Copy(most, p.caps)
	}
	for _, l := range p.lanes {
		for _, h := range l.InUse {
			if h.Slots > p.caps[h.Server] {
				most[h.Server] = h.Slots
			}
		}
	}
	return holdsOf(most)
}

func holdsOf(m map[notch.ServerID]int) []notch.Hold {
	var out []notch.Hold
	for _, id := range slices.Sorted(maps.Keys(m)) {
		if m[id] > 0 {
			out = append(out, notch.Hold{Server: id, Slots: m[id]})
		}
	}
	return out
}

// acked reports whether every lane obeys the last grant, so that what they have
// in use no longer grows beyond it.
func (p Entry) acked() bool {
	for _, l := range p.lanes {
		if l.Seq != p.issued {
			return false
		}
	}
	return len(p.lanes) == p.laneCount
}

func (p Entry) report(now notch.Time) (notch.Part, []notch.Effect) {
	if p.leader == "" || p.stopping || !p.acked() {
		return p, nil
	}
	p.reported = now
	demand := p.demand()
	p.lastTotal = 0
	for _, d := range demand {
		p.lastTotal += d.Slots
	}
	full := p.full || p.seq == 0
	return p, []notch.Effect{notch.Send{To: p.leader, Message: notch.EntryReport{
		Incarnation: p.self.Incarnation, Domain: p.self.Domain, Revision: p.revised,
		Term: p.term, Seq: p.seq, SentAt: now, Demand: demand, Holds: p.holds(full), Full: full,
	}}}
}

// fits reports whether a grant can be applied to what the entry has.
func (p Entry) fits(m notch.EntryGrant) bool {
	if m.Incarnation != p.self.Incarnation || m.Term < p.term {
		return false
	}
	if m.Base == 0 {
		return m.Term > p.term || m.Seq > p.seq
	}
	return m.Term == p.term && m.Base == p.seq
}

func (p Entry) onGrant(now notch.Time, from string, m notch.EntryGrant) (notch.Part, []notch.Effect) {
	if m.AskFull && m.Incarnation == p.self.Incarnation && m.Term >= p.term {
		p.full = true
		return p.report(now)
	}
	if !p.fits(m) {
		return p, nil
	}
	var out []notch.Effect
	if m.Term > p.term || p.leader != from {
		p.leader = from
		if !p.self.Replica {
			out = append(out, notch.Emit{Body: notch.LeaderChanged{Leader: from, Term: m.Term}})
		}
	}
	renewal := m.Base != 0 && m.Seq == m.Base
	p.term, p.seq, p.voters, p.full = m.Term, m.Seq, m.Voters, false
	p.granted = m.SentAt
	p.until = max(p.until, m.SentAt.Add(m.Lease))
	p.hinted = nil
	if m.Tables != nil {
		out = append(out, notch.Emit{Body: notch.TablesLearned{Tables: *m.Tables}})
	}
	if !p.leased && now.Before(p.until) {
		p.leased = true
		out = append(out, p.notice("holds a lease"))
	}
	p.entries = m.Entries
	if renewal {
		return p, append(out, notch.ToLanes{Body: notch.LeaseExtended{Until: p.until}})
	}
	p.caps = changed(p.caps, m)
	return p.issue(out)
}

// changed returns the slots after a grant.
func changed(caps map[notch.ServerID]int, m notch.EntryGrant) map[notch.ServerID]int {
	out := map[notch.ServerID]int{}
	if m.Base != 0 {
		maps.Copy(out, caps)
	}
	for _, h := range m.Slots {
		if h.Slots == 0 {
			delete(out, h.Server)
		} else {
			out[h.Server] = h.Slots
		}
	}
	return out
}

// issue tells the lanes what they may use.
func (p Entry) issue(out []notch.Effect) (notch.Part, []notch.Effect) {
	p.issued++
	slots := notch.SlotsGranted{Seq: p.issued, Until: p.until, Entries: p.entries, Slots: holdsOf(p.caps)}
	return p, append(out, notch.ToLanes{Body: slots})
}

// onHint takes a replica's word about the leader. If a majority knew none at
// some instant, then a leader elected later waits for a lease from then on, so
// that the own lease may be extended by as much.
func (p Entry) onHint(now notch.Time, from string, m notch.LeaderHint) (notch.Part, []notch.Effect) {
	if m.Leader != "" {
		if p.self.Replica || m.Term < p.term || m.Leader == p.leader {
			return p, nil
		}
		return p, []notch.Effect{notch.Emit{Body: notch.LeaderChanged{Leader: m.Leader, Term: m.Term}}}
	}
	if m.SentAt == 0 || !slices.Contains(p.voters, from) {
		return p, nil
	}
	p.hinted = maps.Clone(p.hinted)
	if p.hinted == nil {
		p.hinted = map[string]notch.Time{}
	}
	p.hinted[from] = max(p.hinted[from], m.SentAt)
	return p.extend(now)
}

func (p Entry) extend(now notch.Time) (notch.Part, []notch.Effect) {
	asked := slices.Sorted(maps.Values(p.hinted))
	need := len(p.voters)/2 + 1
	if len(asked) < need || p.granted == 0 {
		return p, nil
	}
	since := asked[len(asked)-need]
	until := min(since.Add(p.timing.Lease), p.granted.Add(p.timing.Leaderless))
	if until <= p.until || until <= now {
		return p, nil
	}
	p.until = until
	return p, []notch.Effect{notch.ToLanes{Body: notch.LeaseExtended{Until: until}}}
}

func (p Entry) notice(text string) notch.Effect {
	return notch.Notice{Text: text, Fields: []notch.Field{{Name: "entry", Value: p.self.Name}}}
}
