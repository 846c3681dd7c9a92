package consensus

import (
	"slices"

	notch "tamaracknotch"
)

// observeTerm follows a newer term. It reports whether there was one.
func (s *stepper) observeTerm(term uint64) bool {
	if term <= s.hard.Term {
		return false
	}
	s.hard = notch.HardState{Term: term}
	s.stepDown("")
	s.out = append(s.out, notch.Persist{Hard: s.hard})
	return true
}

// stepDown makes s a follower of leader, which may be unknown.
func (s *stepper) stepDown(leader string) {
	wasLeader := s.role == roleLeader
	if wasLeader {
		s.persistTail()
	}
	s.role = follower
	s.votes = nil
	s.progress = nil
	s.handOver = false
	s.resetElection()
	s.follow(leader)
	if wasLeader {
		s.notice("stepped down")
		s.emitLeadership()
	}
}

func (s *stepper) follow(name string) {
	if s.leader == name {
		return
	}
	s.leader = name
	s.emit(notch.LeaderChanged{Leader: name, Term: s.hard.Term})
}

// campaignHaste divides the wait of a replica that campaigns.
const campaignHaste = 3

// campaign starts a pre-vote or an election.
func (s *stepper) campaign(r role) {
	s.role = r
	s.votes = nil
	s.resetElection()
	// Whoever campaigns tries again sooner than a follower that hears a leader:
	// after a split vote, or a pre-vote that came before others missed the leader.
	s.electionDue = s.now.Add(s.electionDue.Sub(s.now) / campaignHaste)
	s.follow("")
	term := s.hard.Term + 1
	if r == candidate {
		s.hard = notch.HardState{Term: term, Vote: s.self.Name}
	}
	req := notch.VoteRequest{
		Pre: r == preCandidate, Term: term, Candidate: s.self,
		LastIndex: s.log.lastIndex(), LastTerm: s.log.lastTerm(), HandOver: s.handOver,
	}
	own := notch.VoteReply{Pre: req.Pre, Term: term, Voter: s.self, Granted: true}
	if r == preCandidate {
		s.broadcast(req)
		s.onVoteReply(own)
		return
	}
	// The own vote counts once it is synced, like any other.
	then := []notch.Send{{To: s.self.Name, Message: own}}
	for _, v := range s.others() {
		then = append(then, notch.Send{To: v.Name, Message: req})
	}
	s.out = append(s.out, notch.Persist{Hard: s.hard, Then: then})
}

func (s *stepper) broadcast(m notch.Message) {
	for _, v := range s.others() {
		s.send(v.Name, m)
	}
}

func (s *stepper) onVoteRequest(m notch.VoteRequest) {
	// While a leader is heard, nobody is helped to depose it, unless it asked.
	heard := s.leader != "" && s.now.Sub(s.lastHeard) < s.timing.Election
	if s.role == roleLeader {
		heard = s.now.Sub(s.contact) < s.timing.Election
	}
	if heard && !m.HandOver {
		s.send(m.Candidate.Name, notch.VoteReply{Pre: m.Pre, Term: s.hard.Term, Voter: s.self})
		return
	}
	if !m.Pre {
		s.observeTerm(m.Term)
	}
	reply := notch.VoteReply{Pre: m.Pre, Term: s.hard.Term, Voter: s.self, Granted: s.grants(m)}
	if m.Pre {
		reply.Term = m.Term
		if !reply.Granted {
			reply.Term = s.hard.Term
		}
		s.send(m.Candidate.Name, reply)
		return
	}
	if reply.Granted {
		s.hard = s.hard.WithVote(m.Candidate.Name)
		s.resetElection()
	}
	s.out = append(s.out, notch.Persist{Hard: s.hard, Then: []notch.Send{{To: m.Candidate.Name, Message: reply}}})
}

func (s *stepper) grants(m notch.VoteRequest) bool {
	// Whether this replica votes is for the candidate's log to say, which may hold the
	// entry that makes it a voter when its own doesn't: the candidate counts a vote only
	// if its set lists this very data folder.
	if m.Term < s.hard.Term || (m.Pre && m.Term == s.hard.Term) {
		return false
	}
	if !m.Pre && s.hard.Vote != "" && s.hard.Vote != m.Candidate.Name {
		return false
	}
	// A name whose data folder was replaced isn't the voter that is listed.
	if s.knows(m.Candidate.Name) && !s.lists(m.Candidate) {
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
	want := candidate
	term := s.hard.Term
	if m.Pre {
		want, term = preCandidate, term+1
	}
	if s.role != want || m.Term != term || !slices.Contains(s.set().Voters, m.Voter) {
		return
	}
	if !slices.Contains(s.votes, m.Voter.Name) {
		s.votes = append(slices.Clone(s.votes), m.Voter.Name)
	}
	if len(s.votes) < quorum(s.set()) {
		return
	}
	if s.role == preCandidate {
		s.campaign(candidate)
		return
	}
	s.lead()
}

func (s *stepper) lead() {
	s.role = roleLeader
	s.votes = nil
	s.handOver = false
	s.ready, s.contact = 0, s.now
	s.leaderSince = s.now
	s.follow(s.self.Name)
	s.firstIndex = s.log.lastIndex() + 1
	s.sentToJournal = s.log.lastIndex()
	s.progress = s.progressFor(s.set())
	s.notice("leads")
	s.appendCommand(notch.Proposal{Command: notch.Noop{}})
	s.emitLeadership()
	s.flush()
	s.reconcile()
}

// emitLeadership tells the other parts whether this replica leads.
func (s *stepper) emitLeadership() {
	l := notch.Leadership{Leading: s.role == roleLeader, Term: s.hard.Term}
	if l.Leading {
		l.Ready, l.Contact = s.ready, s.contact
	}
	s.emit(l)
}

// handOverLead asks the most advanced follower to take over.
func (s *stepper) handOverLead() {
	if s.role != roleLeader {
		return
	}
	best := -1
	for i, pr := range s.progress {
		if pr.voter && pr.replica != s.self && (best < 0 || pr.match > s.progress[best].match) {
			best = i
		}
	}
	if best < 0 {
		return
	}
	s.sendAppend(best)
	s.send(s.progress[best].replica.Name, notch.TimeoutNow{Term: s.hard.Term})
}
