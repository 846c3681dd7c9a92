// Package script is the small language in which the behaviour of a site is
// written down and checked: testscript commands on a fake.Site in virtual time.
//
// A script adds daemons, backend servers, workers and load, causes failures, lets
// time pass, and states what has to hold. The promises that the stand-ins check
// by themselves hold at the end of every script.
package script

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	notch "tamaracknotch"
	"tamaracknotch/drive"
	"tamaracknotch/fake"
)

// siteKey finds the site of a script in its environment.
type siteKey struct{}

// run is the state of one script.
type run struct {
	*fake.Site
	ts       *testscript.TestScript
	edits    map[string]*notch.Answer // by the name that the script gives
	served   int
	refused  int
	notRun   int
	unknown  int
	jobReply map[string]string
	claims   map[string]bool
	tokens   uint64
}

// defaultSeed is that of a script that names none.
const defaultSeed = 1

// Setup prepares a script's environment.
func Setup(e *testscript.Env) error {
	r := &run{}
	r.reset(defaultSeed)
	e.Values[siteKey{}] = r
	return nil
}

func (r *run) reset(seed uint64) {
	r.Site = fake.New(seed)
	r.edits = map[string]*notch.Answer{}
	r.jobReply = map[string]string{}
	r.claims = map[string]bool{}
}

// Commands returns the commands of the language.
func Commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, c := range commands {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			r := ts.Value(siteKey{}).(*run)
			r.ts = ts
			if neg {
				ts.Fatalf("%s takes no !", name)
			}
			if len(args) < c.least {
				ts.Fatalf("usage: %s %s", name, c.usage)
			}
			c.run(r, args)
		}
	}
	return out
}

// command is one word of the language.
type command struct {
	usage string
	least int // arguments needed
	run   func(r *run, args []string)
}

var commands map[string]command

func init() {
	commands = map[string]command{
		"seed":      {"N: begins anew with another seed", 1, (*run).seed},
		"daemon":    {"NAME DOMAIN [replica] [bootstrap]: adds and starts a daemon", 2, (*run).daemon},
		"restart":   {"NAME...: starts daemons again", 1, (*run).startAll},
		"crash":     {"NAME...: ends daemons without a word", 1, (*run).killAll},
		"wipe":      {"NAME: empties the disk of a daemon that is down", 1, (*run).wipe},
		"failsync":  {"NAME: the daemon's syncs fail from now on", 1, (*run).failSync},
		"halt":      {"NAME: stops a daemon gracefully", 1, (*run).stopDaemon},
		"cut":       {"A B: nothing passes between two daemons", 2, (*run).cutBoth},
		"cutone":    {"A B: nothing passes from A to B", 2, (*run).cutOne},
		"isolate":   {"NAME [but OTHER...]: cuts a daemon from all others", 1, (*run).isolate},
		"heal":      {"ends all cuts", 0, func(r *run, _ []string) { r.Heal() }},
		"loss":      {"SHARE: of messages", 1, func(r *run, a []string) { r.Net.Loss = r.float(a[0]) }},
		"slow":      {"DOMAIN DURATION: the way into and out of a failure domain takes so much longer", 2, (*run).slow},
		"run":       {"DURATION: lets time pass", 1, func(r *run, a []string) { r.Run(r.duration(a[0])) }},
		"leader":    {"[NAME]: exactly one daemon leads", 0, (*run).leader},
		"noleader":  {"NAME: doesn't lead", 1, (*run).noLeader},
		"voters":    {"NAME...: the replica set at the leader", 1, (*run).voters},
		"put":       {"NODE TABLE BASE EDIT FILE: sends an edit; its answer goes by the name EDIT", 5, (*run).put},
		"outcome":   {"EDIT accepted|conflict|invalid|not-known|none [VERSION]", 2, (*run).outcome},
		"revision":  {"NODE N: of the tables in force", 2, (*run).revision},
		"leased":    {"NODE yes|no: whether the entry holds a lease", 2, (*run).leased},
		"expect":    {"WHAT OP N: compares a count; see the source", 3, (*run).expect},
		"backend":   {"NAME DOMAIN POOL SLOTS MILLISECONDS: adds a backend server", 5, (*run).backend},
		"bkill":     {"NAME: ends a backend server", 1, (*run).backendKill},
		"bstart":    {"NAME: starts it as a new incarnation", 1, (*run).backendStart},
		"bfail":     {"NAME yes|no: it drops what it gets", 2, (*run).backendFail},
		"bleave":    {"NAME: it announces that it leaves", 1, (*run).backendLeave},
		"load":      {"NODE ROUTE PER-SECOND DURATION [once]: requests, non-idempotent with once", 4, (*run).load},
		"quiet":     {"BACKEND DURATION: it got no new request for so long", 2, (*run).quiet},
		"worker":    {"NAME DOMAIN POOL MILLI-CPU MEMORY-MB SECONDS: adds a worker; a task takes so long", 6, (*run).worker},
		"wkill":     {"NAME: ends a worker", 1, (*run).workerKill},
		"wstart":    {"NAME: starts it as a new incarnation", 1, (*run).workerStart},
		"wcut":      {"NAME yes|no: cuts it off", 2, (*run).workerCut},
		"wdrift":    {"NAME SHARE: its clock's drift", 2, (*run).workerDrift},
		"wbroken":   {"NAME yes|no: fails everything", 2, (*run).workerBroken},
		"wsize":     {"NAME MILLI-CPU MEMORY-MB: another size from now on", 3, (*run).workerSize},
		"job":       {"NODE ID POOL TEAM KIND CLASS TASKS MILLI-CPU MEMORY-MB [checkpoint]", 9, (*run).job},
		"reply":     {"JOB TEXT: the answer to its submission holds TEXT; - for accepted", 2, (*run).reply},
		"cancel":    {"NODE ID...: cancels jobs", 2, (*run).cancel},
		"tasks":     {"NODE JOB PHASE OP N: compares the number of tasks in a phase", 5, (*run).tasks},
		"waits":     {"NODE JOB TEXT: why it waits", 3, (*run).waits},
		"ratio":     {"A B OP X: compares the ratio of two counters", 4, (*run).ratio},
		"clear":     {"sets the counts of requests to zero", 0, func(r *run, _ []string) { r.served, r.refused, r.notRun, r.unknown = 0, 0, 0, 0 }},
		"zero":      {"sets the counters of the daemons to zero", 0, func(r *run, _ []string) { r.Counters = map[string]int64{} }},
		"complete":  {"NODE yes|no: whether the leader knows all entries that may hold a lease", 2, (*run).complete},
		"notice":    {"TEXT: some daemon logged it", 1, (*run).notice},
		"snapshots": {"EVERY KEEP: entries between snapshots and kept before one, for daemons started from now on", 2, (*run).snapshots},
		"edits":     {"NODE POOL N: so many edits of routes, one after another", 3, (*run).manyEdits},
		"busy":      {"BACKEND DURATION: it got a new request within that time", 2, (*run).busy},
		"claim":     {"NODE ID NAME: claims a request id; the answer goes by NAME", 3, (*run).claim},
		"claimed":   {"NAME yes|no: whether the claim was granted", 2, (*run).claimed},
		"running":   {"WORKER OP N: attempts on a worker", 3, (*run).running},
		"kept":      {"no promise was seen broken", 0, (*run).kept},
	}
}

