package fake

import (
	"fmt"
	"strings"
	"testing"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/drive"
)

// flows is a randomized run of jobs made of stages, on agents that fail in every way
// that their protocol tells of, under failures of daemons and links.
type flows struct {
	*control
	agents   []*Agent
	ids      []string
	accepted map[string]bool
}

const flowAttempts = 3

func newFlows(t *testing.T, seed uint64) *flows {
	w := &flows{control: newControl(seed), accepted: map[string]bool{}}
	w.Run(2 * time.Second)
	pools := []notch.Pool{
		{Name: notch.ControlPool, Kind: notch.ReplicaPool, Hosts: []string{"a", "b", "c"}},
		{Name: "sorters", Kind: notch.WorkerPool},
	}
	w.Submit(w.replicas[0], notch.EditTable{ID: "pools", Table: notch.PoolsTable, Base: 1, Pools: pools}, 5*time.Second, func(notch.Answer) {})
	w.Run(3 * time.Second)
	route := notch.Route{Name: "sort", Path: "/sort/", Pool: "sorters", Timeout: time.Second, Attempts: flowAttempts, Stretch: 2}
	w.Submit(w.replicas[0], notch.EditTable{ID: "routes", Table: notch.RoutesTable, Routes: []notch.Route{route}}, 5*time.Second, func(notch.Answer) {})
	w.Run(time.Second)
	if len(w.Tables(w.replicas[0]).Routes) != 1 {
		t.Fatal("the tables aren't in force")
	}
	for i := range 5 {
		w.agents = append(w.agents, w.addAgent(i))
	}
	return w
}

func (w *flows) addAgent(i int) *Agent {
	x := w.AddAgent(notch.Agent{
		ID: fmt.Sprintf("w%d", i), Pool: "sorters", Address: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i%2),
		Labels: []string{[]string{"a", "b"}[i%2]}, Size: notch.Resources{MilliCPU: 4000, MemoryMB: 8000},
	}, func(notch.TaskRef) time.Duration { return time.Duration(w.Rand.ExpFloat64() * float64(2*time.Second)) })
	x.Drift = (w.Rand.Float64()*2 - 1) * 0.02
	return x
}

// load sends a job, or one that was sent before once more.
func (w *flows) load() {
	up := w.Up()
	if len(up) == 0 {
		return
	}
	n := up[w.Rand.IntN(len(up))]
	if len(w.ids) > 0 && w.Rand.IntN(4) == 0 {
		w.send(n, w.account.flows[w.ids[w.Rand.IntN(len(w.ids))]])
		return
	}
	f := notch.Flow{ID: fmt.Sprintf("f%d", len(w.ids)), Route: "sort", Pool: "sorters", Spec: fmt.Sprint(len(w.ids))}
	for i := range 1 + w.Rand.IntN(3) {
		st := notch.Stage{Count: 1 + w.Rand.IntN(4), Saves: w.Rand.IntN(2) == 0, Estimate: time.Second,
			Size: notch.Resources{MilliCPU: int64(500 + w.Rand.IntN(2000)), MemoryMB: 500}}
		if i > 0 && w.Rand.IntN(3) > 0 {
			st.After = []int{w.Rand.IntN(i)}
		}
		if w.Rand.IntN(6) == 0 {
			st.PerAgent = 1
		}
		if w.Rand.IntN(6) == 0 {
			st.Label = "a"
		}
		f.Stages = append(f.Stages, st)
	}
	w.ids = append(w.ids, f.ID)
	w.send(n, f)
}

func (w *flows) send(n *drive.Node, f notch.Flow) {
	w.SendFlow(n, f, flowAttempts, 3*time.Second, func(a notch.Answer) {
		if r, ok := a.Result.(notch.FlowResult); ok && r.Outcome == notch.FlowAccepted {
			w.accepted[f.ID] = true
		}
	})
}

// look asks for the state of some job, and now and then cancels it.
func (w *flows) look() {
	up := w.Up()
	if len(up) == 0 || len(w.ids) == 0 {
		return
	}
	n, id := up[w.Rand.IntN(len(up))], w.ids[w.Rand.IntN(len(w.ids))]
	if w.Rand.IntN(12) == 0 {
		w.CancelFlow(n, id, 3*time.Second, func(notch.Answer) {})
		return
	}
	known := w.accepted[id]
	w.FlowState(n, id, func(state notch.FlowState) {
		if known && state == "" {
			w.violate("LOST: %s was accepted and isn't known", id)
		}
	})
}

func (w *flows) trouble() {
	x := w.agents[w.Rand.IntN(len(w.agents))]
	switch w.Rand.IntN(8) {
	case 0:
		w.KillAgent(x)
	case 1, 2:
		if !x.Up || w.Rand.IntN(3) == 0 {
			w.KillAgent(x)
			w.StartAgent(x)
		}
	case 3, 4:
		x.CutOff = !x.CutOff
	case 5:
		x.Late = []float64{0, 0.1, 0.5}[w.Rand.IntN(3)]
	case 6:
		x.Broken = w.Rand.IntN(4) == 0
	case 7:
		x.Draining = w.Rand.IntN(3) == 0 || x.Draining
	}
}

// finish ends all trouble and waits for the jobs.
func (w *flows) finish() {
	for _, x := range w.agents {
		x.CutOff, x.Late, x.Broken = false, 0, false
		w.KillAgent(x)
		w.StartAgent(x)
	}
	w.mend()
	w.Run(3 * time.Minute)
}

func (w *flows) judge() []string {
	errs := w.Violations
	for _, id := range w.ids {
		if !w.accepted[id] {
			continue
		}
		state := notch.FlowState("unanswered")
		w.FlowState(w.replicas[0], id, func(s notch.FlowState) { state = s })
		w.Run(100 * time.Millisecond)
		if !state.Ended() {
			errs = append(errs, fmt.Sprintf("job %s is %q at the end", id, state))
		}
	}
	return errs
}

func TestRandomFlows(t *testing.T) {
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newFlows(t, seed)
			for range 100 {
				w.load()
				w.look()
				if w.Rand.IntN(5) == 0 {
					w.disturb()
				}
				if w.Rand.IntN(3) == 0 {
					w.trouble()
				}
				w.Run(time.Duration(w.Rand.IntN(800)) * time.Millisecond)
			}
			w.finish()
			if errs := w.judge(); len(errs) > 0 {
				t.Fatalf("seed %d:\n%s\nlast notices:\n%s", seed, strings.Join(errs[:min(len(errs), 12)], "\n"),
					strings.Join(w.Notices[max(0, len(w.Notices)-20):], "\n"))
			}
		})
	}
}
