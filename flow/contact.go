package flow

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/lease"
)

// contact is what the leader knows of one life of an agent from talking to it.
type contact struct {
	life   notch.Life
	token  uint64 // of every order to this life
	book   lease.Book
	asked  notch.Time // when the hold that isn't answered yet was sent; zero: none
	heard  notch.Time // when the last hold was answered; zero: none was
	due    notch.Time // no hold is sent before
	silent int        // holds in a row that brought no lists
	listed uint64     // ends up to here were proposed
	acked  uint64     // ends up to here are committed
	paused notch.Time // no new work before
	ended  notch.Time // when the end of all its runs was last proposed
	leftAt notch.Time // when it was seen to have left; zero: it hasn't
}

// start is what is known of the orders about one run.
type start struct {
	outcome  notch.AgentAnswerKind // of the start; empty: not answered yet
	done     notch.Time            // when the start's outcome came
	stopSent notch.Time            // zero: no stop is under way
	stopped  notch.Time            // when a stop was answered; zero: none was
}

// runFields are those of a log line about a run.
func runFields(ref notch.RunRef, agent, outcome string) []notch.Field {
	return []notch.Field{
		field("request-id", ref.Task.Flow), field("task", ref.Task.String()),
		field("run", strconv.FormatUint(ref.Number, 10)), field("agent", agent), field("outcome", outcome),
	}
}

type runRefs struct{}

// Hash implements immutable.Hasher.
func (runRefs) Hash(r notch.RunRef) uint32 {
	h := uint64(r.Task.Round)<<32 ^ uint64(r.Task.Stage)<<24 ^ uint64(r.Task.Index)<<8 ^ r.Number
	for _, c := range []byte(r.Task.Flow) {
		h = h*31 + uint64(c)
	}
	return uint32(notch.Mix(h))
}

// Equal implements immutable.Hasher.
func (runRefs) Equal(a, b notch.RunRef) bool { return a == b }

func compareRefs(a, b notch.RunRef) int {
	return cmp.Or(strings.Compare(a.Task.Flow, b.Task.Flow), cmp.Compare(a.Task.Round, b.Task.Round),
		cmp.Compare(a.Task.Stage, b.Task.Stage), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Number, b.Number))
}

// said answers an agent's word about itself: at once if it tells nothing new, else
// once that is committed.
func (s *stepper) said(b notch.AgentSaid) {
	if old, ok := s.agents.Get(b.Agent.ID); ok && tellsNothing(old, b.Agent) {
		s.out = append(s.out, notch.AnswerAgent{Ticket: b.Ticket, Next: s.doors[s.leader]})
		return
	}
	s.emit(notch.Submitted{Ticket: b.Ticket, Command: notch.AdmitAgent{Agent: b.Agent}, Deadline: b.Deadline})
}

// tellsNothing reports whether admitting a would change nothing.
func tellsNothing(old, a notch.Agent) bool {
	if a.Left {
		return old.Left || a.Born != 0 && a.Born != old.Born
	}
	if old.Born > a.Born || old.Born == a.Born && old.Left {
		return true
	}
	a.Draining = a.Draining || old.Draining && old.Born == a.Born
	labels := slices.Equal(old.Labels, a.Labels)
	old.Labels, a.Labels = nil, nil
	return labels && old.Born == a.Born && sameAgent(old, a)
}

func sameAgent(a, b notch.Agent) bool {
	return a.Pool == b.Pool && a.Address == b.Address && a.Host == b.Host && a.Domain == b.Domain &&
		a.Rack == b.Rack && a.Size == b.Size && a.Draining == b.Draining && a.Left == b.Left
}

// formerLeases is added to the longest lease before those granted by a former
// leader count as over: it may have gone on for a moment after it was deposed.
const formerLeases = 2 * time.Second

