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

// Settings holds the settings of a process, read from flags and environment
// variables.
type Settings struct {
	Name          string   `arg:"--name,env:NOTCH_NAME,required" help:"host name, unique among the daemons" placeholder:"NAME"`
	FailureDomain string   `arg:"--failure-domain,env:NOTCH_FAILURE_DOMAIN,required" help:"failure domain of this host" placeholder:"NAME"`
	Listen        string   `arg:"--listen,env:NOTCH_LISTEN" default:"127.0.0.1:8080" help:"address for callers, backend servers and workers; empty: none" placeholder:"IP:PORT"`
	Operators     string   `arg:"--operators,env:NOTCH_OPERATORS" default:"127.0.0.1:8081" help:"address for operators, metrics and health; empty: none" placeholder:"IP:PORT"`
	Link          string   `arg:"--link,env:NOTCH_LINK" default:"127.0.0.1:8082" help:"address for the other daemons; it must be reachable from them" placeholder:"IP:PORT"`
	Join          []string `arg:"--join,env:NOTCH_JOIN" help:"link addresses of some other daemons" placeholder:"IP:PORT"`
	JoinPort      int      `arg:"--join-port,env:NOTCH_JOIN_PORT" help:"port that replaces the port of each address in --join, if all daemons use the same link port; 0: none" placeholder:"PORT"`
	Health        string   `arg:"--health,env:NOTCH_HEALTH" help:"address that serves only the load balancer's readiness check; empty: none" placeholder:"IP:PORT"`
	Metrics       string   `arg:"--metrics,env:NOTCH_METRICS" help:"address that serves only the metrics; empty: none" placeholder:"IP:PORT"`
	Protocol      string   `arg:"--face,env:NOTCH_FACE" default:"own" help:"protocol for callers, operators and workers: own, or the name of an adapter that is built in" placeholder:"NAME"`
	Replicas      int      `arg:"--replicas,env:NOTCH_REPLICAS" help:"number of voters that the leader chooses among the daemons with a data folder; 0: the pool control lists the voters" placeholder:"N"`
	EntryLease    Duration `arg:"--entry-lease,env:NOTCH_ENTRY_LEASE" default:"3s" help:"how long an entry serves without a message from the leader, and so the longest time until an edit is in force" placeholder:"DURATION"`
	AgentLease    Duration `arg:"--agent-lease,env:NOTCH_AGENT_LEASE" default:"5s" help:"how long the tasks on a worker that takes orders keep running without a lease renewal from the leader" placeholder:"DURATION"`
	AgentMaxLease Duration `arg:"--agent-max-lease,env:NOTCH_AGENT_MAX_LEASE" default:"10s" help:"the longest lease that a worker takes, as it shortens longer ones" placeholder:"DURATION"`
	HostInventory string   `arg:"--host-inventory,env:NOTCH_HOST_INVENTORY" help:"address that lists the hosts that exist, for an adapter that can ask for them; empty: none" placeholder:"IP:PORT"`
	DataDir       string   `arg:"--data-dir,env:NOTCH_DATA_DIR" help:"folder for the control state; makes this daemon a control replica once the pool control lists its name" placeholder:"FOLDER"`
	Bootstrap     bool     `arg:"--bootstrap,env:NOTCH_BOOTSTRAP" help:"begin a new cluster if the data folder is empty; set it once and on one daemon only, or on several daemons with the same --join: the daemon whose address comes first in text order begins the cluster"`
	RecoverAlone  bool     `arg:"--recover-alone,env:NOTCH_RECOVER_ALONE" help:"continue as the only control replica after the majority of the control replicas is lost for good"`
	LinkKey       string   `arg:"--link-key,env:NOTCH_LINK_KEY" help:"key that all daemons share; needed unless --link is on loopback" placeholder:"KEY"`
	OperatorKey   string   `arg:"--operator-key,env:NOTCH_OPERATOR_KEY" help:"key that operators send; with --face own it is needed unless --operators is on loopback" placeholder:"KEY"`
	AgentKey      string   `arg:"--agent-key,env:NOTCH_AGENT_KEY" help:"key that backend servers and workers send; empty: no key is required" placeholder:"KEY"`
	MemoryMB      int      `arg:"--memory-limit,env:NOTCH_MEMORY_LIMIT" help:"memory in MB above which the system kills the process; 0: no limit" placeholder:"MB"`
	Lanes         int      `arg:"--lanes,env:NOTCH_LANES" default:"4" help:"number of goroutines that decide about requests; each pool belongs to one of them"`
	DrainDelay    Duration `arg:"--drain-delay,env:NOTCH_DRAIN_DELAY" default:"3s" help:"time between becoming unready and closing the listener, so that the load balancer notices" placeholder:"DURATION"`
	StopTimeout   Duration `arg:"--stop-timeout,env:NOTCH_STOP_TIMEOUT" default:"60s" help:"longest wait for requests in flight at a stop" placeholder:"DURATION"`
	Policies
	LogFormat string `arg:"--log-format,env:NOTCH_LOG_FORMAT" default:"text" help:"text or json"`
	LogLevel  string `arg:"--log-level,env:NOTCH_LOG_LEVEL" default:"info" help:"error, warn, info or debug"`
}

