package consensus

import (
	"slices"

	notch "tamaracknotch"
)

// progress is what a leader knows of one replica.
type progress struct {
	replica  notch.Replica
	voter    bool
	match    uint64     // last index known to be synced there
	next     uint64     // next index to send
	contact  notch.Time // when the latest answered message was sent
	lastSent notch.Time
	probing  bool       // it rejected what was sent, and hasn't confirmed what was sent then
	probed   notch.Time // when that was sent; earlier messages say nothing new
	sentSnap notch.Time // when a snapshot was sent that isn't answered yet; zero: none
}

func (s *stepper) progressFor(set notch.ReplicaSet) []progress {
	var out []progress
	add := func(rs []notch.Replica, voter bool) {
		for _, r := range rs {
			pr := progress{replica: r, next: s.log.lastIndex() + 1}
			if i := s.progressOf(r); i >= 0 {
				pr = s.progress[i]
			}
			pr.voter = voter
			out = append(out, pr)
		}
	}
	add(set.Voters, true)
	add(set.Learners, false)
	return out
}

func (s *stepper) progressOf(r notch.Replica) int {
	return slices.IndexFunc(s.progress, func(pr progress) bool { return pr.replica == r })
}

func (s *stepper) setProgress(i int, pr progress) {
	s.progress = slices.Clone(s.progress)
	s.progress[i] = pr
}

func (s *stepper) propose(b notch.Proposal) {
	if s.role == roleLeader && !s.stopping && s.formed() {
		s.appendCommand(b)
	}
}

func (s *stepper) appendCommand(b notch.Proposal) {
	s.appendEntry(notch.Entry{
		Index: s.log.lastIndex() + 1, Term: s.hard.Term, At: s.now,
		Origin: b.Origin, Ticket: b.Ticket, Command: b.Command,
	})
	s.dirty = true
}

func (s *stepper) appendEntry(e notch.Entry) {
	s.log = s.log.withEntry(e)
	if c, ok := e.Command.(notch.ChangeReplicas); ok {
		s.configs = append(slices.Clone(s.configs), configAt{index: e.Index, set: c.Set})
		if s.role == roleLeader {
			s.progress = s.progressFor(c.Set)
		}
		s.emitReplicas()
	}
}

// flush syncs and sends what was appended since the last flush, so that one
// sync and one message serve many commands.
func (s *stepper) flush() {
	if !s.dirty || s.role != roleLeader {
		return
	}
	s.persistTail()
	for i := range s.progress {
		if pr := s.progress[i]; !pr.probing && pr.next+uint64(s.limits.Pipeline) > s.log.lastIndex() {
			s.sendAppend(i)
		}
	}
}

// persistTail hands the journal what was appended since the last flush. A leader that
// steps down does so too: followers may hold these entries already, and a later leader
// takes those that the log holds in memory as synced or about to be.
func (s *stepper) persistTail() {
	if !s.dirty {
		return
	}
	s.dirty = false
	from := max(s.persistFrom(), s.log.base+1)
	s.out = append(s.out, notch.Persist{Hard: s.hard, Entries: s.log.slice(from, int(s.log.lastIndex()-from+1))})
	s.sentToJournal = s.log.lastIndex()
}

func (s *stepper) persistFrom() uint64 {
	return max(min(s.sentToJournal, s.log.lastIndex()), s.log.base) + 1
}

// sendAppend sends replica i the next entries, or a snapshot if the log no
// longer holds them.
func (s *stepper) sendAppend(i int) {
	pr := s.progress[i]
	if pr.replica == s.self {
		return
	}
	if pr.next <= s.log.base {
		s.sendSnapshot(i)
		return
	}
	entries := s.log.slice(pr.next, s.limits.Batch)
	s.send(pr.replica.Name, notch.AppendRequest{
		Term: s.hard.Term, Leader: s.self.Name,
		PrevIndex: pr.next - 1, PrevTerm: s.log.term(pr.next - 1),
		Commit: s.commit, SentAt: s.now, Entries: entries,
	})
	pr.next += uint64(len(entries))
	pr.lastSent = s.now
	s.setProgress(i, pr)
}

// probePatience is how many resend intervals a replica may take to confirm what was
// sent after a rejection.
const probePatience = 4

