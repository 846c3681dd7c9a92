package notch

import "fmt"

// Resources is an amount of each resource that a host offers and a task occupies.
type Resources struct {
	MilliCPU     int64 // thousandths of a processor
	MemoryMB     int64 // mebibytes
	Accelerators int64 // whole devices
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns r minus o. A component may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether no component of r exceeds that of available.
func (r Resources) Fits(available Resources) bool {
	return r.MilliCPU <= available.MilliCPU && r.MemoryMB <= available.MemoryMB && r.Accelerators <= available.Accelerators
}

// IsZero reports whether every component is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// Valid reports whether no component is negative.
func (r Resources) Valid() bool {
	return r.MilliCPU >= 0 && r.MemoryMB >= 0 && r.Accelerators >= 0
}

// Share returns the dominant share of r: the largest fraction of total that r
// occupies in any component.
func (r Resources) Share(total Resources) float64 {
	share := ratio(r.MilliCPU, total.MilliCPU)
	share = max(share, ratio(r.MemoryMB, total.MemoryMB))
	return max(share, ratio(r.Accelerators, total.Accelerators))
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// String formats r for log messages and reasons.
func (r Resources) String() string {
	return fmt.Sprintf("%d milli-cpu, %d MB, %d accelerators", r.MilliCPU, r.MemoryMB, r.Accelerators)
}
