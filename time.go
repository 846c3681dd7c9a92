package notch

import "time"

// Time is an instant in nanoseconds since the Unix epoch, as read by the runner
// that created an event. Instants that were read on different hosts are not
// compared: a message carries durations, or an instant that the reply echoes to
// the sender. The exception is the times in log entries and snapshots, which come
// from the clocks of successive leaders.
type Time int64

// Add returns the instant d after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// Std converts t to the standard library's representation.
func (t Time) Std() time.Time { return time.Unix(0, int64(t)) }

// TimeOf converts a standard library time.
func TimeOf(t time.Time) Time { return Time(t.UnixNano()) }
