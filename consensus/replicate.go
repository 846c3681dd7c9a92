package consensus

import (
	"slices"

	notch "tamaracknotch"
)

// propose appends a command, unless the log holds it already: the daemon that waits for the result
// sends it again while it isn't applied yet.
func (s *stepper) propose(b notch.Proposal) {
	if s.role != roleLeader || s.stopping || !s.hasEnoughVoters() || s.isPending(b) {
		return
	}
	if s.journalFailing() {
		s.hold(b)
		return
	}
	s.appendCommand(b)
}

// isPending reports whether the command of the same call is held, or in the log and not yet applied.
func (s *stepper) isPending(b notch.Proposal) bool {
	if b.Origin == "" {
		return false
	}
	for i := s.appliedIndex + 1; i <= s.log.lastIndex(); i++ {
		if e := s.log.entryAt(i); e.Ticket == b.Ticket && e.Origin == b.Origin {
			return true
		}
	}
	return slices.ContainsFunc(s.held, func(h notch.Proposal) bool { return h.Ticket == b.Ticket && h.Origin == b.Origin })
}

func (s *stepper) appendCommand(b notch.Proposal) {
	s.appendEntry(notch.LogEntry{
		Index: s.log.lastIndex() + 1, Term: s.hardState.Term, At: s.now,
		Origin: b.Origin, Ticket: b.Ticket, Command: b.Command,
	})
	s.unflushed = true
}

func (s *stepper) appendEntry(e notch.LogEntry) {
	s.log = s.log.withEntry(e)
	s.noteTableEdit(e)
	if c, ok := e.Command.(notch.ChangeReplicas); ok {
		s.configs = append(slices.Clone(s.configs), configAt{index: e.Index, set: c.Set})
		if s.role == roleLeader {
			s.progress = s.progressFor(c.Set)
		}
		s.emitReplicas()
	}
}

// flush syncs and sends the entries appended since the last flush, so that many commands
// share one sync and one message. Entries for a replica that has several messages to confirm
// go into one message when it has confirmed one of them, or with the next heartbeat.
func (s *stepper) flush() {
	if !s.unflushed || s.role != roleLeader {
		return
	}
	s.persistUnflushed()
	for i := range s.progress {
		if pr := s.progress[i]; pr.mayAppend() && pr.next+uint64(s.limits.FlushLag) > s.log.lastIndex() {
			s.sendAppend(i)
		}
	}
}

// persistUnflushed passes the entries appended since the last flush to the journal. A leader
// that steps down calls it too: it may have sent these entries already, and as a follower
// it acknowledges any entry in memory once the journal has synced what it was given.
func (s *stepper) persistUnflushed() {
	if !s.unflushed {
		return
	}
	s.unflushed = false
	from := max(s.firstUnpersisted(), s.log.base+1)
	s.persist(s.log.slice(from, int(s.log.lastIndex()-from+1)))
	s.sentToJournalIndex = s.log.lastIndex()
}

// firstUnpersisted returns the index of the first entry that the journal hasn't been given.
func (s *stepper) firstUnpersisted() uint64 {
	return max(min(s.sentToJournalIndex, s.log.lastIndex()), s.log.base) + 1
}

// mayReach reports whether messages may reach a replica. Those for one whose data folder was
// replaced would reach its successor of the same name, and be rejected in the successor's name.
func (s *stepper) mayReach(r notch.Replica) bool { return r != s.self && !s.replaced(r) }

// sendAppend sends the next entries to replica i, or a snapshot if the log no longer holds
// them.
func (s *stepper) sendAppend(i int) {
	pr := s.progress[i]
	if !s.mayReach(pr.replica) {
		return
	}
	if s.needsSnapshot(pr) {
		s.sendSnapshot(i)
		return
	}
	// Replicas that lack the same entries get the same slice, so that it is encoded once.
	if s.batch.from != pr.next {
		s.batch = sharedBatch{from: pr.next, entries: s.log.batch(pr.next, s.limits.BatchEntries, s.limits.BatchBytes)}
	}
	s.sendEntries(i, s.batch.entries)
}

