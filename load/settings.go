// Package load is the load and experiment tool, notchload. Its default run
// starts three daemons and small stand-ins for all that surrounds them in one
// process on loopback, and checks every promise while it measures.
package load

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tamaracknotch/daemon"
	"tamaracknotch/order"
	"tamaracknotch/pick"
	"tamaracknotch/place"
	"tamaracknotch/queue"
	"tamaracknotch/retry"
	"tamaracknotch/share"
)

// choices are the decisions that can be replaced by a naive baseline.
type choices struct {
	Naive     bool   `arg:"--naive" help:"the naive baseline of every decision"`
	Picker    string `arg:"--picker" default:"work" help:"work, tail, load, all, two or random"`
	Queue     string `arg:"--queue" default:"short-first" help:"short-first or fifo"`
	Retry     string `arg:"--retry" default:"budget" help:"budget, no-hedge or unlimited"`
	Share     string `arg:"--share" default:"demand" help:"demand or equal"`
	Placer    string `arg:"--placer" default:"scored" help:"scored or first-fit"`
	TaskOrder string `arg:"--task-order" default:"short-first" help:"short-first or fifo"`
}

// settings are the flags of a default run.
type settings struct {
	choices
	Duration time.Duration `arg:"--duration" default:"20s" help:"length of the load, 10s to 45s"`
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of the load"`
	JSON     string        `arg:"--json" help:"write the report to this file; - for standard output" placeholder:"FILE"`
	Quiet    bool          `arg:"--quiet" help:"show no progress"`
}

// The range of the length of a run.
const (
	minDuration = 10 * time.Second
	maxDuration = 45 * time.Second
)

func (s settings) check() error {
	if s.Duration < minDuration || s.Duration > maxDuration {
		return errors.Errorf("--duration is %v: must be %v to %v", s.Duration, minDuration, maxDuration)
	}
	return s.choices.check()
}

func (c choices) check() error {
	var bad []string
	one := func(flag, value string, names []string) {
		if !slices.Contains(names, value) {
			bad = append(bad, flag+" is "+value+": must be one of "+strings.Join(names, ", "))
		}
	}
	one("--picker", c.Picker, pick.Names())
	one("--queue", c.Queue, queue.Names())
	one("--retry", c.Retry, retry.Names())
	one("--share", c.Share, share.Names())
	one("--placer", c.Placer, place.Names())
	one("--task-order", c.TaskOrder, order.Names())
	if len(bad) > 0 {
		return errors.New(strings.Join(bad, "; "))
	}
	return nil
}

// resolved replaces every choice by its baseline if --naive is set.
func (c choices) resolved() choices {
	if !c.Naive {
		return c
	}
	last := func(names []string) string { return names[len(names)-1] }
	return choices{
		Naive: true, Picker: last(pick.Names()), Queue: last(queue.Names()), Retry: last(retry.Names()),
		Share: last(share.Names()), Placer: last(place.Names()), TaskOrder: last(order.Names()),
	}
}

// apply sets the choices in a daemon's settings.
func (c choices) apply(s daemon.Settings) daemon.Settings {
	s.Picker, s.Queue, s.Retry, s.Share, s.Placer, s.TaskOrder = c.Picker, c.Queue, c.Retry, c.Share, c.Placer, c.TaskOrder
	return s
}

// profile is one workload, scaled down to fit one process.
type profile struct {
	name      string
	pool      string
	domains   []string
	servers   int
	slots     int
	workers   int
	milliCPU  int64         // of each worker
	short     time.Duration // service time of a short request
	long      time.Duration
	longShare float64 // of the requests
	straggle  float64 // share of requests that take stragglerFactor times longer
	once      float64 // share of non-idempotent requests
}

// stragglerFactor is how much longer a straggler takes.
const stragglerFactor = 30

var profiles = []profile{
	{
		name: "strikeledger", pool: "strike-records", domains: []string{"north", "south", "west"},
		servers: 6, slots: 4, workers: 6, milliCPU: 4000,
		short: 8 * time.Millisecond, long: 60 * time.Millisecond, longShare: 0.1, straggle: 0.005, once: 0.1,
	},
	{
		name: "kilnseconds", pool: "sale", domains: []string{"north", "south", "west"},
		servers: 6, slots: 4, workers: 4, milliCPU: 8000,
		short: 10 * time.Millisecond, long: 40 * time.Millisecond, longShare: 0.2, straggle: 0.005, once: 0.3,
	},
}

// mean is the mean service time of the profile's requests.
func (p profile) mean() time.Duration {
	base := float64(p.short)*(1-p.longShare) + float64(p.long)*p.longShare
	return time.Duration(base * (1 + p.straggle*(stragglerFactor-1)))
}

// capacity is the rate that the profile's backend servers can serve, per second.
func (p profile) capacity() float64 {
	return float64(p.servers*p.slots) / p.mean().Seconds()
}
