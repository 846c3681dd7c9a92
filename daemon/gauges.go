package daemon

import (
	"github.com/rcrowley/go-metrics"

	"tamaracknotch/descriptors"
	"tamaracknotch/usage"
)

// registerUsage registers gauges of what the process uses. Those in microseconds are totals
// since its start.
func registerUsage(r metrics.Registry) {
	for name, value := range map[string]func(usage.Usage) int64{
		"process-processor-us": func(u usage.Usage) int64 { return u.Processor.Microseconds() },
		"runtime-busy-us":      func(u usage.Usage) int64 { return u.RuntimeBusy.Microseconds() },
		"runtime-gc-us":        func(u usage.Usage) int64 { return u.GC.Microseconds() },
		"runtime-gc-cycles":    func(u usage.Usage) int64 { return int64(u.GCCycles) },
		"runtime-goroutines":   func(u usage.Usage) int64 { return int64(u.Goroutines) },
		"runtime-heap-bytes":   func(u usage.Usage) int64 { return int64(u.HeapBytes) },
	} {
		r.Register(name, metrics.NewFunctionalGauge(func() int64 { return value(usage.Read()) }))
	}
	r.Register("runtime-gc-share", metrics.NewFunctionalGaugeFloat64(func() float64 { return usage.Read().GCShare() }))
}

// registerDescriptors registers gauges of the descriptors that the process has open and may have open.
func registerDescriptors(r metrics.Registry, limit int) {
	r.Register("descriptors-open", metrics.NewFunctionalGauge(func() int64 {
		n, err := descriptors.InUse()
		if err != nil {
			return -1
		}
		return int64(n)
	}))
	r.Register("descriptors-limit", metrics.NewFunctionalGauge(func() int64 { return int64(limit) }))
}
