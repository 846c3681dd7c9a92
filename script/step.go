package script

import (
	"encoding/json"
	"fmt"
	"reflect"
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

// bare is a state that a script drives event by event.
type bare struct {
	state notch.State
	now   notch.Time
}

type bareKey struct{}

// SetupStep prepares the environment of a script on one state.
func SetupStep(e *testscript.Env) error {
	e.Values[bareKey{}] = &bare{now: notch.Time(time.Hour)}
	return nil
}

// bareParts are the parts that a script may put together. The daemon is called a,
// its data folder 1, its failure domain north.
var bareParts = map[string]func() notch.Part{
	"consensus":    func() notch.Part { return consensus.New(notch.Replica{Name: "a", Storage: 1}) },
	"table":        func() notch.Part { return table.New() },
	"claim":        func() notch.Part { return claim.New() },
	"batch":        func() notch.Part { return batch.New() },
	"gateway":      func() notch.Part { return gateway.New("a") },
	"member":       func() notch.Part { return member.New(bareDaemon, 1, 1) },
	"share-leader": func() notch.Part { return share.NewLeader("a") },
	"share-entry":  func() notch.Part { return share.NewEntry(bareDaemon, 1) },
	"flow":         func() notch.Part { return flow.New(bareDaemon) },
	"traffic":      func() notch.Part { return traffic.New(0, "north") },
}

var bareDaemon = notch.Daemon{Name: "a", Address: "a", Domain: "north", Incarnation: 1}

// named lists what a script can write down, by the names of the types.
var named = typesOf(
	notch.Tick{}, notch.Flush{}, notch.PeerUp{}, notch.PeerDown{}, notch.Recovered{}, notch.Persisted{}, notch.PersistFailed{},
	notch.Announced{}, notch.TablesLearned{}, notch.TablesApplied{}, notch.TablesCommitted{}, notch.ServersChanged{},
	notch.SlotsGranted{}, notch.LeaseExtended{}, notch.Leadership{}, notch.LeaderChanged{}, notch.RequestArrived{},
	notch.AttemptEnded{}, notch.CallerGone{}, notch.HedgeDue{}, notch.LaneLoad{}, notch.ReplicaSeen{}, notch.Beat{},
	notch.VoteRequest{}, notch.VoteReply{}, notch.AppendRequest{}, notch.AppendReply{}, notch.LeaderQuery{}, notch.LeaderHint{},
	notch.EntryReport{}, notch.EntryGrant{}, notch.Announcements{}, notch.Resend{}, notch.Goodbye{}, notch.TimeoutNow{},
	notch.Noop{}, notch.Barrier{}, notch.EditTable{}, notch.ClaimRequest{}, notch.ReleaseClaim{}, notch.SubmitJob{},
	notch.CancelJobs{}, notch.RegisterWorker{}, notch.PlaceTasks{}, notch.ReportTasks{}, notch.ReleaseWorker{},
	notch.StopTasks{}, notch.QuarantineWorker{}, notch.ChangeReplicas{}, notch.Proposal{},
	notch.ReplaceTables{}, notch.SubmitFlow{}, notch.CancelFlow{}, notch.AdmitAgent{}, notch.PlaceRuns{}, notch.EndRuns{},
	notch.AgentSaid{}, notch.AgentAnswered{}, notch.QuestionArrived{},
)

func typesOf(values ...any) map[string]reflect.Type {
	out := map[string]reflect.Type{}
	for _, v := range values {
		out[reflect.TypeOf(v).Name()] = reflect.TypeOf(v)
	}
	return out
}

// StepCommands returns the commands of scripts on one state:
//
//	parts NAME...            puts the state together
//	pass DURATION            lets time pass
//	event NAME [JSON]        feeds an event
//	message FROM NAME [JSON] feeds a message of another daemon
//	commit INDEX NAME [JSON] feeds a committed command
//
// Each prints the effects, one a line, or none, for the command stdout to compare.
// JSON has the fields' names.
func StepCommands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	with := func(f func(b *bare, ts *testscript.TestScript, args []string)) func(*testscript.TestScript, bool, []string) {
		return func(ts *testscript.TestScript, _ bool, args []string) { f(ts.Value(bareKey{}).(*bare), ts, args) }
	}
	return map[string]func(*testscript.TestScript, bool, []string){
		"parts": with(func(b *bare, ts *testscript.TestScript, args []string) {
			var parts []notch.Part
			for _, name := range args {
				parts = append(parts, bareParts[name]())
			}
			b.state = notch.NewState(parts...)
		}),
		"pass": with(func(b *bare, ts *testscript.TestScript, args []string) {
			d, err := time.ParseDuration(args[0])
			ts.Check(err)
			b.now = b.now.Add(d)
		}),
		"event": with(func(b *bare, ts *testscript.TestScript, args []string) {
			b.step(ts, valueOf[notch.Body](ts, args))
		}),
		"message": with(func(b *bare, ts *testscript.TestScript, args []string) {
			b.step(ts, notch.MessageReceived{From: args[0], Message: valueOf[notch.Message](ts, args[1:])})
		}),
		"commit": with(func(b *bare, ts *testscript.TestScript, args []string) {
			e := notch.Entry{At: b.now, Origin: "a", Ticket: 7, Command: valueOf[notch.Command](ts, args[1:])}
			_, err := fmt.Sscan(args[0], &e.Index)
			ts.Check(err)
			b.step(ts, notch.Committed{Entry: e})
		}),
	}
}

// valueOf reads a value that is written as the name of its type and JSON.
func valueOf[T any](ts *testscript.TestScript, args []string) T {
	t, ok := named[args[0]]
	if !ok {
		ts.Fatalf("there is no type %q", args[0])
	}
	p := reflect.New(t)
	if len(args) > 1 {
		d := json.NewDecoder(strings.NewReader(args[1]))
		d.DisallowUnknownFields()
		ts.Check(d.Decode(p.Interface()))
	}
	v, ok := p.Elem().Interface().(T)
	if !ok {
		ts.Fatalf("%s can't stand here", args[0])
	}
	return v
}

func (b *bare) step(ts *testscript.TestScript, body notch.Body) {
	var effects []notch.Effect
	b.state, effects = notch.Step(b.state, notch.Event{At: b.now, Seed: 1, Body: body})
	if len(effects) == 0 {
		fmt.Fprintln(ts.Stdout(), "none")
	}
	for _, f := range effects {
		fmt.Fprintf(ts.Stdout(), "%s%+v\n", strings.TrimPrefix(fmt.Sprintf("%T", f), "notch."), f)
	}
}