// lead takes note of the leadership. A new leader talks to every agent before it
// gives orders.
func (s *stepper) lead(l notch.Leadership) {
	started := l.Leading && l.Ready != 0 && (s.leading.Ready == 0 || s.leading.Term != l.Term)
	if !l.Leading && s.leading.Leading {
		s.Part = s.withoutLead()
	}
	s.leading = l
	if !started {
		return
	}
	s.Part = s.withoutLead()
	floor := s.floor(l.Ready)
	for it := s.agents.Iterator(); !it.Done(); {
		_, a, _ := it.Next()
		if runs, _ := s.runs.Get(a.ID); !a.Left || len(runs) > 0 {
			s.contacts = s.contacts.Set(a.ID, contact{life: a.Life(), token: s.token(), book: lease.New(floor)})
			s.hold(a.ID)
		}
	}
	s.dirty = true
}

// floor returns when leases that others granted up to an instant are over.
func (s *stepper) floor(at notch.Time) notch.Time {
	return at.Add(time.Duration(float64(s.timing.Lease)*(1+lease.Drift)) + formerLeases)
}

// lifeBits is the size of the part of a token that counts the lives met in one term.
const lifeBits = 20

// token returns the one for a life that is met now. It is higher than that of every
// life before: orders that were meant for one of those, acknowledgements among them,
// may arrive late at a life of the same id.
func (s *stepper) token() uint64 { return s.leading.Term<<lifeBits | s.lives }

// meet begins to talk to a new life.
func (s *stepper) meet(a notch.Agent, now notch.Time) {
	if !s.acts() {
		return
	}
	s.lives++
	// Nobody else has granted this life anything.
	s.contacts = s.contacts.Set(a.ID, contact{life: a.Life(), token: s.token(), book: lease.New(now)})
	s.hold(a.ID)
}

// hold prolongs the lease of an agent and asks for its lists.
func (s *stepper) hold(id string) {
	c, ok := s.contacts.Get(id)
	a, known := s.agents.Get(id)
	if !ok || !known || c.asked != 0 || !s.acts() {
		return
	}
	o := notch.AgentOrder{Kind: notch.AgentHold, Token: c.token, Ack: c.acked}
	if c.silent == 0 {
		// Calls that aren't answered may be carried out late: repeating the grant would
		// keep the lease of an agent that is gone from ever being over.
		o.Deadline = c.book.Deadline(s.now, s.timing.Lease)
	}
	if c.heard != 0 && c.silent == 0 && c.listed == c.acked {
		o.Wait = s.timing.Wait
	}
	c.book = c.book.WithGrant(o.Deadline)
	c.asked = s.now
	s.contacts = s.contacts.Set(id, c)
	s.call(a, o)
}

func (s *stepper) call(a notch.Agent, o notch.AgentOrder) {
	s.count("agent-calls-"+string(o.Kind), 1)
	s.out = append(s.out, notch.CallAgent{Agent: a, Order: o, Timeout: o.Wait + s.timing.Call})
}

// startRun sends the start of a run that was just committed, if this leader placed it.
func (s *stepper) startRun(a notch.Agent, spec string, ref notch.RunRef, r notch.Run, saved string) {
	c, ok := s.contacts.Get(a.ID)
	if !s.acts() || r.Token != s.leading.Term || !ok {
		return
	}
	o := notch.AgentOrder{
		Kind: notch.AgentStart, Token: c.token, Run: ref, Spec: spec, Checkpoint: saved,
		Deadline: c.book.Deadline(s.now, s.timing.Lease),
	}
	c.book = c.book.WithGrant(o.Deadline)
	s.contacts = s.contacts.Set(a.ID, c)
	s.starts = s.starts.Set(ref, start{})
	s.call(a, o)
}

// stopRun sends a stop, unless one is under way or was just answered.
func (s *stepper) stopRun(a notch.Agent, ref notch.RunRef) {
	st, _ := s.starts.Get(ref)
	if !s.acts() || st.stopSent != 0 || st.stopped != 0 && s.now.Sub(st.stopped) < s.timing.Retry {
		return
	}
	st.stopSent = s.now
	s.starts = s.starts.Set(ref, st)
	c, _ := s.contacts.Get(a.ID)
	s.call(a, notch.AgentOrder{Kind: notch.AgentStop, Token: c.token, Run: ref})
}

