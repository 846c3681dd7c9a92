// Package script defines the language of the scripted tests: testscript commands that
// control a fake.Testbed in virtual time and check its behaviour.
//
// A script adds daemons, backend servers, workers and load, causes failures, lets
// time pass, and checks the resulting state. The command kept checks that the
// stand-ins observed no broken promise.
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

// stateKey is the key of a script's state in its environment.
type stateKey struct{}

// scriptState is the state of one script.
type scriptState struct {
	*fake.Testbed
	ts         *testscript.TestScript
	edits      map[string]*notch.Answer // by the script's name for the edit; nil: no answer yet
	served     int                      // requests with an answer since the last clear
	refused    int                      // requests without an answer: the sum of notRun and unknown
	notRun     int                      // refused requests that provably didn't run
	unknown    int                      // refused requests that may have run
	jobReplies map[string]string        // reason of the rejection by job; empty: accepted
	claims     map[string]bool          // by the script's name for the claim: whether it was granted
	lastToken  uint64                   // token of the latest claim

	checkedMessages int // log messages that notLogged has seen
}

// defaultSeed is the seed of a script without the command seed.
const defaultSeed = 1

// Setup prepares a script's environment.
func Setup(e *testscript.Env) error {
	r := &scriptState{}
	r.reset(defaultSeed)
	e.Values[stateKey{}] = r
	return nil
}

// reset replaces the testbed by an empty one.
func (r *scriptState) reset(seed uint64) {
	r.Testbed = fake.New(seed)
	r.edits = map[string]*notch.Answer{}
	r.jobReplies = map[string]string{}
	r.claims = map[string]bool{}
}

// Commands returns the commands of the language.
func Commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, c := range commands {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			r := ts.Value(stateKey{}).(*scriptState)
			r.ts = ts
			if neg {
				ts.Fatalf("%s can't be negated with !", name)
			}
			if len(args) < c.minArgs {
				ts.Fatalf("usage: %s %s", name, c.usage)
			}
			c.run(r, args)
		}
	}
	return out
}

// command is a command of the language.
type command struct {
	usage   string
	minArgs int // required number of arguments
	run     func(r *scriptState, args []string)
}

var commands map[string]command

