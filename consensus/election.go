package consensus

import (
	"slices"
	"time"

	notch "tamaracknotch"
)

// observeTerm adopts term and steps down if term is newer than the current one. It
// reports whether it was.
func (s *stepper) observeTerm(term uint64) bool {
	if term <= s.hardState.Term {
		return false
	}
	s.hardState = notch.HardState{Term: term}
	s.stepDown("")
	s.persist(nil)
	return true
}

// stepDown makes the replica a follower of leader. An empty name means that the leader
// is unknown.
func (s *stepper) stepDown(leader string) {
	wasLeader := s.role == roleLeader
	if wasLeader {
		s.persistUnflushed()
	}
	s.role = roleFollower
	s.votes = nil
	s.progress = nil
	s.held, s.successor = nil, notch.Replica{}
	s.transferTarget = false
	s.resetElection()
	s.setLeader(leader)
	if wasLeader {
		s.logMessage("stepped down")
		s.emitLeadership()
	}
}

// setLeader records the name of the leader and reports a change to the other parts.
func (s *stepper) setLeader(name string) {
	if s.leader == name {
		return
	}
	s.leader = name
	s.emit(notch.LeaderChanged{Leader: name, Term: s.hardState.Term})
}

// campaignTimeoutDivisor shortens the election timeout of a replica that campaigns.
const campaignTimeoutDivisor = 3

// syncsPerVote is the number of syncs for which a vote may have to wait.
const syncsPerVote = 2

// maxVoteTimeouts is the number of election timeouts for which a candidate waits for the syncs of the
// others' votes at most.
const maxVoteTimeouts = 2

// campaign starts a pre-vote or an election.
func (s *stepper) campaign(r role) {
	s.role = r
	s.votes = nil
	s.campaignedAt = s.now
	// Only the election that the leader has asked for may depose it, not those after it.
	s.transferTarget = s.transferTarget && r == roleCandidate
	s.resetCampaign(0)
	s.setLeader("")
	term := s.hardState.Term + 1
	if r == roleCandidate {
		s.hardState = notch.HardState{Term: term, Vote: s.self.Name}
	}
	req := notch.VoteRequest{
		Pre: r == rolePreCandidate, Term: term, Candidate: s.self,
		LastIndex: s.log.lastIndex(), LastTerm: s.log.lastTerm(), HandOver: s.transferTarget,
	}
	own := notch.VoteReply{Pre: req.Pre, Term: term, Voter: s.self, Granted: true}
	if r == rolePreCandidate {
		s.broadcast(req)
		s.onVoteReply(own)
		return
	}
	// The candidate's own vote also counts only after it is synced.
	then := []notch.Send{{To: s.self.Name, Message: own}}
	for _, v := range s.otherVoters() {
		then = append(then, notch.Send{To: v.Name, Message: req})
	}
	s.persist(nil, then...)
}

// resetCampaign restarts the timeout after which a replica that campaigns does so again. The timeout is
// shorter than a follower's: the replica has to campaign again after a split vote, and after a
// pre-vote that the others rejected because their election timeout hadn't passed yet. The others may
// take syncTime to sync their votes.
func (s *stepper) resetCampaign(syncTime time.Duration) {
	s.resetElection()
	s.electionDue = s.now.Add(s.electionDue.Sub(s.now)/campaignTimeoutDivisor + syncTime)
}

// awaitsOwnVote reports whether the replica is a candidate whose own vote isn't synced. Its requests
// wait for the same sync, so another election would only raise the term and depose the others' leader.
func (s *stepper) awaitsOwnVote() bool {
	return s.role == roleCandidate && !slices.Contains(s.votes, s.self.Name)
}

// onOwnVote gives the others as long for their votes as the candidate took for its own. A vote may have
// to wait for the sync before it.
func (s *stepper) onOwnVote() {
	syncTime := syncsPerVote * s.now.Sub(s.campaignedAt)
	s.resetCampaign(min(syncTime, maxVoteTimeouts*s.timing.ElectionTimeout))
}

func (s *stepper) broadcast(m notch.Message) {
	for _, v := range s.otherVoters() {
		s.send(v.Name, m)
	}
}

func (s *stepper) onVoteRequest(m notch.VoteRequest) {
	// A replica that heard from a leader within the election timeout rejects the
	// request, unless the leader started this election to transfer its leadership.
	heardLeader := s.leader != "" && s.now.Sub(s.lastHeardAt) < s.timing.ElectionTimeout
	if s.role == roleLeader {
		heardLeader = s.now.Sub(s.quorumContactAt) < s.timing.ElectionTimeout
	}
	if heardLeader && !m.HandOver {
		s.send(m.Candidate.Name, notch.VoteReply{Pre: m.Pre, Term: s.hardState.Term, Voter: s.self})
		return
	}
	if !m.Pre {
		s.observeTerm(m.Term)
	}
	reply := notch.VoteReply{Pre: m.Pre, Term: s.hardState.Term, Voter: s.self, Granted: s.grantsVote(m)}
	if m.Pre {
		reply.Term = m.Term
		if !reply.Granted {
			reply.Term = s.hardState.Term
		}
		s.send(m.Candidate.Name, reply)
		return
	}
	if reply.Granted {
		s.hardState = s.hardState.WithVote(m.Candidate.Name)
		s.resetElection()
	}
	s.persist(nil, notch.Send{To: m.Candidate.Name, Message: reply})
}