func (r *run) fatalf(format string, args ...any) {
	tail := r.LogMessages[max(0, len(r.LogMessages)-12):]
	r.ts.Logf("at %v; last notices:\n%s", r.Now(), strings.Join(tail, "\n"))
	r.ts.Fatalf(format, args...)
}

func (r *run) float(s string) float64 {
	f, err := strconv.ParseFloat(s, 64)
	r.ts.Check(err)
	return f
}

func (r *run) number(s string) int {
	n, err := strconv.Atoi(s)
	r.ts.Check(err)
	return n
}

func (r *run) duration(s string) time.Duration {
	d, err := time.ParseDuration(s)
	r.ts.Check(err)
	return d
}

func (r *run) node(name string) *drive.Node {
	n := r.Node(name)
	if n == nil {
		r.fatalf("there is no daemon %q", name)
	}
	return n
}

// compare fails unless got OP want holds.
func (r *run) compare(what string, got int, op, number string) {
	want := r.number(number)
	holds := map[string]bool{
		"=": got == want, ">": got > want, "<": got < want, ">=": got >= want, "<=": got <= want,
	}
	ok, known := holds[op]
	if !known {
		r.fatalf("there is no comparison %q", op)
	}
	if !ok {
		r.fatalf("%s: got %d, want %s %d", what, got, op, want)
	}
}

func (r *run) seed(args []string) { r.reset(uint64(r.number(args[0]))) }

func (r *run) kept([]string) {
	if len(r.Violations) > 0 {
		shown := r.Violations[:min(len(r.Violations), 10)]
		r.fatalf("%d promises broken:\n%s", len(r.Violations), strings.Join(shown, "\n"))
	}
}

// expect compares a count of the requests so far, or a counter of the daemons.
func (r *run) expect(args []string) {
	counts := map[string]int{
		"served": r.served, "refused": r.refused, "not-run": r.notRun, "unknown": r.unknown, "sent": r.MessagesSent,
	}
	got, ok := counts[args[0]]
	if !ok {
		got = int(r.Counters[args[0]])
	}
	r.compare(args[0], got, args[1], args[2])
}

func (r *run) ratio(args []string) {
	got := float64(r.Counters[args[0]]) / float64(max(r.Counters[args[1]], 1))
	want := r.float(args[3])
	if holds := map[string]bool{"<=": got <= want, ">=": got >= want}; !holds[args[2]] {
		r.fatalf("%s to %s: got %.3f, want %s %s", args[0], args[1], got, args[2], args[3])
	}
}

func (r *run) notice(args []string) {
	text := strings.Join(args, " ")
	if !slices.ContainsFunc(r.LogMessages, func(n string) bool { return strings.Contains(n, text) }) {
		r.fatalf("no daemon logged %q", text)
	}
}

func yes(s string) bool { return slices.Contains([]string{"yes", "on"}, s) }

func usage() string {
	var lines []string
	for name, c := range commands {
		lines = append(lines, fmt.Sprintf("%-9s %s", name, c.usage))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// Usage lists the commands of the language, a line each.
func Usage() string { return usage() }