func init() {
	commands = map[string]command{
		"seed":      {"N: replaces the testbed by an empty one with another seed", 1, (*scriptState).seed},
		"daemon":    {"NAME DOMAIN [replica] [bootstrap]: adds and starts a daemon", 2, (*scriptState).daemon},
		"restart":   {"NAME...: starts daemons again", 1, (*scriptState).startAll},
		"crash":     {"NAME...: crashes daemons", 1, (*scriptState).killAll},
		"wipe":      {"NAME: empties the disk of a stopped daemon", 1, (*scriptState).wipe},
		"diskfull":  {"NAME yes|no: sets whether the daemon's disk has no room", 2, (*scriptState).diskFull},
		"diskstall": {"NAME DURATION: no sync of the daemon's disk completes for that time", 2, (*scriptState).stallDisk},
		"diskslow":  {"DURATION NAME...: sets the duration of a sync of the daemons' disks", 2, (*scriptState).slowDisk},
		"failsync":  {"NAME: makes the daemon's syncs fail until its next start", 1, (*scriptState).failSync},
		"halt":      {"NAME: stops a daemon gracefully", 1, (*scriptState).stopDaemon},
		"cut":       {"A B: cuts the link between two daemons in both directions", 2, (*scriptState).cutBoth},
		"cutone":    {"A B: blocks messages from A to B", 2, (*scriptState).cutOne},
		"isolate":   {"NAME [but OTHER...]: cuts a daemon from all others", 1, (*scriptState).isolate},
		"heal":      {"ends all cuts", 0, func(r *scriptState, _ []string) { r.Heal() }},
		"bandwidth": {"KBIT NAME...: limits what reaches each of the daemons, in kbit/s", 2, (*scriptState).bandwidth},
		"loss":      {"SHARE: sets the fraction of messages that are lost", 1, func(r *scriptState, a []string) { r.Net.Loss = r.float(a[0]) }},
		"slow":      {"DOMAIN DURATION: adds to the delay of links between a failure domain and the others", 2, (*scriptState).slow},
		"run":       {"DURATION: lets time pass", 1, func(r *scriptState, a []string) { r.Run(r.duration(a[0])) }},
		"leader":    {"[NAME]: checks that exactly one daemon leads", 0, (*scriptState).leader},
		"noleader":  {"NAME: checks that a daemon doesn't lead", 1, (*scriptState).noLeader},
		"voters":    {"NAME...: compares the voters of the leader's replica set", 1, (*scriptState).voters},
		"replicas":  {"N: makes the leader choose N voters; precedes the first daemon", 1, (*scriptState).replicas},
		"commands":  {"NODE PER-SECOND DURATION: claims a new request id at intervals, while time passes", 3, (*scriptState).commands},
		"versions":  {"NODE POOL ROUTES EVERY DURATION: submits versions of a document at intervals, while time passes", 5, (*scriptState).versions},
		"promoted":  {"NAME DURATION: lets time pass until the daemon is a voter with its present data folder, at most DURATION", 2, (*scriptState).promoted},
		"put":       {"NODE TABLE BASE EDIT FILE: sends an edit and stores its answer under the name EDIT", 5, (*scriptState).put},
		"outcome":   {"EDIT accepted|conflict|invalid|not-known|none [VERSION]: compares the answer to an edit", 2, (*scriptState).outcome},
		"revision":  {"NODE N: compares the revision of the tables in force", 2, (*scriptState).revision},
		"leased":    {"NODE yes|no: checks whether the entry holds a lease", 2, (*scriptState).leased},
		"expect":    {"WHAT OP N: compares served, refused, not-run, unknown, sent or a counter of the daemons", 3, (*scriptState).expect},
		"backend":   {"NAME DOMAIN POOL SLOTS MILLISECONDS: adds a backend server; MILLISECONDS is its mean service time", 5, (*scriptState).backend},
		"bkill":     {"NAME: crashes a backend server", 1, (*scriptState).backendKill},
		"bstart":    {"NAME: starts a new incarnation of a backend server", 1, (*scriptState).backendStart},
		"bfail":     {"NAME yes|no: sets whether the backend server drops its requests", 2, (*scriptState).backendFail},
		"bleave":    {"NAME: makes a backend server announce that it leaves", 1, (*scriptState).backendLeave},
		"load":      {"NODE ROUTE PER-SECOND DURATION [once]: sends requests, with once non-idempotent ones", 4, (*scriptState).load},
		"quiet":     {"BACKEND DURATION: checks that a backend server has got no request for that time", 2, (*scriptState).quiet},
		"worker":    {"NAME DOMAIN POOL MILLI-CPU MEMORY-MB SECONDS: adds a worker; SECONDS is the mean run time of its tasks", 6, (*scriptState).worker},
		"wkill":     {"NAME: crashes a worker", 1, (*scriptState).workerKill},
		"wstart":    {"NAME: starts a new incarnation of a worker", 1, (*scriptState).workerStart},
		"wcut":      {"NAME yes|no: sets whether the worker is cut off from all daemons", 2, (*scriptState).workerCut},
		"wdrift":    {"NAME SHARE: sets the relative error of the worker's clock", 2, (*scriptState).workerDrift},
		"wbroken":   {"NAME yes|no: sets whether every task on the worker fails", 2, (*scriptState).workerBroken},
		"wsize":     {"NAME MILLI-CPU MEMORY-MB: changes the size that the worker reports", 3, (*scriptState).workerSize},
		"job":       {"NODE ID POOL TEAM KIND CLASS TASKS MILLI-CPU MEMORY-MB [checkpoint]: submits a job; TEAM - for none", 9, (*scriptState).job},
		"reply":     {"JOB TEXT: checks that the answer to the submission contains TEXT; - for accepted", 2, (*scriptState).reply},
		"cancel":    {"NODE ID...: cancels jobs", 2, (*scriptState).cancel},
		"tasks":     {"NODE JOB PHASE OP N: compares the number of tasks in a phase", 5, (*scriptState).tasks},
		"waits":     {"NODE JOB TEXT: checks that the reason why the job waits contains TEXT", 3, (*scriptState).waits},
		"ratio":     {"A B OP X: compares the ratio of two counters", 4, (*scriptState).ratio},
		"clear":     {"sets the counts of requests to zero", 0, func(r *scriptState, _ []string) { r.served, r.refused, r.notRun, r.unknown = 0, 0, 0, 0 }},
		"zero":      {"sets the counters of the daemons to zero", 0, func(r *scriptState, _ []string) { r.Counters = map[string]int64{} }},
		"complete":  {"NODE yes|no: checks whether the leader knows all entries that may hold a lease", 2, (*scriptState).complete},
		"notice":    {"TEXT: checks that a daemon has logged a message that contains TEXT", 1, (*scriptState).logged},
		"snapshots": {"EVERY KEEP: sets the log entries between snapshots and those kept before one; restarts all daemons", 2, (*scriptState).snapshots},
		"edits":     {"NODE POOL N: sends N edits of the routes, one after another", 3, (*scriptState).manyEdits},
		"grow":      {"NODE POOL ROUTES: sends an edit that makes the table of that many routes", 3, (*scriptState).growRoutes},
		"storm":     {"NODE N DURATION: sends N edits that change one route each, DURATION apart", 3, (*scriptState).storm},
		"nonotice":  {"TEXT: checks that no daemon has logged a message that contains TEXT since the last nonotice", 1, (*scriptState).notLogged},
		"inforce":   {"checks that all daemons use the same tables", 0, (*scriptState).sameTables},
		"busy":      {"BACKEND DURATION: checks that a backend server has got a request within that time", 2, (*scriptState).busy},
		"claim":     {"NODE ID NAME: claims a request id and stores the answer under NAME", 3, (*scriptState).claim},
		"claimed":   {"NAME yes|no: checks whether the claim was granted", 2, (*scriptState).claimed},
		"running":   {"WORKER OP N: compares the number of attempts on a worker", 3, (*scriptState).running},
		"kept":      {"checks that no broken promise was observed", 0, (*scriptState).kept},
	}
}

