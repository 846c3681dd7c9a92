package assign

import (
	"testing"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/press"
)

// agents is a fixed list of views.
type agents []notch.AgentView

func (a agents) Len() int                         { return len(a) }
func (a agents) At(i int) (notch.AgentView, bool) { return a[i], true }

func agent(free int64, served []string, filled []notch.Load) notch.AgentView {
	var tails []notch.Served
	for _, image := range served {
		tails = append(tails, notch.Served{Image: image, Spare: 1.7})
	}
	return notch.AgentView{
		Agent: notch.Agent{Size: notch.Resources{MilliCPU: 64000, MemoryMB: 100}, Rack: "r1"},
		Free:  notch.Resources{MilliCPU: free, MemoryMB: 50}, Served: tails, Filled: filled,
	}
}

func TestPlace(t *testing.T) {
	task := notch.Stage{Size: notch.Resources{MilliCPU: 8000, MemoryMB: 1}, Image: "f"}
	fill, serve := task, task
	fill.Fills = true
	serve.Target, serve.Image = time.Second, "s"
	crowd := []notch.Load{{Image: "g", Share: 0.3}}
	cases := []struct {
		name      string
		stage     notch.Stage
		agents    agents
		want      int // by Roomiest
		wantNaive int
	}{
		{"the roomier one", task, agents{agent(9000, nil, nil), agent(60000, nil, nil)}, 1, 0},
		{"none has room", task, agents{agent(7000, nil, nil)}, -1, -1},
		{"serving beside its own image", serve, agents{agent(60000, nil, nil), agent(30000, []string{"s"}, nil), agent(30000, []string{"t"}, nil)}, 1, 0},
		{"serving alone rather than beside another", serve, agents{agent(30000, []string{"t"}, nil), agent(60000, nil, nil)}, 1, 0},
		{"filling where nothing serves", fill, agents{agent(30000, []string{"s"}, nil), agent(30000, nil, nil)}, 1, 0},
		{"filling beyond the processors", fill, agents{agent(7000, nil, nil)}, -1, 0},
		{"filling with too little to spare", fill, agents{agent(30000, []string{"s"}, []notch.Load{{Image: "g", Share: 0.05}})}, -1, 0},
		{"filling with enough to spare", fill, agents{agent(30000, []string{"s"}, nil)}, 0, 0},
		{"filling beyond the room", fill, agents{agent(30000, []string{"s"}, crowd)}, -1, 0},
	}
	for _, c := range cases {
		for seed := range uint64(5) {
			if got := (Roomiest{Interplay: press.New()}).Place(notch.RunRequest{Stage: c.stage}, c.agents, seed); got != c.want {
				t.Errorf("%s: got %d, want %d", c.name, got, c.want)
			}
		}
		if got := (FirstFit{}).Place(notch.RunRequest{Stage: c.stage}, c.agents, 0); got != c.wantNaive {
			t.Errorf("%s, first fit: got %d, want %d", c.name, got, c.wantNaive)
		}
	}
}

// TestKeptForShort answers trouble-3 on kilnseconds, on which tasks that last held 0.98 of
// all processors and 200 short ones of the same priority waited for half a minute.
func TestKeptForShort(t *testing.T) {
	lasts := notch.Stage{Size: notch.Resources{MilliCPU: 13000, MemoryMB: 1}, Image: "s", Target: time.Second, Lasts: true}
	short := notch.Stage{Size: lasts.Size}
	full := agent(2000, []string{"s"}, nil)
	cases := []struct {
		name   string
		stage  notch.Stage
		waited time.Duration
		agents agents
		want   int
	}{
		{"room left over", lasts, 0, agents{agent(20000, nil, nil), agent(64000, nil, nil)}, 0},
		{"crowded, a share is kept", lasts, 0, agents{full, full, full, agent(16000, nil, nil)}, -1},
		{"crowded, more than the share is left", lasts, 0, agents{full, full, full, full, full, agent(40000, nil, nil)}, 5},
		{"crowded, a short task takes it", short, 0, agents{full, full, full, agent(16000, nil, nil)}, 3},
		{"crowded, but it has waited", lasts, patience, agents{full, full, full, agent(16000, nil, nil)}, 3},
	}
	for _, c := range cases {
		r := notch.RunRequest{Stage: c.stage, Waited: c.waited}
		if got := (Roomiest{Interplay: press.New()}).Place(r, c.agents, 1); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}

func TestOrder(t *testing.T) {
	now := notch.Time(time.Hour)
	base := notch.ReadyTask{Priority: 1, Accepted: now, Due: now.Add(5 * time.Second), Remaining: time.Second}
	with := func(f func(*notch.ReadyTask)) notch.ReadyTask {
		r := base
		f(&r)
		return r
	}
	cases := []struct {
		name          string
		before, after notch.ReadyTask
	}{
		{"a task that lasts", with(func(r *notch.ReadyTask) { r.Lasts, r.Priority = true, 5 }), base},
		{"a more pressing route", with(func(r *notch.ReadyTask) { r.Priority = 0; r.Due = now.Add(time.Hour) }), base},
		{"less time left", with(func(r *notch.ReadyTask) { r.Due = now.Add(4 * time.Second) }), base},
		{"a longer chain left", with(func(r *notch.ReadyTask) { r.Remaining = 2 * time.Second }), base},
		{"what can still be in time", base, with(func(r *notch.ReadyTask) { r.Due = now.Add(time.Second / 2) })},
		{"what can still count as late", with(func(r *notch.ReadyTask) { r.Accepted, r.Due = now.Add(-4*time.Second), now }),
			with(func(r *notch.ReadyTask) { r.Accepted, r.Due = now.Add(-time.Minute), now.Add(-50*time.Second) })},
	}
	for _, c := range cases {
		if a, b := (BySlack{}).Rank(c.before, now), (BySlack{}).Rank(c.after, now); a >= b {
			t.Errorf("%s: got rank %d, want it below %d", c.name, a, b)
		}
	}
	earlier := with(func(r *notch.ReadyTask) { r.Accepted = now.Add(-time.Second); r.Priority = 9 })
	if a, b := (FIFO{}).Rank(earlier, now), (FIFO{}).Rank(base, now); a >= b {
		t.Errorf("first come: got rank %d, want it below %d", a, b)
	}
}
