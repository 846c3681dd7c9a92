// Package usage reads what the process uses of its machine.
package usage

import (
	"runtime/metrics"
	"syscall"
	"time"
)

// Usage is what the process uses. The durations are totals since its start.
type Usage struct {
	Processor   time.Duration // as the operating system charges it
	RuntimeBusy time.Duration // as the Go runtime estimates it at the end of each garbage collection
	GC          time.Duration // part of RuntimeBusy that is spent on garbage collection
	GCCycles    uint64
	Goroutines  uint64
	HeapBytes   uint64 // objects, including those that aren't collected yet
}

// The samples of the runtime that Read reads, as indexes of sampleNames.
const (
	gcTime = iota
	totalTime
	idleTime
	gcCycles
	goroutines
	heapBytes
)

var sampleNames = [...]string{
	gcTime:     "/cpu/classes/gc/total:cpu-seconds",
	totalTime:  "/cpu/classes/total:cpu-seconds",
	idleTime:   "/cpu/classes/idle:cpu-seconds",
	gcCycles:   "/gc/cycles/total:gc-cycles",
	goroutines: "/sched/goroutines:goroutines",
	heapBytes:  "/memory/classes/heap/objects:bytes",
}

// Read returns the usage up to now.
func Read() Usage {
	samples := make([]metrics.Sample, len(sampleNames))
	for i, name := range sampleNames {
		samples[i].Name = name
	}
	metrics.Read(samples)
	return Usage{
		Processor:   processorTime(),
		RuntimeBusy: seconds(samples[totalTime]) - seconds(samples[idleTime]),
		GC:          seconds(samples[gcTime]),
		GCCycles:    number(samples[gcCycles]),
		Goroutines:  number(samples[goroutines]),
		HeapBytes:   number(samples[heapBytes]),
	}
}

// Since returns u with its totals counted from an earlier reading on.
func (u Usage) Since(earlier Usage) Usage {
	u.Processor -= earlier.Processor
	u.RuntimeBusy -= earlier.RuntimeBusy
	u.GC -= earlier.GC
	u.GCCycles -= earlier.GCCycles
	return u
}

// GCShare returns the fraction of the processor time that is spent on garbage collection; zero
// if no collection has ended.
func (u Usage) GCShare() float64 {
	if u.RuntimeBusy <= 0 {
		return 0
	}
	return u.GC.Seconds() / u.RuntimeBusy.Seconds()
}

// processorTime returns what the process has used so far, or zero if the operating system doesn't tell.
func processorTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// seconds returns a sample in seconds, or zero for one that the runtime doesn't know.
func seconds(s metrics.Sample) time.Duration {
	if s.Value.Kind() != metrics.KindFloat64 {
		return 0
	}
	return time.Duration(s.Value.Float64() * float64(time.Second))
}

// number returns a sample that is a number, or zero for one that the runtime doesn't know.
func number(s metrics.Sample) uint64 {
	if s.Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return s.Value.Uint64()
}
