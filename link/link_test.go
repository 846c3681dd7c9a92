package link

import (
	"net"
	"net/http"
	"testing"
	"time"

	notch "tamaracknotch"
)

// Guards against heartbeats that wait behind calls and results, which are large, until a leader
// loses contact with its quorum.
func TestHeartbeatOvertakesResults(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan notch.Message, 10)
	post := func(b notch.Body) {
		if m, ok := b.(notch.MessageReceived); ok {
			received <- m.Message
		}
	}
	key := []byte("k")
	receiver := New(key, notch.Hello{Daemon: notch.Daemon{Name: "b"}}, post)
	defer receiver.Close()
	sender := New(key, notch.Hello{Daemon: notch.Daemon{Name: "a"}}, func(notch.Body) {})
	defer sender.Close()
	sender.Connect(notch.Daemon{Name: "b", Address: listener.Addr().String()})
	// The receiver doesn't accept connections yet, so the messages wait in the sender.
	for ticket := range uint64(3) {
		sender.Send("b", notch.Outcome{Ticket: ticket, Result: notch.Done{}})
	}
	for term := range uint64(2) {
		sender.Send("b", notch.AppendRequest{Term: term, Leader: "a"})
	}
	server := &http.Server{Handler: receiver.Handler()}
	defer server.Close()
	go server.Serve(listener)
	for i, want := range []notch.Message{
		notch.AppendRequest{Term: 0}, notch.AppendRequest{Term: 1}, notch.Outcome{Ticket: 0}, notch.Outcome{Ticket: 1}, notch.Outcome{Ticket: 2},
	} {
		select {
		case got := <-received:
			if !sameMessage(got, want) {
				t.Errorf("message %d: got %+v, want %+v", i, got, want)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("message %d: got none, want %+v", i, want)
		}
	}
}

// sameMessage compares the type and the number of two messages.
func sameMessage(a, b notch.Message) bool {
	switch a := a.(type) {
	case notch.AppendRequest:
		b, ok := b.(notch.AppendRequest)
		return ok && a.Term == b.Term
	case notch.Outcome:
		b, ok := b.(notch.Outcome)
		return ok && a.Ticket == b.Ticket
	}
	return false
}
