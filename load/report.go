package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"tamaracknotch/daemon"
)

// Report is the result of a default run. Durations are in milliseconds.
type Report struct {
	Policies daemon.Policies  `json:"decisions"`
	Services []ServiceReport  `json:"services"`
	Batch    BatchReport      `json:"batch"`
	Promises []PromiseReport  `json:"promises"`
	Examples []string         `json:"examples,omitempty"`
	Sends    float64          `json:"sends-per-request"`
	TooLate  int              `json:"sent-too-late"` // requests that reached a stopping entry after its drain delay and got no answer
	Counters map[string]int64 `json:"counters"`
}

// ServiceReport sums up the requests of one service as seen by its callers.
type ServiceReport struct {
	Service       string         `json:"service"`
	Requests      int            `json:"requests"`
	P50           float64        `json:"p50-ms"`
	P95           float64        `json:"p95-ms"`
	P99           float64        `json:"p99-ms"`
	PeakShare     float64        `json:"crest-served-of-capacity"` // successful answers at peak demand, relative to the capacity
	ShortSlowdown float64        `json:"short-p99-slowdown"`       // p99 of latency divided by service time, of short requests
	Refusals      map[string]int `json:"refusals,omitempty"`
}

// BatchReport sums up the batch tasks.
type BatchReport struct {
	Tasks         int     `json:"tasks"`
	PerSecond     float64 `json:"per-second"`
	Evictions     int     `json:"evictions"`
	ShortSlowdown float64 `json:"short-p99-slowdown"`  // p99 of the time from submission to result divided by run time, of short tasks
	UrgentStart   float64 `json:"urgent-start-p99-ms"` // p99 of the time from submission to result less run time, of urgent tasks
}

// PromiseReport counts the checks and the violations of a promise.
type PromiseReport struct {
	Promise    string `json:"promise"`
	Checks     int    `json:"checks"`
	Violations int    `json:"violations"`
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// quantile returns the q-quantile of values, which it sorts, or 0 if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}

// report sums up the samples of a profile.
func (c *callers) report() ServiceReport {
	r := ServiceReport{Service: c.profile.name, Requests: len(c.samples), Refusals: c.refusals}
	var latencies, slowdowns []float64
	servedAtPeak := 0
	for _, s := range c.samples {
		if s.ok {
			latencies = append(latencies, milliseconds(s.latency))
		}
		if s.ok && s.short && s.work == c.profile.short {
			slowdowns = append(slowdowns, float64(s.latency)/float64(s.work))
		}
		if s.ok && atPeak(s.sentAt+s.latency) {
			servedAtPeak++
		}
	}
	r.P50, r.P95, r.P99 = quantile(latencies, 0.5), quantile(latencies, 0.95), quantile(latencies, 0.99)
	r.ShortSlowdown = quantile(slowdowns, 0.99)
	if span := c.peakDuration(); span > 0 {
		r.PeakShare = float64(servedAtPeak) / (c.profile.capacity() * span.Seconds())
	}
	return r
}

// atPeak reports whether the demand is at or above the capacity, t after the start of
// the load.
func atPeak(t time.Duration) bool { return demandAt(t) >= 1 }

// peakDuration returns how long the demand was at or above the capacity, in steps of
// 10 ms up to the last request.
func (c *callers) peakDuration() time.Duration {
	const step = 10 * time.Millisecond
	span, last := time.Duration(0), time.Duration(0)
	for _, s := range c.samples {
		last = max(last, s.sentAt)
	}
	for t := time.Duration(0); t < last; t += step {
		if atPeak(t) {
			span += step
		}
	}
	return span
}

// report sums up the tasks of a load that lasted for span.
func (b *batchLoad) report(span time.Duration) BatchReport {
	var r BatchReport
	var slowdowns, urgentDelays []float64
	for _, t := range b.tasks {
		done, ok := b.testbed.tasks.finishedAt[t.id]
		if !ok {
			continue
		}
		r.Tasks++
		took := done.Sub(t.submitted)
		if t.urgent {
			urgentDelays = append(urgentDelays, milliseconds(took-t.work))
		} else if t.short {
			slowdowns = append(slowdowns, float64(took)/float64(t.work))
		}
	}
	r.PerSecond = float64(r.Tasks) / span.Seconds()
	r.Evictions = b.testbed.tasks.evictions
	r.ShortSlowdown, r.UrgentStart = quantile(slowdowns, 0.99), quantile(urgentDelays, 0.99)
	return r
}

// report returns the counts of all promises in the order of the report.
func (c *checker) report() (out []PromiseReport) {
	for _, p := range promises {
		out = append(out, PromiseReport{Promise: string(p), Checks: c.checks[p], Violations: c.violations[p]})
	}
	return out
}

// Print writes the report as tables.
func (r Report) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "service\trequests\tp50 ms\tp95 ms\tp99 ms\tserved of capacity at the crest\tp99 slowdown of short\t")
	for _, s := range r.Services {
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.0f%%\t%.1f\t\n", s.Service, s.Requests, s.P50, s.P95, s.P99, 100*s.PeakShare, s.ShortSlowdown)
	}
	t.Flush()
	b := r.Batch
	fmt.Fprintf(w, "\nbatch: %d tasks, %.1f a second, %d evictions, p99 slowdown of short %.1f, urgent start p99 %.0f ms\n",
		b.Tasks, b.PerSecond, b.Evictions, b.ShortSlowdown, b.UrgentStart)
	fmt.Fprintf(w, "sends per request: %.3f\n", r.Sends)
	fmt.Fprintf(w, "requests sent to a stopping entry after its drain delay: %d\n\n", r.TooLate)
	t = tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "promise\tchecks\tviolations")
	for _, p := range r.Promises {
		fmt.Fprintf(t, "%s\t%d\t%d\n", p.Promise, p.Checks, p.Violations)
	}
	t.Flush()
	for _, e := range r.Examples {
		fmt.Fprintln(w, "violated:", e)
	}
}

// writeJSON writes v to the named file; the name - stands for out.
func writeJSON(name string, out io.Writer, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	b = append(b, '\n')
	if name == "-" {
		_, err = out.Write(b)
		return err
	}
	return errors.Wrap(os.WriteFile(name, b, 0o644), "write report")
}