// answered takes an agent's answer to an order of this lead.
func (s *stepper) answered(b notch.AgentAnswered) {
	if !s.leading.Leading || b.Order.Token>>lifeBits != s.leading.Term {
		return
	}
	c, ok := s.contacts.Get(b.Life.Agent)
	if b.Answer.Kind == notch.AgentRefused && b.Answer.Reason == notch.ReasonFence && b.Order.Token == c.token {
		s.deposed(b)
		return
	}
	if ok && c.life == b.Life && b.Answer.Clock != 0 && (b.Answer.Born == 0 || b.Answer.Born == c.life.Born) {
		c.book = c.book.WithClock(b.Answer.Clock, s.now)
		s.contacts = s.contacts.Set(b.Life.Agent, c)
	}
	switch b.Order.Kind {
	case notch.AgentHold:
		if ok && c.life == b.Life {
			s.held(c, b)
		}
	case notch.AgentStart:
		s.started(b)
	case notch.AgentStop:
		s.stopped(b)
	}
}

// deposed gives no more orders in this term: an agent has seen a higher token.
func (s *stepper) deposed(b notch.AgentAnswered) {
	s.notice("an agent has seen a later leader's token", field("agent", b.Life.Agent))
	s.Part = s.withoutLead()
	s.leading.Contact = 0
	s.fenced = s.leading.Term
}

// held takes the answer to a hold.
func (s *stepper) held(c contact, b notch.AgentAnswered) {
	c.asked = 0
	a, _ := s.agents.Get(c.life.Agent)
	switch {
	case b.Answer.Kind == notch.AgentOther:
		c.silent++
		c.due = s.now.Add(s.timing.Retry)
		a.Left = true
		s.propose(notch.AdmitAgent{Agent: a})
	case b.Answer.Kind != notch.AgentOK:
		c.silent++
		c.due = s.now.Add(s.timing.Retry * time.Duration(min(c.silent, maxBackoff)))
	case b.Answer.Born != 0 && b.Answer.Born > c.life.Born:
		c.due = s.now.Add(s.timing.Retry)
		a.Born, a.Draining, a.Left = b.Answer.Born, false, false
		s.propose(notch.AdmitAgent{Agent: a})
	default:
		s.lists(c, a, b)
		return
	}
	s.contacts = s.contacts.Set(c.life.Agent, c)
}

// maxBackoff bounds the growth of the pause between calls to a silent agent, in
// units of Timing.Retry.
const maxBackoff = 6

// lists takes what an agent says of its runs.
func (s *stepper) lists(c contact, a notch.Agent, b notch.AgentAnswered) {
	if c.heard == 0 {
		s.dirty = true
	}
	c.silent, c.heard = 0, s.now
	ends, upTo := s.newEnds(c, b.Answer.Ends)
	ends = append(ends, s.missing(c, a, b)...)
	for _, l := range b.Answer.Live {
		s.live(c, a, l)
	}
	s.relieve(a, b.Answer.Live)
	s.evacuate(a, b.Answer.Live)
	switch {
	case len(ends) > 0:
		c.listed = upTo
		c.due = s.now.Add(s.timing.Repropose)
		s.propose(notch.EndRuns{Life: c.life, Ends: ends, UpTo: upTo})
	case upTo > c.acked:
		c.listed, c.acked = upTo, upTo
	}
	s.contacts = s.contacts.Set(a.ID, c)
	if len(ends) == 0 {
		s.hold(a.ID)
	}
}

// evacuate moves off a draining agent what would be cut when it leaves and loses
// nothing by a move: tasks that last, and those that save their progress.
func (s *stepper) evacuate(a notch.Agent, live []notch.LiveRun) {
	if !a.Draining || a.Left {
		return
	}
	for _, l := range live {
		if st := s.stageIs(l.Run); st.Lasts || st.Saves {
			s.stopRun(a, l.Run)
			s.count("runs-evacuated", 1)
		}
	}
}

