package link

import (
	"time"

	notch "tamaracknotch"
)

// Sent describes a message that was written to a connection.
type Sent struct {
	To      string // address of the peer
	Message notch.Message
	Wait    time.Duration // in the outbox of the peer
	Encode  time.Duration
	Write   time.Duration
	Bytes   int
	Queued  int // messages that wait behind it
}

// WithObserver calls observe with each message sent, on the goroutine that sent it.
func WithObserver(observe func(Sent)) Option { return func(l *Link) { l.observe = observe } }
