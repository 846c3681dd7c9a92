package experiment

import (
	"runtime"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/wire"
)

// linearFit is a cost measured at several sizes, and the straight line fitted to it.
type linearFit struct {
	name      string
	unit      string
	sizes     []int
	costs     []float64
	intercept float64 // fitted cost at size 0
	slope     float64 // fitted cost of one more unit of size
	rSquared  float64 // coefficient of determination
}

// fitLine measures the cost at each size and fits a line by least squares.
func fitLine(name, unit string, sizes []int, cost func(n int) float64) linearFit {
	s := linearFit{name: name, unit: unit, sizes: sizes}
	var sx, sy, sxx, sxy, syy float64
	for _, n := range sizes {
		c := cost(n)
		s.costs = append(s.costs, c)
		x := float64(n)
		sx, sy, sxx, sxy, syy = sx+x, sy+c, sxx+x*x, sxy+x*c, syy+c*c
	}
	n := float64(len(sizes))
	s.slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	s.intercept = (sy - s.slope*sx) / n
	if v := (n*sxx - sx*sx) * (n*syy - sy*sy); v > 0 {
		s.rSquared = (n*sxy - sx*sy) * (n*sxy - sx*sy) / v
	}
	return s
}

// costAt returns the cost at size n according to the fitted line.
func (s linearFit) costAt(n int) float64 { return s.intercept + s.slope*float64(n) }

// row returns the measured sizes and costs, and the parameters of the line.
func (s linearFit) row() Row {
	v := []float64{}
	for i := range s.sizes {
		v = append(v, float64(s.sizes[i]), s.costs[i])
	}
	return Row{s.name + ", " + s.unit, append(v, s.intercept, s.slope, s.rSquared)}
}

// medianMicros returns the median duration of several runs of f in microseconds. Other
// processes on the host affect the median less than the mean.
func medianMicros(runs int, f func()) float64 {
	times := make([]float64, runs)
	for i := range times {
		start := time.Now()
		f()
		times[i] = float64(time.Since(start).Nanoseconds()) / 1000
	}
	return median(times)
}

// encodedBytes returns the size of an encoded message.
func encodedBytes(m notch.Message) float64 {
	b, err := wire.EncodeMessage(m)
	if err != nil {
		panic(err) // every message type of package notch can be encoded
	}
	return float64(len(b))
}

// processMB returns the memory that the Go runtime has obtained from the operating
// system, in MB.
func processMB() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.Sys) / 1e6
}

// heapBytes returns the size of the heap that the value returned by build occupies.
func heapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
