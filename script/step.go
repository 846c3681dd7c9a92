package script

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	notch "tamaracknotch"
	"tamaracknotch/batch"
	"tamaracknotch/claim"
	"tamaracknotch/consensus"
	"tamaracknotch/flow"
	"tamaracknotch/gateway"
	"tamaracknotch/member"
	"tamaracknotch/share"
	"tamaracknotch/table"
	"tamaracknotch/traffic"
)

// stepState is a state that a script drives event by event.
type stepState struct {
	state notch.State
	now   notch.Time // clock reading of the next event
}

// stepStateKey is the key of a script's stepState in its environment.
type stepStateKey struct{}

// SetupStep prepares the environment of a script that drives one state.
func SetupStep(e *testscript.Env) error {
	e.Values[stepStateKey{}] = &stepState{now: notch.Time(time.Hour)}
	return nil
}

// partConstructors creates the parts that a script may combine. The daemon has the
// name a, the data folder 1 and the failure domain north.
var partConstructors = map[string]func() notch.Part{
	"consensus": func() notch.Part { return consensus.New(notch.Replica{Name: "a", Storage: 1}) },
	"table":     func() notch.Part { return table.New() },
	"claim":     func() notch.Part { return claim.New() },
	"batch":     func() notch.Part { return batch.New() },
	"gateway":   func() notch.Part { return gateway.New("a") },
	"member":    func() notch.Part { return member.New(stepDaemon, 1, 1) },
	"member-replica": func() notch.Part {
		self := stepDaemon
		self.Replica = true
		return member.New(self, 1, 1)
	},
	"share-leader": func() notch.Part { return share.NewLeader("a") },
	"share-entry":  func() notch.Part { return share.NewEntry(stepDaemon, 1) },
	"flow":         func() notch.Part { return flow.New(stepDaemon) },
	"flow-hosts":   func() notch.Part { return flow.New(stepDaemon, flow.WithHostInventory()) },
	"traffic":      func() notch.Part { return traffic.New(0, "north") },
	"proposals":    func() notch.Part { return proposalLog{} },
}

// proposalLog is a part that logs each proposed command. It takes the place of consensus, which
// would replicate the command.
type proposalLog struct{}

// Step implements [notch.Part].
func (proposalLog) Step(e notch.Event) (notch.Part, []notch.Effect) {
	p, ok := e.Body.(notch.Proposal)
	if !ok {
		return nil, nil
	}
	return nil, []notch.Effect{notch.LogMessage{Text: fmt.Sprintf("proposed %T%+v", p.Command, p.Command)}}
}

var stepDaemon = notch.Daemon{Name: "a", Address: "a", Domain: "north", Incarnation: 1}

// namedTypes holds the types of which a script can write values, by name.
var namedTypes = typesByName(
	notch.Tick{}, notch.Flush{}, notch.PeerUp{}, notch.PeerDown{}, notch.Recovered{}, notch.Persisted{}, notch.PersistFailed{},
	notch.ServerAnnounced{}, notch.TablesReceived{}, notch.TablesInForce{}, notch.TablesCommitted{}, notch.ServersChanged{}, notch.ShutdownStarted{},
	notch.SlotsGranted{}, notch.LeaseExtended{}, notch.Leadership{}, notch.LeaderChanged{}, notch.RequestArrived{},
	notch.AttemptEnded{}, notch.CallerGone{}, notch.HedgeDue{}, notch.LaneLoad{}, notch.ReplicaLinked{}, notch.HeartbeatReceived{},
	notch.VoteRequest{}, notch.VoteReply{}, notch.AppendRequest{}, notch.AppendReply{}, notch.LeaderQuery{}, notch.LeaderHint{},
	notch.EntryReport{}, notch.EntryGrant{}, notch.Announcements{}, notch.AnnouncementRequest{}, notch.LeaveMessage{}, notch.TimeoutNow{}, notch.Hello{},
	notch.Noop{}, notch.Barrier{}, notch.EditTable{}, notch.ClaimRequest{}, notch.ReleaseClaim{}, notch.SubmitJob{},
	notch.CancelJobs{}, notch.RegisterWorker{}, notch.PlaceTasks{}, notch.ReportTasks{}, notch.ReleaseWorker{},
	notch.StopTasks{}, notch.QuarantineWorker{}, notch.ChangeReplicas{}, notch.Proposal{},
	notch.ReplaceTables{}, notch.SubmitWorkflow{}, notch.CancelWorkflow{}, notch.AdmitAgent{}, notch.PlaceRuns{}, notch.EndRuns{},
	notch.AgentAnnounced{}, notch.AgentAnswered{}, notch.HostsListed{}, notch.QueryReceived{}, notch.CommandSubmitted{}, notch.QuerySubmitted{}, notch.QueryReply{},
	notch.Applied{}, notch.Forward{}, notch.Outcome{}, notch.InstallSnapshot{}, notch.SnapshotSaved{}, notch.JournalFailing{}, notch.JournalRecovered{},
)