// OwnProtocol is the value of --face that selects the daemon's own protocol.
const OwnProtocol = "own"

// joinAddresses returns the link addresses of the daemons to join, with the port of
// --join-port if it is set.
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

// bootstraps reports whether this daemon begins a new cluster. Of several daemons with
// --bootstrap and the same --join, only the one whose link address comes first in text
// order does.
func (s Settings) bootstraps() bool {
	join := s.joinAddresses()
	return s.Bootstrap && (len(join) == 0 || slices.Min(join) == s.Link)
}

// Policies names the implementation of each behaviour that varies. The last name
// in each list of choices is a naive baseline.
type Policies struct {
	Picker    string `arg:"--picker,env:NOTCH_PICKER" default:"work" help:"choice of a backend server: work, tail, load, all, two or random"`
	Queue     string `arg:"--queue,env:NOTCH_QUEUE" default:"short-first" help:"order of waiting requests: short-first or fifo"`
	Retry     string `arg:"--retry,env:NOTCH_RETRY" default:"budget" help:"retries: budget, no-hedge or unlimited"`
	Share     string `arg:"--share,env:NOTCH_SHARE" default:"demand" help:"division of slots between entries: demand or equal"`
	Placer    string `arg:"--placer,env:NOTCH_PLACER" default:"scored" help:"choice of a worker: scored or first-fit"`
	TaskOrder string `arg:"--task-order,env:NOTCH_TASK_ORDER" default:"short-first" help:"order of queued tasks: short-first or fifo"`
}

// DefaultPolicies returns the choices with the best results; see docs/DESIGN.md.
func DefaultPolicies() Policies {
	return Policies{
		Picker: pick.Names()[0], Queue: queue.Names()[0], Retry: retry.Names()[0], Share: share.Names()[0],
		Placer: place.Names()[0], TaskOrder: order.Names()[0],
	}
}

// NaivePolicies returns the naive baseline of each policy.
func NaivePolicies() Policies {
	last := func(names []string) string { return names[len(names)-1] }
	return Policies{
		Picker: last(pick.Names()), Queue: last(queue.Names()), Retry: last(retry.Names()), Share: last(share.Names()),
		Placer: last(place.Names()), TaskOrder: last(order.Names()),
	}
}

// Problems returns a message for each policy whose value isn't one of the choices.
func (p Policies) Problems() []string {
	var problems []string
	p.check(func(flag string, value any, allowed string) {
		problems = append(problems, fmt.Sprintf("%s is %q: %s", flag, value, allowed))
	})
	return problems
}

func (p Policies) check(fail func(string, any, string)) {
	checkName := checkOneOf(fail)
	checkName("--picker", p.Picker, pick.Names())
	checkName("--queue", p.Queue, queue.Names())
	checkName("--retry", p.Retry, retry.Names())
	checkName("--share", p.Share, share.Names())
	checkName("--placer", p.Placer, place.Names())
	checkName("--task-order", p.TaskOrder, order.Names())
}

