package daemon

import (
	"reflect"
	"sync"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/link"
)

// The names of the metrics of links.
const (
	metricLinkBytes  = "link-bytes-sent"
	metricLinkWait   = "link-wait-us"   // of a message in the queue of its peer
	metricLinkEncode = "link-encode-us" // of a message
	metricLinkWrite  = "link-write-us"  // of a message, to the connection
	metricLinkQueued = "link-queued"    // messages that wait behind one that is sent
	metricLinkBehind = "link-behind"    // messages that waited for linkBehindThreshold
)

// The limits of a linkMeter.
const (
	linkBehindThreshold = 200 * time.Millisecond // from the queue to the connection
	linkLogInterval     = time.Second            // between log messages
)

// linkMeter measures how long messages to other daemons wait.
type linkMeter struct {
	sink     sink
	mu       sync.Mutex
	loggedAt time.Time
}

func newLinkMeter(s sink) *linkMeter { return &linkMeter{sink: s} }

// observe records a message that was sent.
func (m *linkMeter) observe(s link.Sent) {
	m.sink.countSent(s.Message, s.Bytes)
	m.sink.Value(metricLinkWait, s.Wait.Microseconds())
	m.sink.Value(metricLinkEncode, s.Encode.Microseconds())
	m.sink.Value(metricLinkWrite, s.Write.Microseconds())
	m.sink.Value(metricLinkQueued, int64(s.Queued))
	if s.Wait+s.Encode+s.Write < linkBehindThreshold {
		return
	}
	m.sink.Count(metricLinkBehind, 1)
	if m.mayLog(time.Now()) {
		m.sink.Log(notch.LogMessage{Text: "link is behind", Fields: linkFields(s)})
	}
}

// mayLog reports whether the last log message is old enough for another.
func (m *linkMeter) mayLog(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.loggedAt) < linkLogInterval {
		return false
	}
	m.loggedAt = now
	return true
}

// linkFields describes a message that was slow.
func linkFields(s link.Sent) []notch.LogField {
	return []notch.LogField{
		notch.TextField("to", s.To), notch.TextField("message", reflect.TypeOf(s.Message).Name()),
		notch.DurationField("wait", s.Wait), notch.DurationField("encode", s.Encode), notch.DurationField("write", s.Write),
		notch.IntField("bytes", s.Bytes), notch.IntField("queued", s.Queued),
	}
}
