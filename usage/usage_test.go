package usage

import (
	"runtime"
	"testing"
	"time"
)

func TestRead(t *testing.T) {
	before := Read()
	for start := time.Now(); time.Since(start) < 20*time.Millisecond; {
		runtime.GC()
	}
	got := Read().Since(before)
	if got.Processor <= 0 || got.RuntimeBusy <= 0 || got.GC <= 0 || got.GCCycles == 0 {
		t.Errorf("got %+v, want totals that grow", got)
	}
	if got.Goroutines == 0 || got.HeapBytes == 0 {
		t.Errorf("got %+v, want goroutines and a heap", got)
	}
}

func TestGCShare(t *testing.T) {
	for _, c := range []struct {
		usage Usage
		want  float64
	}{
		{Usage{}, 0},
		{Usage{RuntimeBusy: 4 * time.Second, GC: time.Second}, 0.25},
	} {
		if got := c.usage.GCShare(); got != c.want {
			t.Errorf("%+v: got %v, want %v", c.usage, got, c.want)
		}
	}
}