// sendEntries sends entries to replica i that follow those sent before; none make a heartbeat.
func (s *stepper) sendEntries(i int, entries []notch.LogEntry) {
	pr := s.progress[i]
	s.send(pr.replica.Name, notch.AppendRequest{
		Term: s.hardState.Term, Leader: s.self.Name,
		PrevIndex: pr.next - 1, PrevTerm: s.log.term(pr.next - 1),
		Commit: s.commitIndex, SentAt: s.now, Entries: entries,
	})
	pr = pr.withSent(len(entries))
	pr.lastSentAt = s.now
	s.setProgress(i, pr)
}

// probeTimeoutResends is the number of resend timeouts that a replica may take to confirm
// a probe.
const probeTimeoutResends = 4

// sendHeartbeat sends a heartbeat to replica i, with entries if it lacks some and may be sent
// further ones. While the replica is being probed the heartbeat is empty, so that a replica far
// behind doesn't receive the same entries repeatedly. A probe is repeated only if the replica has
// answered since: what is sent to a silent one queues on its link.
//
// A heartbeat follows the last entry that was sent, so a replica can accept it only after the
// messages before it. While some of these aren't confirmed, another heartbeat is sent that need
// not wait for them.
func (s *stepper) sendHeartbeat(i int) {
	pr := s.progress[i]
	if !s.mayReach(pr.replica) {
		return
	}
	if pr.probing && pr.match >= s.log.base {
		if s.now.Sub(pr.probedAt) >= probeTimeoutResends*s.timing.ResendTimeout && pr.contactAt > pr.probedAt {
			s.probe(i)
			return
		}
		s.sendContact(pr)
		return
	}
	if len(pr.unconfirmed) > 0 && pr.match >= s.log.base {
		s.sendContact(pr)
	}
	if len(pr.unconfirmed) < maxUnconfirmedAppends || s.needsSnapshot(pr) {
		s.sendAppend(i)
		return
	}
	s.sendEntries(i, nil)
}

// sendContact sends a heartbeat that follows the last entry which the replica has confirmed, so
// that the replica can accept it whatever else is on its way.
func (s *stepper) sendContact(pr progress) {
	s.send(pr.replica.Name, notch.AppendRequest{
		Term: s.hardState.Term, Leader: s.self.Name, PrevIndex: pr.match, PrevTerm: s.log.term(pr.match),
		Commit: min(s.commitIndex, pr.match), SentAt: s.now, Contact: true,
	})
}

// probe sends the entries after the match index to replica i, and no further ones until it
// confirms them.
func (s *stepper) probe(i int) {
	pr := s.progress[i]
	pr = pr.withNext(pr.match + 1)
	pr.probing, pr.probedAt = true, s.now
	s.setProgress(i, pr)
	s.sendAppend(i)
}

func (s *stepper) leaderTick() {
	if s.quorumDue.Before(s.now) {
		// A quorum may already have elected another leader.
		s.logMessage("lost contact with a quorum", s.contactFields()...)
		s.stepDown("")
		return
	}
	s.flush()
	for i, pr := range s.progress {
		if pr.match < s.log.lastIndex() && pr.next > s.log.lastIndex() && s.now.Sub(pr.lastSentAt) >= s.timing.ResendTimeout {
			// The replica hasn't acknowledged all entries; some may have been lost.
			s.setProgress(i, pr.withNext(pr.match+1))
		}
	}
	if s.now.Before(s.heartbeatDue) {
		return
	}
	s.heartbeatDue = s.now.Add(s.timing.HeartbeatInterval)
	s.countLateContact()
	for i := range s.progress {
		s.sendHeartbeat(i)
	}
	if len(s.progress) == 1 {
		s.updateQuorumContact()
	}
	s.reconcileMembership()
	if s.handsOver() {
		s.transferLeadership()
	}
}

