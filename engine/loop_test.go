package engine

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	notch "tamaracknotch"
)

// testTick is the time between the ticks of a test's loop.
const testTick = 5 * time.Millisecond

// recorder is a part that records the events it receives. Each CommandSubmitted blocks it
// until the test sends to release.
type recorder struct {
	mu       *sync.Mutex
	received *[]notch.Body
	started  chan struct{}
	release  chan struct{}
}

func newRecorder() recorder {
	return recorder{mu: &sync.Mutex{}, received: &[]notch.Body{}, started: make(chan struct{}), release: make(chan struct{})}
}

func (r recorder) Step(e notch.Event) (notch.Part, []notch.Effect) {
	r.mu.Lock()
	*r.received = append(*r.received, e.Body)
	r.mu.Unlock()
	if _, ok := e.Body.(notch.CommandSubmitted); ok {
		r.started <- struct{}{}
		<-r.release
	}
	return r, nil
}

// receivedOf returns the received events that keep selects, in their order.
func (r recorder) receivedOf(keep func(notch.Body) bool) []notch.Body {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(*r.received), func(b notch.Body) bool { return !keep(b) })
}

func is[T notch.Body](b notch.Body) bool {
	_, ok := b.(T)
	return ok
}

func isEither[T, U notch.Body](b notch.Body) bool { return is[T](b) || is[U](b) }

func isAny(notch.Body) bool { return true }

func startTestLoop(r recorder, tick time.Duration) *loop {
	return newLoop(notch.NewState(r), &fixedClock{now: notch.Time(time.Hour)}, 1, tick, nil, func(notch.Effect) {})
}

// A leader whose loop had a long batch to reduce lost contact with its quorum, because the
// replicas' answers waited behind the whole batch.
func TestConsensusMessagePassesQueuedEvents(t *testing.T) {
	r := newRecorder()
	l := startTestLoop(r, time.Hour)
	first, second := notch.CommandSubmitted{Ticket: 1}, notch.CommandSubmitted{Ticket: 2}
	reply := notch.MessageReceived{From: "b", Message: notch.AppendReply{Term: 1}}
	l.post(first)
	<-r.started
	l.post(second)
	l.post(notch.MessageReceived{From: "b", Message: notch.Forward{Ticket: 3}})
	r.release <- struct{}{}
	<-r.started
	l.post(reply) // while the loop reduces a batch of two events
	r.release <- struct{}{}
	l.close()

	got := r.receivedOf(is[notch.MessageReceived])
	want := []notch.Body{reply, notch.MessageReceived{From: "b", Message: notch.Forward{Ticket: 3}}}
	if !slices.Equal(got, want) {
		t.Errorf("order of messages: got %+v, want %+v", got, want)
	}
}

// A leader sent no heartbeats while its loop reduced a long batch, because ticks waited for
// the end of the batch.
func TestTickPassesQueuedEvents(t *testing.T) {
	r := newRecorder()
	l := startTestLoop(r, testTick)
	l.post(notch.CommandSubmitted{Ticket: 1})
	<-r.started
	l.post(notch.CommandSubmitted{Ticket: 2})
	l.post(notch.CommandSubmitted{Ticket: 3})
	r.release <- struct{}{}
	<-r.started
	time.Sleep(2 * testTick) // a tick is due before the next event of the batch
	r.release <- struct{}{}
	<-r.started
	r.release <- struct{}{}
	l.close()

	got := r.receivedOf(isEither[notch.CommandSubmitted, notch.Tick])
	second := slices.Index(got, notch.Body(notch.CommandSubmitted{Ticket: 2}))
	if got[second+1] != (notch.Tick{}) {
		t.Errorf("after the second command: got %T, want %T", got[second+1], notch.Tick{})
	}
}

// Guards against a sync of the journal for each event of a burst: events of high priority that
// arrive in between must not end the batch.
func TestBurstSharesOneFlush(t *testing.T) {
	r := newRecorder()
	l := startTestLoop(r, time.Hour)
	l.post(notch.CommandSubmitted{Ticket: 1})
	<-r.started
	for range 100 {
		l.post(notch.ServerAnnounced{})
		l.post(notch.Persisted{})
	}
	r.release <- struct{}{}
	l.close()

	received := r.receivedOf(isEither[notch.ServerAnnounced, notch.Flush])
	burst := received[slices.IndexFunc(received, is[notch.ServerAnnounced]):]
	if got, want := slices.IndexFunc(burst, is[notch.Flush]), 100; got != want {
		t.Errorf("events of the burst before its first flush: got %d, want %d", got, want)
	}
}

