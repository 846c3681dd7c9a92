package consensus

// State is the JSON dump of a replica.
type State struct {
	Part      string     `json:"part"`
	Replica   string     `json:"replica"`
	Storage   uint64     `json:"storage"`
	Role      string     `json:"role"`
	Term      uint64     `json:"term"`
	Vote      string     `json:"vote,omitempty"`
	Leader    string     `json:"leader,omitempty"`
	LogBase   uint64     `json:"log-base"`
	LastIndex uint64     `json:"last-index"`
	Persisted uint64     `json:"persisted"`
	Commit    uint64     `json:"commit"`
	Snapshot  uint64     `json:"snapshot"`
	Voters    []string   `json:"voters"`
	Learners  []string   `json:"learners,omitempty"`
	Wanted    []string   `json:"wanted,omitempty"`
	Failed    bool       `json:"failed,omitempty"`
	Failing   bool       `json:"journal-failing,omitempty"`
	Followers []Follower `json:"followers,omitempty"`
}

// Follower is the leader's replication progress for one replica.
type Follower struct {
	Name  string `json:"name"`
	Voter bool   `json:"voter"`
	Match uint64 `json:"match"`
	Next  uint64 `json:"next"`
	// SilentMs is the time since the leader sent the latest message that the replica answered.
	SilentMs int64 `json:"silent-ms"`
}

// Dump implements [notch.Dumper].
func (p Part) Dump() any {
	s := State{
		Part: "consensus", Replica: p.self.Name, Storage: p.self.Storage, Role: p.role.String(), Term: p.hardState.Term,
		Vote: p.hardState.Vote, Leader: p.leader, LogBase: p.log.base, LastIndex: p.log.lastIndex(), Persisted: p.persistedIndex,
		Commit: p.commitIndex, Wanted: p.desiredVoters, Failed: p.failed, Failing: p.failingSince != 0,
	}
	if p.snapshot != nil {
		s.Snapshot = p.snapshot.Index
	}
	for _, v := range p.replicaSet().Voters {
		s.Voters = append(s.Voters, v.Name)
	}
	for _, l := range p.replicaSet().Learners {
		s.Learners = append(s.Learners, l.Name)
	}
	for _, pr := range p.progress {
		f := Follower{Name: pr.replica.Name, Voter: pr.voter, Match: pr.match, Next: pr.next}
		if pr.replica != p.self {
			f.SilentMs = p.lastTickAt.Sub(max(pr.contactAt, pr.addedAt)).Milliseconds()
		}
		s.Followers = append(s.Followers, f)
	}
	return s
}