// beat sends replica i a heartbeat, with entries if it lacks some. While a probe is
// under way there are none, so that a replica far behind isn't sent the same again and
// again.
func (s *stepper) beat(i int) {
	pr := s.progress[i]
	if !pr.probing || pr.match < s.log.base {
		s.sendAppend(i)
		return
	}
	if s.now.Sub(pr.probed) >= probePatience*s.timing.Resend {
		s.probe(i)
		return
	}
	s.send(pr.replica.Name, notch.AppendRequest{
		Term: s.hard.Term, Leader: s.self.Name, PrevIndex: pr.match, PrevTerm: s.log.term(pr.match),
		Commit: min(s.commit, pr.match), SentAt: s.now,
	})
}

// probe sends replica i what follows the entries that it is known to have.
func (s *stepper) probe(i int) {
	pr := s.progress[i]
	pr.next = pr.match + 1
	pr.probing, pr.probed = true, s.now
	s.setProgress(i, pr)
	s.sendAppend(i)
}

func (s *stepper) sendSnapshot(i int) {
	pr := s.progress[i]
	pr.lastSent = s.now
	if s.snapshot == nil || (pr.sentSnap != 0 && s.now.Sub(pr.sentSnap) < snapshotPatience*s.timing.Resend) {
		// A heartbeat keeps the follower from campaigning meanwhile.
		s.send(pr.replica.Name, notch.AppendRequest{
			Term: s.hard.Term, Leader: s.self.Name, PrevIndex: s.log.base,
			PrevTerm: s.log.baseTerm, Commit: 0, SentAt: s.now,
		})
		s.setProgress(i, pr)
		return
	}
	pr.sentSnap = s.now
	s.setProgress(i, pr)
	s.send(pr.replica.Name, notch.InstallSnapshot{
		Term: s.hard.Term, Leader: s.self.Name, SentAt: s.now, Snapshot: *s.snapshot,
	})
}

// snapshotPatience is how many resend intervals a snapshot may take.
const snapshotPatience = 10

func (s *stepper) leaderTick() {
	if s.now.Sub(s.contact) > s.timing.Election && s.now.Sub(s.leaderSince) > s.timing.Election {
		// A quorum may have elected another leader already.
		s.notice("lost contact with a quorum")
		s.stepDown("")
		return
	}
	s.flush()
	for i, pr := range s.progress {
		if pr.match < s.log.lastIndex() && pr.next > s.log.lastIndex() && s.now.Sub(pr.lastSent) >= s.timing.Resend {
			// Nothing came back: some of it may be lost.
			pr.next = pr.match + 1
			s.setProgress(i, pr)
		}
	}
	if s.now.Before(s.heartbeatDue) {
		return
	}
	s.heartbeatDue = s.now.Add(s.timing.Heartbeat)
	for i := range s.progress {
		s.beat(i)
	}
	if len(s.progress) == 1 {
		s.updateContact()
	}
	s.reconcile()
	if s.stopping {
		s.handOverLead()
	}
}

func (s *stepper) onAppend(m notch.AppendRequest) {
	if m.Term < s.hard.Term {
		s.send(m.Leader, notch.AppendReply{Term: s.hard.Term, From: s.self})
		return
	}
	s.heard(m.Term, m.Leader)
	reply := notch.AppendReply{Term: s.hard.Term, From: s.self, SentAt: m.SentAt}
	if m.PrevIndex > s.log.lastIndex() || (m.PrevIndex >= s.log.base && s.log.term(m.PrevIndex) != m.PrevTerm) {
		reply.Match = min(m.PrevIndex, s.log.lastIndex()+1) - 1
		reply.Match = max(reply.Match, s.commit)
		s.send(m.Leader, reply)
		return
	}
	fresh := s.reconcileEntries(m.Entries)
	reply.OK = true
	reply.Match = m.PrevIndex + uint64(len(m.Entries))
	if len(fresh) > 0 || reply.Match > s.persisted {
		s.out = append(s.out, notch.Persist{Hard: s.hard, Entries: fresh, Then: []notch.Send{{To: m.Leader, Message: reply}}})
	} else {
		s.send(m.Leader, reply)
	}
	if c := min(m.Commit, reply.Match); c > s.commit {
		s.commit = c
		s.apply()
	}
}

// heard follows the sender of a message that only a leader sends.
func (s *stepper) heard(term uint64, name string) {
	if !s.observeTerm(term) && s.role != follower {
		s.stepDown(name)
	}
	s.lastHeard = s.now
	s.resetElection()
	s.follow(name)
}