// fatalf fails the script and logs the latest log messages of the daemons.
func (r *scriptState) fatalf(format string, args ...any) {
	tail := r.LogMessages[max(0, len(r.LogMessages)-12):]
	r.ts.Logf("at %v; last log messages:\n%s", r.Now(), strings.Join(tail, "\n"))
	r.ts.Fatalf(format, args...)
}

func (r *scriptState) float(s string) float64 {
	f, err := strconv.ParseFloat(s, 64)
	r.ts.Check(err)
	return f
}

func (r *scriptState) number(s string) int {
	n, err := strconv.Atoi(s)
	r.ts.Check(err)
	return n
}

func (r *scriptState) duration(s string) time.Duration {
	d, err := time.ParseDuration(s)
	r.ts.Check(err)
	return d
}

func (r *scriptState) node(name string) *drive.Node {
	n := r.Node(name)
	if n == nil {
		r.fatalf("there is no daemon %q", name)
	}
	return n
}

// compare fails the script unless got OP number is true.
func (r *scriptState) compare(what string, got int, op, number string) {
	want := r.number(number)
	holds := map[string]bool{
		"=": got == want, ">": got > want, "<": got < want, ">=": got >= want, "<=": got <= want,
	}
	ok, known := holds[op]
	if !known {
		r.fatalf("comparison %q isn't one of =, >, <, >= and <=", op)
	}
	if !ok {
		r.fatalf("%s: got %d, want %s %d", what, got, op, want)
	}
}

func (r *scriptState) seed(args []string) { r.reset(uint64(r.number(args[0]))) }

func (r *scriptState) kept([]string) {
	if len(r.Violations) > 0 {
		shown := r.Violations[:min(len(r.Violations), 10)]
		r.fatalf("%d promises broken:\n%s", len(r.Violations), strings.Join(shown, "\n"))
	}
}

// expect compares a number of requests since the last clear, the number of messages
// between daemons, or a counter of the daemons.
func (r *scriptState) expect(args []string) {
	counts := map[string]int{
		"served": r.served, "refused": r.refused, "not-run": r.notRun, "unknown": r.unknown, "sent": r.MessagesSent,
	}
	got, ok := counts[args[0]]
	if !ok {
		got = int(r.Counters[args[0]])
	}
	r.compare(args[0], got, args[1], args[2])
}

func (r *scriptState) ratio(args []string) {
	got := float64(r.Counters[args[0]]) / float64(max(r.Counters[args[1]], 1))
	want := r.float(args[3])
	if holds := map[string]bool{"<=": got <= want, ">=": got >= want}; !holds[args[2]] {
		r.fatalf("%s to %s: got %.3f, want %s %s", args[0], args[1], got, args[2], args[3])
	}
}

func (r *scriptState) logged(args []string) {
	text := strings.Join(args, " ")
	if !slices.ContainsFunc(r.LogMessages, func(m string) bool { return strings.Contains(m, text) }) {
		r.fatalf("no daemon has logged %q", text)
	}
}

// notLogged checks the messages since the last time that it was called.
func (r *scriptState) notLogged(args []string) {
	text := strings.Join(args, " ")
	for _, m := range r.LogMessages[r.checkedMessages:] {
		if strings.Contains(m, text) {
			r.fatalf("a daemon has logged %q", m)
		}
	}
	r.checkedMessages = len(r.LogMessages)
}

// isYes reports whether an argument turns something on.
func isYes(s string) bool { return slices.Contains([]string{"yes", "on"}, s) }

func usage() string {
	var lines []string
	for name, c := range commands {
		lines = append(lines, fmt.Sprintf("%-9s %s", name, c.usage))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// Usage returns one line about each command of the language.
func Usage() string { return usage() }