func (s *stepper) onAppendReply(m notch.AppendReply) {
	if s.observeTerm(m.Term) || s.role != roleLeader || m.Term != s.hardState.Term {
		return
	}
	i := s.progressIndex(m.From)
	if i < 0 {
		return
	}
	pr := s.progress[i]
	pr.contactAt = max(pr.contactAt, m.SentAt)
	if !m.OK {
		s.onAppendRejected(i, pr, m)
		return
	}
	pr = pr.withMatch(m.Match).withRound(s.log.lastIndex(), s.now, s.timing.ElectionTimeout)
	if pr.match >= pr.sentSnapshot {
		pr.snapshotSentAt = 0
	}
	if pr.match >= pr.sentSnapshot && pr.match+uint64(s.limits.RetainedEntries) >= s.log.lastIndex() {
		pr.sentSnapshot = 0
	}
	if pr.match+1 >= pr.next && !s.needsSnapshot(pr) {
		pr.probing = false
	}
	s.setProgress(i, pr)
	s.updateQuorumContact()
	s.advanceCommit()
	// The commit may have changed the replica set.
	if i = s.progressIndex(m.From); i < 0 {
		return
	}
	if s.progress[i].mayAppend() && s.progress[i].next <= s.log.lastIndex() {
		s.sendAppend(i)
	}
	if s.handsOver() {
		s.askSuccessor(s.progress[i])
	}
}

// onAppendRejected sends a probe from the index where the follower's log may match. It
// allows one probe at a time: messages sent before the probe are rejected too, and each
// rejection would otherwise cause another resend.
func (s *stepper) onAppendRejected(i int, pr progress, m notch.AppendReply) {
	s.setProgress(i, pr)
	s.updateQuorumContact()
	if m.SentAt < pr.probedAt || (pr.snapshotSentAt != 0 && m.Match < s.log.base) {
		return
	}
	pr = pr.withNext(max(min(m.Match, s.log.lastIndex())+1, pr.match+1))
	pr.probing, pr.probedAt = true, s.now
	s.setProgress(i, pr)
	s.sendAppend(i)
}

// advanceCommit commits the entries that a quorum has synced. As in Raft, an entry of an
// earlier term is committed only together with one of the current term.
func (s *stepper) advanceCommit() {
	var synced []uint64
	for _, pr := range s.progress {
		if pr.voter {
			synced = append(synced, s.syncedIndex(pr))
		}
	}
	if len(synced) == 0 {
		return
	}
	slices.Sort(synced)
	index := synced[(len(synced)-1)/2]
	if index <= s.commitIndex || index < s.termStartIndex {
		return
	}
	s.commitIndex = index
	firstCommitOfTerm := s.readyAt == 0
	if firstCommitOfTerm {
		s.readyAt = s.now
	}
	s.apply()
	if firstCommitOfTerm {
		s.emitLeadership()
	}
	s.reconcileMembership()
}

// syncedIndex returns the last index known to be synced by a replica, which may be the
// leader itself.
func (s *stepper) syncedIndex(pr progress) uint64 {
	if pr.replica == s.self {
		return s.persistedIndex
	}
	return pr.match
}

// updateQuorumContact recomputes the send time of the latest message that a quorum of the
// voters answered, and reports the leadership again if that time has advanced.
func (s *stepper) updateQuorumContact() {
	var times []notch.Time
	for _, pr := range s.progress {
		switch {
		case !pr.voter:
		case pr.replica == s.self:
			times = append(times, s.now)
		default:
			times = append(times, pr.contactAt)
		}
	}
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	contact := times[(len(times)-1)/2]
	if contact > s.quorumContactAt {
		s.quorumContactAt = contact
		s.quorumDue = max(s.quorumDue, contact.Add(s.timing.ElectionTimeout))
		s.emitLeadership()
	}
}