// reconcileEntries appends the entries that the log lacks, after dropping any
// that contradict them, and returns them.
func (s *stepper) reconcileEntries(entries []notch.Entry) []notch.Entry {
	for i, e := range entries {
		if e.Index <= s.log.base || s.log.term(e.Index) == e.Term {
			continue
		}
		if e.Index <= s.log.lastIndex() {
			s.truncate(e.Index)
		}
		for _, fresh := range entries[i:] {
			s.appendEntry(fresh)
		}
		return entries[i:]
	}
	return nil
}

func (s *stepper) truncate(index uint64) {
	s.log = s.log.withoutSuffix(index)
	s.persisted = min(s.persisted, index-1)
	keep := slices.IndexFunc(s.configs, func(c configAt) bool { return c.index >= index })
	if keep >= 0 {
		s.configs = slices.Clone(s.configs[:keep])
		s.emitReplicas()
	}
}

func (s *stepper) onSnapshot(m notch.InstallSnapshot) {
	if m.Term < s.hard.Term {
		s.send(m.Leader, notch.AppendReply{Term: s.hard.Term, From: s.self})
		return
	}
	s.heard(m.Term, m.Leader)
	reply := notch.AppendReply{Term: s.hard.Term, From: s.self, OK: true, Match: m.Snapshot.Index, SentAt: m.SentAt}
	if m.Snapshot.Index <= s.commit {
		reply.Match = s.commit
		s.send(m.Leader, reply)
		return
	}
	s.restore(m.Snapshot)
	s.emitReplicas()
	s.out = append(s.out,
		notch.Persist{Hard: s.hard},
		notch.SaveSnapshot{Snapshot: m.Snapshot, KeepFrom: m.Snapshot.Index, Replace: true, Then: []notch.Send{{To: m.Leader, Message: reply}}})
}

func (s *stepper) onAppendReply(m notch.AppendReply) {
	if s.observeTerm(m.Term) || s.role != roleLeader || m.Term != s.hard.Term {
		return
	}
	i := s.progressOf(m.From)
	if i < 0 {
		return
	}
	pr := s.progress[i]
	pr.contact = max(pr.contact, m.SentAt)
	if !m.OK {
		s.rejected(i, pr, m)
		return
	}
	pr.match = max(pr.match, m.Match)
	pr.next = max(pr.next, pr.match+1)
	if pr.match >= s.snapshotIndex() {
		pr.sentSnap = 0
	}
	if pr.match+1 >= pr.next {
		pr.probing = false
	}
	s.setProgress(i, pr)
	s.updateContact()
	s.advanceCommit()
	if !s.progress[i].probing && pr.next <= s.log.lastIndex() {
		s.sendAppend(i)
	}
}

// rejected goes back to where the follower's log may agree, by one probe at a time:
// messages that were sent before it are rejected too, and must not multiply.
func (s *stepper) rejected(i int, pr progress, m notch.AppendReply) {
	s.setProgress(i, pr)
	s.updateContact()
	if m.SentAt < pr.probed || (pr.sentSnap != 0 && m.Match < s.log.base) {
		return
	}
	pr.next = max(min(m.Match, s.log.lastIndex())+1, pr.match+1)
	pr.probing, pr.probed = true, s.now
	s.setProgress(i, pr)
	s.sendAppend(i)
}

// advanceCommit commits what a quorum has synced, if it is of this term.
func (s *stepper) advanceCommit() {
	var synced []uint64
	for _, pr := range s.progress {
		if pr.voter {
			synced = append(synced, s.matchOf(pr))
		}
	}
	if len(synced) == 0 {
		return
	}
	slices.Sort(synced)
	index := synced[(len(synced)-1)/2]
	if index <= s.commit || index < s.firstIndex {
		return
	}
	s.commit = index
	first := s.ready == 0
	if first {
		s.ready = s.now
	}
	s.apply()
	if first {
		s.emitLeadership()
	}
	s.reconcile()
}

func (s *stepper) matchOf(pr progress) uint64 {
	if pr.replica == s.self {
		return s.persisted
	}
	return pr.match
}

// updateContact recomputes when a quorum last answered.
func (s *stepper) updateContact() {
	var times []notch.Time
	for _, pr := range s.progress {
		switch {
		case !pr.voter:
		case pr.replica == s.self:
			times = append(times, s.now)
		default:
			times = append(times, pr.contact)
		}
	}
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	contact := times[(len(times)-1)/2]
	if contact > s.contact {
		s.contact = contact
		s.emitLeadership()
	}
}