// With hundreds of events queued, the log entries of the first ones, and the plan that followed from them, waited
// until all others were reduced: each step of a short workflow took that much longer.
func TestLongBatchIsFlushedInParts(t *testing.T) {
	r := newRecorder()
	l := startTestLoop(r, time.Hour)
	l.post(notch.CommandSubmitted{Ticket: 1})
	<-r.started
	const parts = 4
	for range parts * maxUnflushed {
		l.post(notch.LaneLoad{})
	}
	r.release <- struct{}{}
	l.close()
	unflushed, most, flushes := 0, 0, 0
	for _, b := range r.receivedOf(isEither[notch.LaneLoad, notch.Flush]) {
		if is[notch.Flush](b) {
			unflushed = 0
			flushes++
			continue
		}
		unflushed++
		most = max(most, unflushed)
	}
	if most != maxUnflushed || flushes != parts+1 {
		t.Errorf("got %d events without a flush and %d flushes, want %d and %d", most, flushes, maxUnflushed, parts+1)
	}
}

// A replica campaigned, or stepped down, although the message that keeps it from doing so had
// arrived, because a due tick was reduced first.
func TestQueuedMessagePassesDueTick(t *testing.T) {
	r := newRecorder()
	l := startTestLoop(r, testTick)
	heartbeat := notch.MessageReceived{From: "b", Message: notch.AppendRequest{Term: 1}}
	const rounds = 20 // a loop that doesn't prefer the message may choose it by chance
	var before []int  // by round: the number of events received before the message was posted
	for range rounds {
		l.inspect(func(notch.State) {
			time.Sleep(2 * testTick) // a tick is due
			before = append(before, len(r.receivedOf(isAny)))
			l.post(heartbeat)
		})
	}
	l.close()

	received := r.receivedOf(isAny)
	for round, n := range before {
		if got := received[n]; !is[notch.MessageReceived](got) {
			t.Errorf("round %d: got %T first, want %T", round, got, heartbeat)
		}
	}
}

// A leader committed nothing while its loop reduced a long batch, because the outcomes of the syncs
// waited behind the whole batch.
func TestSyncPassesQueuedEvents(t *testing.T) {
	r := newRecorder()
	l := startTestLoop(r, time.Hour)
	l.post(notch.CommandSubmitted{Ticket: 1})
	<-r.started
	l.post(notch.ServerAnnounced{})
	l.post(notch.Persisted{Term: 1, Index: 2})
	r.release <- struct{}{}
	l.close()

	got := r.receivedOf(isEither[notch.ServerAnnounced, notch.Persisted])
	want := []notch.Body{notch.Persisted{Term: 1, Index: 2}, notch.ServerAnnounced{}}
	if !slices.Equal(got, want) {
		t.Errorf("order of events: got %+v, want %+v", got, want)
	}
}

// Guards against a leader that forgets the lease of an entry's new process: the process's first
// report must not overtake the message by which the process before it left.
func TestReportFollowsLeave(t *testing.T) {
	r := newRecorder()
	l := startTestLoop(r, time.Hour)
	l.post(notch.CommandSubmitted{Ticket: 1})
	<-r.started
	l.post(notch.MessageReceived{From: "e", Message: notch.LeaveMessage{}})
	l.post(notch.MessageReceived{From: "e", Message: notch.EntryReport{Incarnation: 2}})
	r.release <- struct{}{}
	l.close()

	first := r.receivedOf(is[notch.MessageReceived])[0].(notch.MessageReceived)
	if got, want := fmt.Sprintf("%T", first.Message), "notch.LeaveMessage"; got != want {
		t.Errorf("first message: got %s, want %s", got, want)
	}
}

// Guards against elections, replication and leases that wait behind a long batch: their messages are
// reduced before it, whichever way they go.
func TestUrgentMessagesPassQueuedEvents(t *testing.T) {
	r := newRecorder()
	l := startTestLoop(r, time.Hour)
	l.post(notch.CommandSubmitted{Ticket: 1})
	<-r.started
	l.post(notch.ServerAnnounced{})
	for _, m := range []notch.Message{
		notch.VoteRequest{}, notch.VoteReply{}, notch.AppendRequest{}, notch.AppendReply{}, notch.InstallSnapshot{}, notch.TimeoutNow{},
		notch.EntryReport{}, notch.EntryGrant{}, notch.LeaderQuery{}, notch.LeaderHint{},
	} {
		l.post(notch.MessageReceived{From: "b", Message: m})
	}
	r.release <- struct{}{}
	l.close()

	received := r.receivedOf(isEither[notch.MessageReceived, notch.ServerAnnounced])
	queued := slices.IndexFunc(received, is[notch.ServerAnnounced])
	for _, late := range received[queued+1:] {
		t.Errorf("got %T after the queued event, want it before", late.(notch.MessageReceived).Message)
	}
}