func typesByName(values ...any) map[string]reflect.Type {
	out := map[string]reflect.Type{}
	for _, v := range values {
		out[reflect.TypeOf(v).Name()] = reflect.TypeOf(v)
	}
	return out
}

// StepCommands returns the commands of scripts that drive one state:
//
//	parts NAME...            creates the state from parts; the part proposals logs what others propose
//	pass DURATION            lets time pass
//	event NAME [JSON]        applies an event
//	ticks N DURATION         lets N ticks occur, each DURATION after the one before
//	message FROM NAME [JSON] applies a message from another daemon
//	commit INDEX[:TICKET] NAME [JSON] applies a command that was committed for the daemon's call TICKET, 7 by default
//	replay AGE INDEX[:TICKET] NAME [JSON] the same, of a command that was proposed AGE ago
//
// NAME is the name of a type, and JSON an object with its fields by name.
// Event, ticks, message, commit and replay print the effects, one per line, or "none", which the
// command stdout then compares.
func StepCommands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	with := func(f func(s *stepState, ts *testscript.TestScript, args []string)) func(*testscript.TestScript, bool, []string) {
		return func(ts *testscript.TestScript, _ bool, args []string) {
			f(ts.Value(stepStateKey{}).(*stepState), ts, args)
		}
	}
	return map[string]func(*testscript.TestScript, bool, []string){
		"parts": with(func(s *stepState, ts *testscript.TestScript, args []string) {
			var parts []notch.Part
			for _, name := range args {
				parts = append(parts, partConstructors[name]())
			}
			s.state = notch.NewState(parts...)
		}),
		"pass": with(func(s *stepState, ts *testscript.TestScript, args []string) {
			d, err := time.ParseDuration(args[0])
			ts.Check(err)
			s.now = s.now.Add(d)
		}),
		"event": with(func(s *stepState, ts *testscript.TestScript, args []string) {
			s.step(ts, parseValue[notch.Body](ts, args))
		}),
		"ticks": with(func(s *stepState, ts *testscript.TestScript, args []string) {
			n, err := strconv.Atoi(args[0])
			ts.Check(err)
			interval, err := time.ParseDuration(args[1])
			ts.Check(err)
			for range n {
				s.now = s.now.Add(interval)
				s.step(ts, notch.Tick{})
			}
		}),
		"message": with(func(s *stepState, ts *testscript.TestScript, args []string) {
			s.step(ts, notch.MessageReceived{From: args[0], Message: parseValue[notch.Message](ts, args[1:])})
		}),
		"commit": with(func(s *stepState, ts *testscript.TestScript, args []string) { s.commit(ts, s.now, args) }),
		"replay": with(func(s *stepState, ts *testscript.TestScript, args []string) {
			age, err := time.ParseDuration(args[0])
			ts.Check(err)
			s.commit(ts, s.now.Add(-age), args[1:])
		}),
	}
}

// commit applies a command that was proposed at the given time.
func (s *stepState) commit(ts *testscript.TestScript, at notch.Time, args []string) {
	e := notch.LogEntry{At: at, Origin: "a", Ticket: 7, Command: parseValue[notch.Command](ts, args[1:])}
	index, ticket, given := strings.Cut(args[0], ":")
	_, err := fmt.Sscan(index, &e.Index)
	ts.Check(err)
	if given {
		_, err = fmt.Sscan(ticket, &e.Ticket)
		ts.Check(err)
	}
	s.step(ts, notch.Committed{Entry: e})
}

// parseValue parses a value that is written as the name of its type and a JSON object.
func parseValue[T any](ts *testscript.TestScript, args []string) T {
	t, ok := namedTypes[args[0]]
	if !ok {
		ts.Fatalf("scripts can't write values of type %q", args[0])
	}
	p := reflect.New(t)
	if len(args) > 1 {
		d := json.NewDecoder(strings.NewReader(args[1]))
		d.DisallowUnknownFields()
		ts.Check(d.Decode(p.Interface()))
	}
	v, ok := p.Elem().Interface().(T)
	if !ok {
		ts.Fatalf("a value of type %s isn't allowed here", args[0])
	}
	return v
}

// step applies an event and prints the effects.
func (s *stepState) step(ts *testscript.TestScript, body notch.Body) {
	var effects []notch.Effect
	s.state, effects = notch.Step(s.state, notch.Event{At: s.now, Seed: 1, Body: body})
	if len(effects) == 0 {
		fmt.Fprintln(ts.Stdout(), "none")
	}
	for _, f := range effects {
		fmt.Fprintf(ts.Stdout(), "%s%+v\n", strings.TrimPrefix(fmt.Sprintf("%T", f), "notch."), f)
	}
}
