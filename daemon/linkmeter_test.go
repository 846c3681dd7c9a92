package daemon

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	notch "tamaracknotch"
	"tamaracknotch/link"
)

// TestLinkMeter checks what is counted of messages, and that slow ones cause one log message a
// second at most.
func TestLinkMeter(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	r := metrics.NewRegistry()
	m := newLinkMeter(sink{registry: r, log: log})
	m.observe(link.Sent{To: "x:1", Message: notch.AppendReply{}, Bytes: 83, Wait: 199 * time.Millisecond})
	if got := out.String(); got != "" {
		t.Errorf("after a message in time: got log %q, want none", got)
	}
	for range 3 {
		m.observe(link.Sent{To: "x:1", Message: notch.Outcome{}, Bytes: 387302, Wait: 9 * time.Millisecond, Encode: 2 * time.Millisecond, Write: 328 * time.Millisecond, Queued: 99})
	}
	if got, want := strings.Count(out.String(), "\n"), 1; got != want {
		t.Errorf("after slow messages: got %d lines, want %d:\n%s", got, want, out.String())
	}
	for _, want := range []string{"link is behind", "to=\"x:1\"", "message=Outcome", "wait=9ms", "encode=2ms", "write=328ms", "bytes=387302", "queued=99"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("got log %q, want %q in it", out.String(), want)
		}
	}
	if got, want := r.Get(metricLinkBehind).(metrics.Counter).Count(), int64(3); got != want {
		t.Errorf("slow messages: got %d, want %d", got, want)
	}
	if got, want := r.Get(metricLinkBytes).(metrics.Counter).Count(), int64(83+3*387302); got != want {
		t.Errorf("bytes: got %d, want %d", got, want)
	}
	if got, want := r.Get(metricLinkWrite).(metrics.Histogram).Max(), (328 * time.Millisecond).Microseconds(); got != want {
		t.Errorf("longest write: got %d us, want %d", got, want)
	}
}