// newEnds returns the listed ends that weren't proposed before and concern runs that
// aren't known to have ended.
func (s *stepper) newEnds(c contact, listed []notch.ListedEnd) ([]notch.RunEnd, uint64) {
	upTo := c.listed
	var out []notch.RunEnd
	for _, l := range listed {
		if l.N <= c.listed {
			continue
		}
		upTo = max(upTo, l.N)
		if _, ok := s.run(l.End.Run); ok {
			out = append(out, l.End)
		}
	}
	return out, upTo
}

// run returns a run that isn't known to have ended.
func (s *stepper) run(ref notch.RunRef) (notch.Run, bool) {
	j, ok := s.jobs.Get(ref.Task.Flow)
	if !ok {
		return notch.Run{}, false
	}
	t, ok := j.Task(ref.Task)
	if !ok {
		return notch.Run{}, false
	}
	return t.Run(ref.Number)
}

// missing returns the ends of runs that an agent's lists don't hold although they
// would if the runs went on or could still begin. For the others it takes the next
// step towards knowing.
func (s *stepper) missing(c contact, a notch.Agent, b notch.AgentAnswered) []notch.RunEnd {
	if b.Answer.Partial {
		return nil
	}
	listed := map[notch.RunRef]bool{}
	for _, l := range b.Answer.Live {
		listed[l.Run] = true
	}
	for _, e := range b.Answer.Ends {
		listed[e.End.Run] = true
	}
	var out []notch.RunEnd
	refs, _ := s.runs.Get(a.ID)
	for _, ref := range refs {
		r, ok := s.run(ref)
		if !ok || listed[ref] {
			continue
		}
		if kind, over := s.absent(c, a, ref, r, b.SentAt); over {
			out = append(out, notch.RunEnd{Run: ref, Kind: kind})
			s.notice("run given up: its agent doesn't list it", runFields(ref, a.ID, string(kind))...)
		}
	}
	return out
}

// absent decides about a run that the lists asked for at the instant asked lack.
func (s *stepper) absent(c contact, a notch.Agent, ref notch.RunRef, r notch.Run, asked notch.Time) (notch.RunEndKind, bool) {
	if r.Token < s.leading.Term {
		// The agent has seen this leader's token: an older start can't take effect.
		return notch.RunNever, true
	}
	if r.Life != c.life {
		return notch.RunLost, true // likewise, by the token of the new life
	}
	st, _ := s.starts.Get(ref)
	switch {
	case st.outcome == notch.AgentOK && !asked.Before(st.done):
		return notch.RunLost, true
	case st.outcome != notch.AgentSilent:
		return "", false // not answered yet, or about to be given up
	case st.stopped != 0 && !asked.Before(st.stopped):
		return notch.RunNever, true
	case !asked.Before(st.done):
		s.stopRun(a, ref)
	}
	return "", false
}

// live takes an agent's word about a run that goes on.
func (s *stepper) live(c contact, a notch.Agent, l notch.LiveRun) {
	j, ok := s.jobs.Get(l.Run.Task.Flow)
	if !ok {
		s.stopRun(a, l.Run)
		return
	}
	t, _ := j.Task(l.Run.Task)
	r, ok := t.Run(l.Run.Number)
	if !ok || r.Life != c.life || !j.Wanted(t) {
		s.stopRun(a, l.Run)
	}
}

// started takes the answer to a start.
func (s *stepper) started(b notch.AgentAnswered) {
	ref := b.Order.Run
	r, ok := s.run(ref)
	if !ok || r.Life != b.Life {
		return
	}
	st, _ := s.starts.Get(ref)
	st.outcome, st.done = b.Answer.Kind, s.now
	s.starts = s.starts.Set(ref, st)
	if b.Answer.Kind != notch.AgentOK {
		s.notice("start not confirmed", runFields(ref, b.Life.Agent, string(b.Answer.Kind)+" "+string(b.Answer.Reason))...)
	}
	if b.Answer.Kind == notch.AgentOK || b.Answer.Kind == notch.AgentSilent {
		return
	}
	if c, ok := s.contacts.Get(b.Life.Agent); ok {
		c.paused = s.now.Add(pauseAfterRefusal)
		s.contacts = s.contacts.Set(b.Life.Agent, c)
	}
	s.propose(notch.EndRuns{Life: b.Life, Ends: []notch.RunEnd{{Run: ref, Kind: notch.RunNever}}})
}

