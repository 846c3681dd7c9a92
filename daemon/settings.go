// Package daemon puts one process of the system together: settings, logs,
// metrics, the reducers' parts, listeners, and an ordered start and stop.
package daemon

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tamaracknotch/api"
	"tamaracknotch/flow"
	"tamaracknotch/link"
	"tamaracknotch/order"
	"tamaracknotch/pick"
	"tamaracknotch/place"
	"tamaracknotch/queue"
	"tamaracknotch/retry"
	"tamaracknotch/share"
	"tamaracknotch/table"
)

// Settings are what a process learns from its flags and its environment.
type Settings struct {
	Name          string   `arg:"--name,env:NOTCH_NAME,required" help:"host name, unique among the daemons" placeholder:"NAME"`
	FailureDomain string   `arg:"--failure-domain,env:NOTCH_FAILURE_DOMAIN,required" help:"failure domain of this host" placeholder:"NAME"`
	Listen        string   `arg:"--listen,env:NOTCH_LISTEN" default:"127.0.0.1:8080" help:"address for callers, backend servers and workers; empty: none" placeholder:"IP:PORT"`
	Operators     string   `arg:"--operators,env:NOTCH_OPERATORS" default:"127.0.0.1:8081" help:"address for operators, metrics and health; empty: none" placeholder:"IP:PORT"`
	Link          string   `arg:"--link,env:NOTCH_LINK" default:"127.0.0.1:8082" help:"address for the other daemons; it must be reachable from them" placeholder:"IP:PORT"`
	Join          []string `arg:"--join,env:NOTCH_JOIN" help:"link addresses of some other daemons" placeholder:"IP:PORT"`
	JoinPort      int      `arg:"--join-port,env:NOTCH_JOIN_PORT" help:"port that replaces the one of each address in --join, if all daemons have the same; 0: none" placeholder:"PORT"`
	Health        string   `arg:"--health,env:NOTCH_HEALTH" help:"address that tells the balancer alone whether callers are served; empty: none" placeholder:"IP:PORT"`
	Metrics       string   `arg:"--metrics,env:NOTCH_METRICS" help:"address that serves the metrics alone; empty: none" placeholder:"IP:PORT"`
	Face          string   `arg:"--face,env:NOTCH_FACE" default:"own" help:"protocol spoken with callers, operators and workers: own, or the name of an adapter that is built in" placeholder:"NAME"`
	Replicas      int      `arg:"--replicas,env:NOTCH_REPLICAS" help:"voters that the leader chooses among the daemons with a data folder; 0: the pool control lists them" placeholder:"N"`
	EntryLease    Duration `arg:"--entry-lease,env:NOTCH_ENTRY_LEASE" default:"3s" help:"how long an entry serves without a word from the leader, and so the longest that an edit takes to be in force" placeholder:"DURATION"`
	AgentLease    Duration `arg:"--agent-lease,env:NOTCH_AGENT_LEASE" default:"5s" help:"how long the tasks on a worker that takes orders go on without a word from the leader" placeholder:"DURATION"`
	DataDir       string   `arg:"--data-dir,env:NOTCH_DATA_DIR" help:"folder for the control state; makes this daemon a control replica once the pool control lists its name" placeholder:"FOLDER"`
	Bootstrap     bool     `arg:"--bootstrap,env:NOTCH_BOOTSTRAP" help:"begin a new cluster if the data folder is empty; give it to one daemon only, once, or to several with the same --join: of those that it lists, the first begins"`
	RecoverAlone  bool     `arg:"--recover-alone,env:NOTCH_RECOVER_ALONE" help:"after the majority of the control replicas is lost for good: go on as the only one"`
	LinkKey       string   `arg:"--link-key,env:NOTCH_LINK_KEY" help:"key that all daemons share; without one every address must be on loopback" placeholder:"KEY"`
	OperatorKey   string   `arg:"--operator-key,env:NOTCH_OPERATOR_KEY" help:"key that operators send; without one every address must be on loopback" placeholder:"KEY"`
	AgentKey      string   `arg:"--agent-key,env:NOTCH_AGENT_KEY" help:"key that backend servers and workers send; empty: none is asked for" placeholder:"KEY"`
	MemoryMB      int      `arg:"--memory-limit,env:NOTCH_MEMORY_LIMIT" help:"memory in MB above which the process would be ended; 0: none" placeholder:"MB"`
	Lanes         int      `arg:"--lanes,env:NOTCH_LANES" default:"4" help:"goroutines that decide about requests; a pool belongs to one of them"`
	DrainDelay    Duration `arg:"--drain-delay,env:NOTCH_DRAIN_DELAY" default:"3s" help:"time between becoming unready and closing the listener, for the balancer to notice" placeholder:"DURATION"`
	StopTimeout   Duration `arg:"--stop-timeout,env:NOTCH_STOP_TIMEOUT" default:"60s" help:"most time that requests in flight get to end at a stop" placeholder:"DURATION"`
	Decisions
	LogFormat string `arg:"--log-format,env:NOTCH_LOG_FORMAT" default:"text" help:"text or json"`
	LogLevel  string `arg:"--log-level,env:NOTCH_LOG_LEVEL" default:"info" help:"error, warn, info or debug"`
}

