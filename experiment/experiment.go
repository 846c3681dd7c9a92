// Package experiment compares the decisions of the scheduler with naive baselines.
// The experiments traffic, batch and control run in virtual time: the same seed gives
// the same figures on every host. The experiment capacity measures the CPU time and
// memory of this host, so that its figures differ between hosts and runs.
package experiment

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
)

// Table is the result of an experiment: rows of figures under named columns.
type Table struct {
	Title   string   `json:"title"`
	Columns []string `json:"columns"`
	Rows    []Row    `json:"rows"`
	Checks  []Check  `json:"checks,omitempty"`
}

// Check compares a measured figure with a target that the users stated.
type Check struct {
	Name     string  `json:"what"`
	Measured float64 `json:"got"`
	Max      float64 `json:"most,omitempty"`
	// Min replaces Max if it is above zero.
	Min float64 `json:"least,omitempty"`
}

// Met reports whether the target is met.
func (c Check) Met() bool {
	if c.Min > 0 {
		return c.Measured >= c.Min
	}
	return c.Measured <= c.Max
}

// String formats the check as a line of text.
func (c Check) String() string {
	verdict, bound := "met", "at most "+formatNumber(c.Max)
	if c.Min > 0 {
		bound = "at least " + formatNumber(c.Min)
	}
	if !c.Met() {
		verdict = "MISSED"
	}
	return fmt.Sprintf("%s: %s: %s, wanted %s", verdict, c.Name, formatNumber(c.Measured), bound)
}

// value returns the figure in the named row and column, which must exist.
func (t Table) value(row, column string) float64 {
	r := slices.IndexFunc(t.Rows, func(r Row) bool { return r.Name == row })
	c := slices.Index(t.Columns, column)
	return t.Rows[r].Values[c]
}

// ratio returns the figure of the chosen policy divided by that of the naive policy, or
// 0 if the naive figure is 0.
func (t Table) ratio(column string) float64 {
	naive := t.value("naive", column)
	if naive == 0 {
		return 0
	}
	return t.value("chosen", column) / naive
}

// Row is one line of a table.
type Row struct {
	Name   string    `json:"name"`
	Values []float64 `json:"values"`
}

// Print writes t and its checks as text.
func (t Table) Print(w io.Writer) {
	fmt.Fprintf(w, "%s\n", t.Title)
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(tw, " \t")
	for _, c := range t.Columns {
		fmt.Fprintf(tw, "%s\t", c)
	}
	fmt.Fprintln(tw)
	for _, r := range t.Rows {
		fmt.Fprintf(tw, "%s\t", r.Name)
		for _, v := range r.Values {
			fmt.Fprintf(tw, "%s\t", formatNumber(v))
		}
		fmt.Fprintln(tw)
	}
	tw.Flush()
	for _, c := range t.Checks {
		fmt.Fprintln(w, c)
	}
	fmt.Fprintln(w)
}

// formatNumber formats integers in full. Other numbers get three decimals, or fewer if
// they are large.
func formatNumber(v float64) string {
	switch {
	case v == float64(int64(v)):
		return fmt.Sprintf("%d", int64(v))
	case v >= 100 || v <= -100:
		return fmt.Sprintf("%.0f", v)
	case v >= 10 || v <= -10:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.3f", v)
	}
}

// quantile returns the q-quantile of sorted values, or 0 if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// parallelRows computes n independent rows concurrently and returns them in order.
func parallelRows(n int, row func(i int) Row) []Row {
	out := make([]Row, n)
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxParallel)
	for i := range n {
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			out[i] = row(i)
		})
	}
	wg.Wait()
	return out
}

// maxParallel limits the number of simulations that run at once, which limits the memory.
const maxParallel = 6

// Names lists the experiments that Run accepts.
func Names() []string { return slices.Clone(names) }

var names = []string{"traffic", "batch", "control", "capacity"}

// Run runs the named experiment. If full is false, it uses fewer hosts, shorter runs or
// fewer samples, and so takes less time.
func Run(name string, full bool, seed uint64) ([]Table, error) {
	switch name {
	case "traffic":
		return Traffic(full, seed), nil
	case "batch":
		return Batch(full, seed), nil
	case "control":
		return Control(full, seed), nil
	case "capacity":
		return Capacity(full, seed), nil
	}
	return nil, fmt.Errorf("unknown experiment %q: allowed are %s", name, strings.Join(names, ", "))
}
