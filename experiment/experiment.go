// Package experiment measures decisions in virtual time, each beside a naive
// baseline in the same run. The same seed gives the same figures on every host,
// but for those that are said to be of this machine.
package experiment

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
)

// Table is a result: rows of figures under named columns.
type Table struct {
	Title   string   `json:"title"`
	Columns []string `json:"columns"`
	Rows    []Row    `json:"rows"`
	Checks  []Check  `json:"checks,omitempty"`
}

// Check compares a figure with a target that the users stated.
type Check struct {
	What string  `json:"what"`
	Got  float64 `json:"got"`
	Most float64 `json:"most,omitempty"`
	// Least is used instead of Most if it is above zero.
	Least float64 `json:"least,omitempty"`
}

// Met reports whether the target is met.
func (c Check) Met() bool {
	if c.Least > 0 {
		return c.Got >= c.Least
	}
	return c.Got <= c.Most
}

// String formats a check for people.
func (c Check) String() string {
	verdict, bound := "met", "at most "+number(c.Most)
	if c.Least > 0 {
		bound = "at least " + number(c.Least)
	}
	if !c.Met() {
		verdict = "MISSED"
	}
	return fmt.Sprintf("%s: %s: %s, wanted %s", verdict, c.What, number(c.Got), bound)
}

// value returns a figure of a row by its column.
func (t Table) value(row, column string) float64 {
	r := slices.IndexFunc(t.Rows, func(r Row) bool { return r.Name == row })
	c := slices.Index(t.Columns, column)
	return t.Rows[r].Values[c]
}

// ratio returns a figure of the chosen decisions relative to the naive ones.
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

// Print writes t for people.
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
			fmt.Fprintf(tw, "%s\t", number(v))
		}
		fmt.Fprintln(tw)
	}
	tw.Flush()
	for _, c := range t.Checks {
		fmt.Fprintln(w, c)
	}
	fmt.Fprintln(w)
}

func number(v float64) string {
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

// parallel fills rows side by side; each is computed by itself.
func parallel(n int, row func(i int) Row) []Row {
	out := make([]Row, n)
	var wg sync.WaitGroup
	limit := make(chan struct{}, maxParallel)
	for i := range n {
		wg.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			out[i] = row(i)
		})
	}
	wg.Wait()
	return out
}

// maxParallel bounds the worlds that run at once, and with them the memory.
const maxParallel = 6

// Names lists the experiments.
func Names() []string { return slices.Clone(names) }

var names = []string{"traffic", "batch", "control", "capacity"}

// Run runs the named experiment. Full runs it at full size instead of a third.
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
	return nil, fmt.Errorf("there is no experiment %q", name)
}
