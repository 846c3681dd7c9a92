package assign

import (
	"testing"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/colocation"
)

// agents is a fixed list of agents.
type agents []notch.AgentView

func (a agents) Len() int                          { return len(a) }
func (a agents) At(i int) (*notch.AgentView, bool) { return &a[i], true }

func (a agents) Candidates() []int {
	var out []int
	for i := range a {
		out = append(out, i)
	}
	return out
}

func (a agents) ReservedShare() float64 {
	var free, total int64
	for _, v := range a {
		free += v.Free.MilliCPU
		total += v.Agent.Size.MilliCPU
	}
	return 1 - float64(free)/float64(max(1, total))
}

func agent(free int64, serviceImages []string, loads []notch.OpportunisticLoad) notch.AgentView {
	var services []notch.ServiceImage
	for _, image := range serviceImages {
		o := notch.ServiceImage{Image: image, SpareHeadroom: 1.7}
		for _, l := range loads {
			o.TakenHeadroom += colocation.New().InterferenceCoefficient(image, l.Image) * l.CPUShare
		}
		services = append(services, o)
	}
	return notch.AgentView{
		Agent: notch.Agent{Size: notch.Resources{MilliCPU: 64000, MemoryMB: 100}, Rack: "r1"},
		Free:  notch.Resources{MilliCPU: free, MemoryMB: 50}, ServiceImages: services,
	}
}

func TestPlace(t *testing.T) {
	task := notch.Stage{Size: notch.Resources{MilliCPU: 8000, MemoryMB: 1}, Image: "f"}
	opportunistic, service := task, task
	opportunistic.Fills = true
	service.Target, service.Image = time.Second, "s"
	otherLoads := []notch.OpportunisticLoad{{Image: "g", CPUShare: 0.3}}
	cases := []struct {
		name      string
		stage     notch.Stage
		agents    agents
		want      int // by ByScore
		wantNaive int
	}{
		{"the agent with more free processors", task, agents{agent(9000, nil, nil), agent(60000, nil, nil)}, 1, 0},
		{"no agent has enough free processors", task, agents{agent(7000, nil, nil)}, -1, -1},
		{"service task colocated with its own image", service, agents{agent(60000, nil, nil), agent(30000, []string{"s"}, nil), agent(30000, []string{"t"}, nil)}, 1, 0},
		{"service task alone rather than colocated with another image", service, agents{agent(30000, []string{"t"}, nil), agent(60000, nil, nil)}, 1, 0},
		{"opportunistic task where no service task runs", opportunistic, agents{agent(30000, []string{"s"}, nil), agent(30000, nil, nil)}, 1, 0},
		{"opportunistic task beyond the processors", opportunistic, agents{agent(7000, nil, nil)}, -1, 0},
		{"opportunistic task with too little spare headroom", opportunistic, agents{agent(30000, []string{"s"}, []notch.OpportunisticLoad{{Image: "g", CPUShare: 0.05}})}, -1, 0},
		{"opportunistic task with enough spare headroom", opportunistic, agents{agent(30000, []string{"s"}, nil)}, 0, 0},
		{"opportunistic task colocated with loads that take the headroom", opportunistic, agents{agent(30000, []string{"s"}, otherLoads)}, -1, 0},
	}
	for _, c := range cases {
		for seed := range uint64(5) {
			if got := (ByScore{ColocationModel: colocation.New()}).Score(c.stage, c.agents).Next(0, seed); got != c.want {
				t.Errorf("%s: got %d, want %d", c.name, got, c.want)
			}
		}
		if got := (FirstFit{}).Score(c.stage, c.agents).Next(0, 0); got != c.wantNaive {
			t.Errorf("%s, first fit: got %d, want %d", c.name, got, c.wantNaive)
		}
	}
}

