package link

import (
	"reflect"
	"testing"

	notch "tamaracknotch"
)

// Guards against an outbox that grows without a limit while its peer is slow or out of reach.
func TestOutboxDropsWhenFull(t *testing.T) {
	o := newOutbox()
	for range queueLength + 5 {
		o.put(notch.AppendReply{})
	}
	if got, want := o.len(), queueLength; got != want {
		t.Errorf("messages: got %d, want %d", got, want)
	}
}

// Guards against messages that are stuck in an outbox: its token stays while messages wait, so that
// a new connection sends them.
func TestOutboxIsReadyWhileMessagesWait(t *testing.T) {
	o := newOutbox()
	o.put(notch.AppendReply{})
	o.put(notch.Outcome{})
	for left := 1; left >= 0; left-- {
		<-o.ready
		if _, ok := o.take(); !ok {
			t.Fatalf("with %d more messages: got none", left)
		}
		if got, want := len(o.ready), min(left, 1); got != want {
			t.Errorf("with %d messages left: got %d tokens, want %d", left, got, want)
		}
	}
	if _, ok := o.take(); ok {
		t.Error("empty outbox: got a message, want none")
	}
}

// Guards against callers that get no answer because the leader's grants, each with whole tables,
// go before the results on a slow connection, one after the other.
func TestGrantsDontOvertakeResults(t *testing.T) {
	o := newOutbox()
	o.put(notch.Outcome{Ticket: 1})
	o.put(notch.EntryGrant{Seq: 2, Tables: &notch.Tables{}})
	o.put(notch.InstallSnapshot{Term: 3})
	o.put(notch.Outcome{Ticket: 4})
	o.put(notch.AppendReply{Term: 5})
	for _, want := range []string{"AppendReply", "Outcome", "EntryGrant", "InstallSnapshot", "Outcome"} {
		m, _ := o.take()
		if got := reflect.TypeOf(m.message).Name(); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}
