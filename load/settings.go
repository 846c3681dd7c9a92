package load

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"tamaracknotch/daemon"
)

// settings holds the flags of the default run.
type settings struct {
	daemon.Policies
	Naive    bool          `arg:"--naive" help:"use the naive baseline of every decision policy"`
	Duration time.Duration `arg:"--duration" default:"20s" help:"duration of the load, 10s to 45s"`
	Seed     uint64        `arg:"--seed" default:"1" help:"random seed of the load"`
	JSON     string        `arg:"--json" help:"write the report to this file; - for standard output" placeholder:"FILE"`
	Quiet    bool          `arg:"--quiet" help:"print no progress"`
}

// The range of --duration.
const (
	minDuration = 10 * time.Second
	maxDuration = 45 * time.Second
)

// check reports the flags that have invalid values.
func (s settings) check() error {
	if s.Duration < minDuration || s.Duration > maxDuration {
		return errors.Errorf("--duration is %v: must be %v to %v", s.Duration, minDuration, maxDuration)
	}
	if bad := s.Problems(); len(bad) > 0 {
		return errors.New(strings.Join(bad, "; "))
	}
	return nil
}

// withBaselines replaces every decision policy by its naive baseline if --naive is
// set.
func (s settings) withBaselines() settings {
	if s.Naive {
		s.Policies = daemon.NaivePolicies()
	}
	return s
}

// profile describes one workload, scaled down to run in one process.
type profile struct {
	name               string
	pool               string
	domains            []string
	servers            int
	slots              int
	workers            int
	milliCPU           int64         // processors of each worker in thousandths; its memory in MB is the same number
	short              time.Duration // service time of a short request
	long               time.Duration
	longShare          float64 // share of the requests that take long
	stragglerShare     float64 // share of the requests that take stragglerFactor times as long
	nonIdempotentShare float64 // share of the requests that are not idempotent
}

// stragglerFactor multiplies the service time of a straggler.
const stragglerFactor = 30

var profiles = []profile{
	{
		name: "strikeledger", pool: "strike-records", domains: []string{"north", "south", "west"},
		servers: 6, slots: 4, workers: 6, milliCPU: 4000,
		short: 8 * time.Millisecond, long: 60 * time.Millisecond, longShare: 0.1, stragglerShare: 0.005, nonIdempotentShare: 0.1,
	},
	{
		name: "kilnseconds", pool: "sale", domains: []string{"north", "south", "west"},
		servers: 6, slots: 4, workers: 4, milliCPU: 8000,
		short: 10 * time.Millisecond, long: 40 * time.Millisecond, longShare: 0.2, stragglerShare: 0.005, nonIdempotentShare: 0.3,
	},
}

// meanServiceTime returns the expected service time of a request.
func (p profile) meanServiceTime() time.Duration {
	base := float64(p.short)*(1-p.longShare) + float64(p.long)*p.longShare
	return time.Duration(base * (1 + p.stragglerShare*(stragglerFactor-1)))
}

// capacity returns the number of requests per second that the backend servers of the
// profile can serve.
func (p profile) capacity() float64 {
	return float64(p.servers*p.slots) / p.meanServiceTime().Seconds()
}
