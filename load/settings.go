// Package load is the load and experiment tool, notchload. Its default run
// starts three daemons and small stand-ins for all that surrounds them in one
// process on loopback, and checks every promise while it measures.
package load

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"tamaracknotch/daemon"
)

// settings are the flags of a default run.
type settings struct {
	daemon.Decisions
	Naive    bool          `arg:"--naive" help:"the naive baseline of every decision"`
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
	if bad := s.Wrong(); len(bad) > 0 {
		return errors.New(strings.Join(bad, "; "))
	}
	return nil
}

// resolved replaces every decision by its baseline if --naive is set.
func (s settings) resolved() settings {
	if s.Naive {
		s.Decisions = daemon.NaiveDecisions()
	}
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
