package link

import (
	"testing"

	notch "tamaracknotch"
)

func TestOutboxDropsWhenFull(t *testing.T) {
	o := newOutbox()
	for range queueLength + 5 {
		o.put(notch.AppendReply{})
	}
	if got, want := o.len(), queueLength; got != want {
		t.Errorf("messages: got %d, want %d", got, want)
	}
}

// The token of an outbox stays while messages wait, so that a new connection sends them.
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