// checkOneOf returns a function that calls fail if a value isn't one of the names.
func checkOneOf(fail func(string, any, string)) func(flag, value string, names []string) {
	return func(flag, value string, names []string) {
		if !slices.Contains(names, value) {
			fail(flag, value, "must be one of "+strings.Join(names, ", "))
		}
	}
}

// Duration is a setting in the notation of [time.ParseDuration].
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	return (*api.Duration)(d).UnmarshalText(b)
}

// Defaults returns the settings of a daemon that listens on loopback, on ports that
// the operating system chooses.
func Defaults(name, domain string) Settings {
	return Settings{
		Name: name, FailureDomain: domain, Listen: "127.0.0.1:0", Operators: "127.0.0.1:0", Link: "127.0.0.1:0",
		Protocol: OwnProtocol, EntryLease: Duration(share.DefaultTiming.Lease), AgentLease: Duration(flow.DefaultTiming.Lease), AgentMaxLease: Duration(flow.DefaultTiming.MaxLease),
		Lanes: 2, StopTimeout: Duration(60 * time.Second), Policies: DefaultPolicies(), LogFormat: "text", LogLevel: "info",
	}
}

// The limits of the settings' values.
const (
	maxLanes      = 64
	maxNameLength = 128
	maxStopDelay  = 10 * time.Minute
	minKeyLength  = 16 // bytes
	minLease      = 500 * time.Millisecond
	maxLease      = time.Minute
	maxPort       = 65535
)

// Check returns an error that names each invalid setting, its value and what is
// allowed.
func (s Settings) Check() error {
	var problems []string
	fail := func(flag string, value any, allowed string) {
		problems = append(problems, fmt.Sprintf("%s is %q: %s", flag, fmt.Sprint(value), allowed))
	}
	for flag, name := range map[string]string{"--name": s.Name, "--failure-domain": s.FailureDomain} {
		if name == "" || len(name) > maxNameLength || strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-.") != "" {
			fail(flag, name, "must have 1 to 128 lower-case letters, digits, hyphens and dots")
		}
	}
	s.checkAddresses(fail)
	s.checkKeys(fail)
	for flag, d := range map[string]Duration{"--entry-lease": s.EntryLease, "--agent-lease": s.AgentLease, "--agent-max-lease": s.AgentMaxLease} {
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
		if d < 0 || time.Duration(d) > maxStopDelay {
			fail(flag, time.Duration(d), "must be 0s to 10m")
		}
	}
	if (s.Bootstrap || s.RecoverAlone) && s.DataDir == "" {
		fail("--data-dir", "", "is needed with --bootstrap and --recover-alone")
	}
	s.checkChoices(fail)
	if len(problems) == 0 {
		return nil
	}
	slices.Sort(problems)
	return errors.New("settings: " + strings.Join(problems, "; "))
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
	addresses := map[string]string{"--link-key": s.Link, "--operator-key": s.Operators}
	for flag, key := range keys {
		if flag == "--operator-key" && (s.Protocol != OwnProtocol || s.Operators == "") {
			continue
		}
		if key == "" && !link.IsLoopback(addresses[flag]) {
			fail(flag, "", "is needed, as "+addresses[flag]+" isn't on loopback")
		}
		if key != "" && len(key) < minKeyLength {
			fail(flag, "…", "must have at least 16 bytes")
		}
	}
}

func (s Settings) checkChoices(fail func(string, any, string)) {
	s.Policies.check(fail)
	if s.HostInventory != "" && s.Protocol == OwnProtocol {
		fail("--host-inventory", s.HostInventory, "needs a --face that can ask it")
	}
	checkName := checkOneOf(fail)
	checkName("--log-format", s.LogFormat, []string{"text", "json"})
	checkName("--log-level", s.LogLevel, []string{"error", "warn", "info", "debug"})
}