// OwnFace is the name of the protocol that needs no adapter.
const OwnFace = "own"

// joinAddresses returns the link addresses of the daemons to join.
func (s Settings) joinAddresses() []string {
	var out []string
	for _, a := range s.Join {
		if host, _, err := net.SplitHostPort(a); err == nil && s.JoinPort > 0 {
			a = net.JoinHostPort(host, strconv.Itoa(s.JoinPort))
		}
		out = append(out, a)
	}
	return out
}

// founds reports whether this daemon is the one that begins a new cluster.
func (s Settings) founds() bool {
	join := s.joinAddresses()
	return s.Bootstrap && (len(join) == 0 || slices.Min(join) == s.Link)
}

// Decisions name the behaviour that varies; the last of each choice is a naive
// baseline.
type Decisions struct {
	Picker    string `arg:"--picker,env:NOTCH_PICKER" default:"work" help:"choice of a backend server: work, tail, load, all, two or random"`
	Queue     string `arg:"--queue,env:NOTCH_QUEUE" default:"short-first" help:"order of waiting requests: short-first or fifo"`
	Retry     string `arg:"--retry,env:NOTCH_RETRY" default:"budget" help:"retries: budget, no-hedge or unlimited"`
	Share     string `arg:"--share,env:NOTCH_SHARE" default:"demand" help:"division of slots between entries: demand or equal"`
	Placer    string `arg:"--placer,env:NOTCH_PLACER" default:"scored" help:"choice of a worker: scored or first-fit"`
	TaskOrder string `arg:"--task-order,env:NOTCH_TASK_ORDER" default:"short-first" help:"order of queued tasks: short-first or fifo"`
}

// DefaultDecisions returns those that measured best; see docs/DESIGN.md.
func DefaultDecisions() Decisions {
	return Decisions{
		Picker: pick.Names()[0], Queue: queue.Names()[0], Retry: retry.Names()[0], Share: share.Names()[0],
		Placer: place.Names()[0], TaskOrder: order.Names()[0],
	}
}

// NaiveDecisions returns the baseline of each decision.
func NaiveDecisions() Decisions {
	last := func(names []string) string { return names[len(names)-1] }
	return Decisions{
		Picker: last(pick.Names()), Queue: last(queue.Names()), Retry: last(retry.Names()), Share: last(share.Names()),
		Placer: last(place.Names()), TaskOrder: last(order.Names()),
	}
}

// Wrong lists the choices that don't exist.
func (d Decisions) Wrong() []string {
	var bad []string
	d.check(func(flag string, value any, allowed string) {
		bad = append(bad, fmt.Sprintf("%s is %q: %s", flag, value, allowed))
	})
	return bad
}

func (d Decisions) check(fail func(string, any, string)) {
	one := oneOf(fail)
	one("--picker", d.Picker, pick.Names())
	one("--queue", d.Queue, queue.Names())
	one("--retry", d.Retry, retry.Names())
	one("--share", d.Share, share.Names())
	one("--placer", d.Placer, place.Names())
	one("--task-order", d.TaskOrder, order.Names())
}

// oneOf returns a check that a value is one of several names.
func oneOf(fail func(string, any, string)) func(flag, value string, names []string) {
	return func(flag, value string, names []string) {
		if !slices.Contains(names, value) {
			fail(flag, value, "must be one of "+strings.Join(names, ", "))
		}
	}
}

// Duration is a duration setting in Go's notation.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	return (*api.Duration)(d).UnmarshalText(b)
}