// grantsVote reports whether the replica grants the vote that m requests.
func (s *stepper) grantsVote(m notch.VoteRequest) bool {
	// This replica doesn't check whether it is a voter: the entry that makes it one may
	// be in the candidate's log but not yet in its own. The candidate counts the vote
	// only if its replica set lists this replica with the same data folder.
	if m.Term < s.hardState.Term || (m.Pre && m.Term == s.hardState.Term) {
		return false
	}
	if !m.Pre && s.hardState.Vote != "" && s.hardState.Vote != m.Candidate.Name {
		return false
	}
	// The candidate has the name of a voter but another data folder, so it isn't that
	// voter.
	if s.hasVoterNamed(m.Candidate.Name) && !s.hasVoter(m.Candidate) {
		return false
	}
	if m.LastTerm != s.log.lastTerm() {
		return m.LastTerm > s.log.lastTerm()
	}
	return m.LastIndex >= s.log.lastIndex()
}

func (s *stepper) onVoteReply(m notch.VoteReply) {
	if !m.Granted {
		s.observeTerm(m.Term)
		return
	}
	want := roleCandidate
	term := s.hardState.Term
	if m.Pre {
		want, term = rolePreCandidate, term+1
	}
	if s.role != want || m.Term != term || !slices.Contains(s.replicaSet().Voters, m.Voter) {
		return
	}
	if s.awaitsOwnVote() && m.Voter == s.self {
		s.onOwnVote()
	}
	if !slices.Contains(s.votes, m.Voter.Name) {
		s.votes = append(slices.Clone(s.votes), m.Voter.Name)
	}
	if len(s.votes) < quorum(s.replicaSet()) || s.awaitsOwnVote() {
		return
	}
	if s.role == rolePreCandidate {
		s.campaign(roleCandidate)
		return
	}
	s.becomeLeader()
}

// becomeLeader starts the term of a leader. It appends a no-op entry, because a leader
// may only commit entries of earlier terms together with one of its own term.
func (s *stepper) becomeLeader() {
	s.role = roleLeader
	s.votes = nil
	s.transferTarget = false
	s.readyAt, s.quorumContactAt = 0, s.now
	s.quorumDue = s.now.Add(s.timing.ElectionTimeout)
	s.setLeader(s.self.Name)
	s.termStartIndex = s.log.lastIndex() + 1
	s.sentToJournalIndex = s.log.lastIndex()
	s.progress = s.progressFor(s.replicaSet())
	s.logMessage("leads")
	s.appendCommand(notch.Proposal{Command: notch.Noop{}})
	s.emitLeadership()
	s.flush()
	s.reconcileMembership()
}

// emitLeadership reports to the other parts whether this replica is the leader.
func (s *stepper) emitLeadership() {
	l := notch.Leadership{Leading: s.role == roleLeader, Term: s.hardState.Term}
	if l.Leading {
		l.Ready, l.Contact = s.readyAt, s.quorumContactAt
	}
	s.emit(l)
}

// transferLeadership chooses the voter with the highest match index, of those that answer, as the
// successor, and asks it to campaign.
func (s *stepper) transferLeadership() {
	if s.role != roleLeader {
		return
	}
	best := -1
	for i, pr := range s.progress {
		if s.mayTakeOver(pr) && (best < 0 || pr.match > s.progress[best].match) {
			best = i
		}
	}
	if best < 0 {
		return
	}
	s.successor = s.progress[best].replica
	s.sendAppend(best)
	s.askSuccessor(s.progress[best])
}

// mayTakeOver reports whether a replica is another voter that answers the leader.
func (s *stepper) mayTakeOver(pr progress) bool {
	return pr.voter && pr.replica != s.self && s.silentFor(pr.replica) < s.timing.ElectionTimeout
}

// askSuccessor asks the successor to campaign at once. A leader that appends nothing more waits until
// the successor has the whole log, as voters with more entries would reject it.
func (s *stepper) askSuccessor(pr progress) {
	if pr.replica != s.successor || s.handsOver() && pr.match < s.log.lastIndex() {
		return
	}
	s.send(pr.replica.Name, notch.TimeoutNow{Term: s.hardState.Term})
}

// handsOver reports whether the replica must not lead any longer, and appends nothing.
func (s *stepper) handsOver() bool { return s.stopping || s.journalFailing() }
