package daemon

import (
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"

	notch "tamaracknotch"
)

// TestMetricsAsText checks that the text of the metrics holds a distribution of the sink, the
// bytes sent by kind of message, and the gauges of what the process uses.
func TestMetricsAsText(t *testing.T) {
	r := metrics.NewRegistry()
	registerUsage(r)
	s := sink{registry: r}
	for v := range int64(100) {
		s.Value("control-loop-wait-us", v+1)
	}
	s.Count("control-loop-behind", 2)
	s.countSent(notch.EntryGrant{}, 17100)
	var text strings.Builder
	metrics.WriteOnce(r, &text)
	for _, want := range []string{
		"histogram control-loop-wait-us", "counter control-loop-behind", "counter link-bytes-sent-entry-grant", "gauge process-processor-us", "gauge runtime-gc-us",
		"gauge runtime-gc-share", "gauge runtime-goroutines", "gauge runtime-heap-bytes",
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("got no %q, want it in the metrics:\n%s", want, text.String())
		}
	}
	h := r.Get("control-loop-wait-us").(metrics.Histogram)
	if got, want := h.Max(), int64(100); got != want {
		t.Errorf("longest wait: got %d, want %d", got, want)
	}
}