// Defaults returns the settings of a daemon on loopback that listens on ports
// which the system picks.
func Defaults(name, domain string) Settings {
	return Settings{
		Name: name, FailureDomain: domain, Listen: "127.0.0.1:0", Operators: "127.0.0.1:0", Link: "127.0.0.1:0",
		Face: OwnFace, EntryLease: Duration(share.DefaultTiming.Lease), AgentLease: Duration(flow.DefaultTiming.Lease),
		Lanes: 2, StopTimeout: Duration(60 * time.Second), Decisions: DefaultDecisions(), LogFormat: "text", LogLevel: "info",
	}
}

// The ranges of settings.
const (
	maxLanes      = 64
	maxName       = 128
	maxDrainDelay = 10 * time.Minute
	minKey        = 16 // bytes
	minLease      = 500 * time.Millisecond
	maxLease      = time.Minute
	maxPort       = 65535
)

// Check returns an error that names each setting that is wrong, its value and
// what is allowed.
func (s Settings) Check() error {
	var bad []string
	fail := func(flag string, value any, allowed string) {
		bad = append(bad, fmt.Sprintf("%s is %q: %s", flag, fmt.Sprint(value), allowed))
	}
	for flag, name := range map[string]string{"--name": s.Name, "--failure-domain": s.FailureDomain} {
		if name == "" || len(name) > maxName || strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-.") != "" {
			fail(flag, name, "must have 1 to 128 lower-case letters, digits, hyphens and dots")
		}
	}
	s.checkAddresses(fail)
	s.checkKeys(fail)
	for flag, d := range map[string]Duration{"--entry-lease": s.EntryLease, "--agent-lease": s.AgentLease} {
		if d < Duration(minLease) || d > Duration(maxLease) {
			fail(flag, time.Duration(d), "must be 500ms to 1m")
		}
	}
	if s.Replicas < 0 || s.Replicas > table.MaxReplicas {
		fail("--replicas", s.Replicas, "must be 0 to 7")
	}
	if s.JoinPort < 0 || s.JoinPort > maxPort {
		fail("--join-port", s.JoinPort, "must be 0 to 65535")
	}
	if s.MemoryMB < 0 {
		fail("--memory-limit", s.MemoryMB, "must not be negative")
	}
	if s.Lanes < 1 || s.Lanes > maxLanes {
		fail("--lanes", s.Lanes, "must be 1 to 64")
	}
	for flag, d := range map[string]Duration{"--drain-delay": s.DrainDelay, "--stop-timeout": s.StopTimeout} {
		if d < 0 || time.Duration(d) > maxDrainDelay {
			fail(flag, time.Duration(d), "must be 0s to 10m")
		}
	}
	if (s.Bootstrap || s.RecoverAlone) && s.DataDir == "" {
		fail("--data-dir", "", "is needed with --bootstrap and --recover-alone")
	}
	s.checkChoices(fail)
	if len(bad) == 0 {
		return nil
	}
	slices.Sort(bad)
	return errors.New("settings: " + strings.Join(bad, "; "))
}

func (s Settings) checkAddresses(fail func(string, any, string)) {
	if s.Link == "" {
		fail("--link", "", "is needed")
	}
	addresses := map[string]string{
		"--listen": s.Listen, "--operators": s.Operators, "--link": s.Link, "--health": s.Health, "--metrics": s.Metrics,
	}
	for flag, a := range addresses {
		if a == "" {
			continue
		}
		if err := api.CheckAddress(a); err != nil {
			fail(flag, a, err.Error())
		}
	}
	for _, a := range s.Join {
		if err := api.CheckAddress(a); err != nil {
			fail("--join", a, err.Error())
		}
	}
}

func (s Settings) checkKeys(fail func(string, any, string)) {
	keys := map[string]string{"--link-key": s.LinkKey, "--operator-key": s.OperatorKey}
	guards := map[string]string{"--link-key": s.Link, "--operator-key": s.Operators}
	for flag, key := range keys {
		if flag == "--operator-key" && (s.Face != OwnFace || s.Operators == "") {
			continue
		}
		if key == "" && !link.IsLoopback(guards[flag]) {
			fail(flag, "", "is needed, as "+guards[flag]+" isn't on loopback")
		}
		if key != "" && len(key) < minKey {
			fail(flag, "…", "must have at least 16 bytes")
		}
	}
}

func (s Settings) checkChoices(fail func(string, any, string)) {
	s.Decisions.check(fail)
	one := oneOf(fail)
	one("--log-format", s.LogFormat, []string{"text", "json"})
	one("--log-level", s.LogLevel, []string{"error", "warn", "info", "debug"})
}
