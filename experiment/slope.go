package experiment

import (
	"runtime"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/wire"
)

// slope is a cost at several sizes and its fit by a straight line.
type slope struct {
	name   string
	unit   string
	sizes  []int
	costs  []float64
	base   float64 // fitted cost at size 0
	each   float64 // fitted cost of one more
	square float64 // coefficient of determination
}

// fit returns the least-squares line through the costs.
func fit(name, unit string, sizes []int, cost func(n int) float64) slope {
	s := slope{name: name, unit: unit, sizes: sizes}
	var sx, sy, sxx, sxy, syy float64
	for _, n := range sizes {
		c := cost(n)
		s.costs = append(s.costs, c)
		x := float64(n)
		sx, sy, sxx, sxy, syy = sx+x, sy+c, sxx+x*x, sxy+x*c, syy+c*c
	}
	n := float64(len(sizes))
	s.each = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	s.base = (sy - s.each*sx) / n
	if v := (n*sxx - sx*sx) * (n*syy - sy*sy); v > 0 {
		s.square = (n*sxy - sx*sy) * (n*sxy - sx*sy) / v
	}
	return s
}

func (s slope) at(n int) float64 { return s.base + s.each*float64(n) }

func (s slope) row() Row {
	v := []float64{}
	for i := range s.sizes {
		v = append(v, float64(s.sizes[i]), s.costs[i])
	}
	return Row{s.name + ", " + s.unit, append(v, s.base, s.each, s.square)}
}

// micros times f in microseconds: the median of several runs, so that another
// process on the host disturbs little.
func micros(runs int, f func()) float64 {
	times := make([]float64, runs)
	for i := range times {
		began := time.Now()
		f()
		times[i] = float64(time.Since(began).Nanoseconds()) / 1000
	}
	return median(times)
}

// bytesOf is the encoded size of a message.
func bytesOf(m notch.Message) float64 {
	b, err := wire.EncodeMessage(m)
	if err != nil {
		panic(err) // Every message of the package can be encoded.
	}
	return float64(len(b))
}

// processMB is the memory that the process has taken from the system.
func processMB() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.Sys) / 1e6
}

// heapOf is the heap that the value returned by build holds, in bytes.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