// pauseAfterRefusal is how long an agent that refused a start gets no new work.
const pauseAfterRefusal = time.Second

// stopped takes the answer to a stop.
func (s *stepper) stopped(b notch.AgentAnswered) {
	st, ok := s.starts.Get(b.Order.Run)
	if !ok {
		return
	}
	st.stopSent = 0
	if b.Answer.Kind == notch.AgentOK {
		st.stopped = s.now
	}
	s.starts = s.starts.Set(b.Order.Run, st)
	if _, known := s.run(b.Order.Run); !known {
		s.starts = s.starts.Delete(b.Order.Run)
	}
}

// stopUnwanted stops the runs of a job that it no longer wants.
func (s *stepper) stopUnwanted(j unwanted) {
	if !s.acts() {
		return
	}
	j.Runs(func(ref notch.TaskRef, t notch.FlowTask, r notch.Run) {
		a, ok := s.agents.Get(r.Life.Agent)
		if ok && a.Life() == r.Life && !j.Wanted(t) {
			s.stopRun(a, notch.RunRef{Task: ref, Number: r.Number})
		}
	})
}

// unwanted is what stopUnwanted needs of a job.
type unwanted interface {
	Runs(f func(ref notch.TaskRef, t notch.FlowTask, r notch.Run))
	Wanted(t notch.FlowTask) bool
}

// acknowledged goes on with an agent whose ends were committed.
func (s *stepper) acknowledged(c notch.EndRuns) {
	k, ok := s.contacts.Get(c.Life.Agent)
	if !ok || k.life != c.Life || c.UpTo <= k.acked {
		return
	}
	k.acked = c.UpTo
	k.listed = max(k.listed, c.UpTo)
	s.contacts = s.contacts.Set(c.Life.Agent, k)
	s.hold(c.Life.Agent)
}

// tick calls the agents that are due and gives up the runs of those whose leases
// are over.
func (s *stepper) tick() {
	if !s.acts() {
		return
	}
	for it := s.contacts.Iterator(); !it.Done(); {
		id, c, _ := it.Next()
		refs, _ := s.runs.Get(id)
		if len(refs) > 0 && s.now.Sub(c.ended) >= s.timing.Repropose {
			s.giveUp(id, c, refs)
		}
		if c.asked == 0 && !s.now.Before(c.due) {
			a, _ := s.agents.Get(id)
			if a.Left && len(refs) == 0 {
				s.contacts = s.contacts.Delete(id)
				continue
			}
			s.hold(id)
		}
	}
}

// giveUp ends the runs of an agent that has left or whose leases are over.
func (s *stepper) giveUp(id string, c contact, refs []notch.RunRef) {
	kind := notch.RunLapsed
	switch {
	case c.leftAt != 0 && s.now.Sub(c.leftAt) > leaveTime && c.silent > 0:
		kind = notch.RunLost
	case c.silent == 0 || !c.book.Over(s.now):
		return
	}
	c.ended = s.now
	s.contacts = s.contacts.Set(id, c)
	s.notice("gives up the runs of an agent", field("agent", id), field("why", string(kind)))
	var ends []notch.RunEnd
	for _, ref := range slices.SortedFunc(slices.Values(refs), compareRefs) {
		ends = append(ends, notch.RunEnd{Run: ref, Kind: kind})
	}
	s.propose(notch.EndRuns{Life: c.life, Ends: ends})
}

// leaveTime is how long an agent that said goodbye may take to end its runs.
const leaveTime = 500 * time.Millisecond