// TestShortTaskReserve guards against long-running tasks that take all processors, so that short
// tasks of the same priority wait for half a minute.
func TestShortTaskReserve(t *testing.T) {
	longRunning := notch.Stage{Size: notch.Resources{MilliCPU: 13000, MemoryMB: 1}, Image: "s", Target: time.Second, Lasts: true}
	short := notch.Stage{Size: longRunning.Size}
	full := agent(2000, []string{"s"}, nil)
	cases := []struct {
		name   string
		stage  notch.Stage
		waited time.Duration
		agents agents
		want   int
	}{
		{"enough free processors", longRunning, 0, agents{agent(20000, nil, nil), agent(64000, nil, nil)}, 0},
		{"few free processors, the reserve is kept", longRunning, 0, agents{full, full, full, agent(16000, nil, nil)}, -1},
		{"few free processors, more than the reserve is free", longRunning, 0, agents{full, full, full, full, full, agent(40000, nil, nil)}, 5},
		{"few free processors, a short task takes the reserve", short, 0, agents{full, full, full, agent(16000, nil, nil)}, 3},
		{"few free processors, but it has waited", longRunning, maxWaitForReserve, agents{full, full, full, agent(16000, nil, nil)}, 3},
	}
	for _, c := range cases {
		if got := (ByScore{ColocationModel: colocation.New()}).Score(c.stage, c.agents).Next(c.waited, 1); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}

// TestOrder guards against tasks that wait behind less urgent ones: the interrupted tasks of a service
// behind first starts, long-running tasks behind those of newer workflows, or, in a full pool, short tasks
// behind long-running ones that take all processors that become free (SHORT). Under overload, it guards
// against starts for workflows that are about to miss their objective, so that all miss it a little, and for long workflows only,
// which take the most starts.
func TestOrder(t *testing.T) {
	now := notch.Time(time.Hour)
	base := notch.ReadyTask{Priority: 1, Accepted: now, Due: now.Add(5 * time.Second), Remaining: time.Second, Left: 1}
	with := func(f func(*notch.ReadyTask)) notch.ReadyTask {
		r := base
		f(&r)
		return r
	}
	overloaded := func(r notch.ReadyTask, begun bool) notch.ReadyTask {
		r.Overloaded, r.Begun = true, begun
		return r
	}
	tight := with(func(r *notch.ReadyTask) { r.Due = now.Add(2 * time.Second) })
	late := with(func(r *notch.ReadyTask) { r.Accepted, r.Due = now.Add(-4*time.Second), now })
	late.Left = 0.5
	nearlyDone := late
	nearlyDone.Left = 0.05
	longRunning := with(func(r *notch.ReadyTask) { r.LongRunning = true })
	oldLongRunning := with(func(r *notch.ReadyTask) { r.LongRunning, r.Due = true, now.Add(-50*time.Second) })
	interrupted := with(func(r *notch.ReadyTask) { r.LongRunning, r.Interrupted, r.Priority = true, true, 5 })
	cases := []struct {
		name          string
		before, after notch.ReadyTask
	}{
		{"an interrupted task of a route with a higher priority number", with(func(r *notch.ReadyTask) {
			r.LongRunning, r.Interrupted, r.Priority = true, true, 5
		}), base},
		{"a task that is in time, before a long-running task of an older workflow", base, with(func(r *notch.ReadyTask) {
			r.LongRunning, r.Accepted, r.Due = true, now.Add(-time.Minute), now.Add(-50*time.Second)
		})},
		{"a task that can still count as late, before a long-running task", with(func(r *notch.ReadyTask) { r.Accepted, r.Due = now.Add(-4*time.Second), now }),
			with(func(r *notch.ReadyTask) { r.LongRunning = true })},
		{"a long-running task, before a workflow that has missed its objective", with(func(r *notch.ReadyTask) { r.LongRunning = true }),
			with(func(r *notch.ReadyTask) { r.Accepted, r.Due = now.Add(-time.Minute), now.Add(-50*time.Second) })},
		{"a long-running task of a route with a lower priority number", with(func(r *notch.ReadyTask) { r.LongRunning, r.Priority = true, 0 }), base},
		{"an interrupted task of a workflow that has missed its objective", with(func(r *notch.ReadyTask) {
			r.LongRunning, r.Interrupted, r.Priority = true, true, 5
			r.Accepted, r.Due = now.Add(-time.Minute), now.Add(-50*time.Second)
		}), with(func(r *notch.ReadyTask) { r.LongRunning = true })},
		{"a long-running task of an older workflow", with(func(r *notch.ReadyTask) {
			r.LongRunning, r.Accepted, r.Due = true, now.Add(-time.Minute), now.Add(-50*time.Second)
		}), with(func(r *notch.ReadyTask) { r.LongRunning = true })},
		{"a route with a lower priority number", with(func(r *notch.ReadyTask) { r.Priority = 0; r.Due = now.Add(time.Hour) }), base},
		{"less slack", with(func(r *notch.ReadyTask) { r.Due = now.Add(4 * time.Second) }), base},
		{"a longer critical path", with(func(r *notch.ReadyTask) { r.Remaining = 2 * time.Second }), base},
		{"a workflow that can still meet its objective", base, with(func(r *notch.ReadyTask) { r.Due = now.Add(time.Second / 2) })},
		{"a workflow that can still count as late", with(func(r *notch.ReadyTask) { r.Accepted, r.Due = now.Add(-4*time.Second), now }),
			with(func(r *notch.ReadyTask) { r.Accepted, r.Due = now.Add(-time.Minute), now.Add(-50*time.Second) })},
		{"overloaded: a workflow that has begun, before one with less slack", overloaded(base, true), overloaded(tight, false)},
		{"overloaded: a workflow with more slack", overloaded(base, false), overloaded(tight, false)},
		{"overloaded: a later workflow, before one that is long and so has more slack", overloaded(with(func(r *notch.ReadyTask) {
			r.Due = now.Add(2 * time.Second)
		}), false), overloaded(with(func(r *notch.ReadyTask) { r.Accepted, r.Due = now.Add(-time.Second/2), now.Add(20*time.Second) }), false)},
		{"overloaded: larger tasks, before those of a somewhat later workflow", overloaded(with(func(r *notch.ReadyTask) {
			r.MilliCPU, r.Accepted = 2000, now.Add(-900*time.Millisecond)
		}), false), overloaded(with(func(r *notch.ReadyTask) { r.MilliCPU = 1000 }), false)},
		{"overloaded: a much later workflow, before one of larger tasks", overloaded(with(func(r *notch.ReadyTask) { r.MilliCPU = 1000 }), false),
			overloaded(with(func(r *notch.ReadyTask) { r.MilliCPU, r.Accepted = 2000, now.Add(-1100*time.Millisecond) }), false)},
		{"overloaded: of those that have begun, the one with less slack", overloaded(tight, true), overloaded(base, true)},
		{"overloaded: one that can still meet its objective, before one that has begun and can't", overloaded(base, false), overloaded(late, true)},
		{"overloaded: a late one of which a few tasks are left, before one that hasn't begun", overloaded(nearlyDone, true), overloaded(base, false)},
		{"overloaded: an interrupted task", overloaded(interrupted, true), overloaded(base, true)},
		{"overloaded: a long-running task of an older workflow", overloaded(oldLongRunning, false), overloaded(longRunning, false)},
	}
	for _, c := range cases {
		if a, b := (BySlack{}).Rank(c.before, now), (BySlack{}).Rank(c.after, now); a >= b {
			t.Errorf("%s: got rank %d, want it below %d", c.name, a, b)
		}
	}
	earlier := with(func(r *notch.ReadyTask) { r.Accepted = now.Add(-time.Second); r.Priority = 9 })
	if a, b := (FIFO{}).Rank(earlier, now), (FIFO{}).Rank(base, now); a >= b {
		t.Errorf("FIFO: got rank %d, want it below %d", a, b)
	}
}
