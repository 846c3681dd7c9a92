package script

import (
	"slices"
	"strings"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/fake"
)

func (r *run) worker(args []string) {
	seconds := r.float(args[5]) * float64(time.Second)
	r.AddWorker(notch.Worker{
		Name: args[0], Domain: args[1], Pool: args[2], Rack: args[1] + "-rack",
		Size: notch.Resources{MilliCPU: int64(r.number(args[3])), MemoryMB: int64(r.number(args[4]))},
	}, func(notch.Order) time.Duration { return time.Duration(seconds * (0.8 + 0.4*r.Rand.Float64())) })
}

func (r *run) workerOf(name string) *fake.Worker {
	w := r.Workers[name]
	if w == nil {
		r.fatalf("there is no worker %q", name)
	}
	return w
}

func (r *run) workerKill(args []string)   { r.KillWorker(r.workerOf(args[0])) }
func (r *run) workerStart(args []string)  { r.StartWorker(r.workerOf(args[0])) }
func (r *run) workerCut(args []string)    { r.workerOf(args[0]).CutOff = yes(args[1]) }
func (r *run) workerDrift(args []string)  { r.workerOf(args[0]).Drift = r.float(args[1]) }
func (r *run) workerBroken(args []string) { r.workerOf(args[0]).Broken = yes(args[1]) }

func (r *run) workerSize(args []string) {
	w := r.workerOf(args[0])
	w.Size = notch.Resources{MilliCPU: int64(r.number(args[1])), MemoryMB: int64(r.number(args[2]))}
}

func (r *run) job(args []string) {
	class, ok := notch.ParseClass(args[5])
	if !ok {
		r.fatalf("there is no class %q", args[5])
	}
	j := notch.Job{
		ID: args[1], Pool: args[2], Team: args[3], Kind: args[4], Class: class, Tasks: r.number(args[6]),
		Size:           notch.Resources{MilliCPU: int64(r.number(args[7])), MemoryMB: int64(r.number(args[8]))},
		Checkpointable: slices.Contains(args, "checkpoint"), Command: args[4],
	}
	if j.Team == "-" {
		j.Team = ""
	}
	r.Submit(r.node(args[0]), notch.SubmitJob{Job: j}, editPatience, func(a notch.Answer) {
		if a.Err != nil {
			r.jobReply[j.ID] = a.Err.Error()
			return
		}
		r.jobReply[j.ID] = a.Result.(notch.JobResult).Reason
	})
}

func (r *run) reply(args []string) {
	got, ok := r.jobReply[args[0]]
	want := strings.Join(args[1:], " ")
	if want == "-" {
		want = ""
	}
	if !ok || (want == "" && got != "") || !strings.Contains(got, want) {
		r.fatalf("answer to job %s: got %q (known: %v), want %q", args[0], got, ok, want)
	}
}

func (r *run) cancel(args []string) {
	r.Submit(r.node(args[0]), notch.CancelJobs{Jobs: args[1:]}, editPatience, func(notch.Answer) {})
}

// view asks about a job and lets the answer come.
func (r *run) view(node, job string) notch.View {
	var v notch.View
	r.Query(r.node(node), notch.Question{Kind: notch.AskJob, Name: job}, editPatience, func(a notch.AnswerQuery) {
		if a.Err != nil {
			r.fatalf("job %s: %v", job, a.Err)
		}
		v = a.View
	})
	r.Run(200 * time.Millisecond)
	if len(v.Jobs) == 0 {
		r.fatalf("there is no answer about job %s", job)
	}
	return v
}

func (r *run) tasks(args []string) {
	v := r.view(args[0], args[1])
	got := 0
	for phase, n := range v.Jobs[0].Counts {
		if notch.TaskPhase(phase).String() == args[2] {
			got = n
		}
	}
	r.compare("tasks of "+args[1]+" "+args[2], got, args[3], args[4])
}

func (r *run) waits(args []string) {
	got := r.view(args[0], args[1]).Waits
	if want := strings.Join(args[2:], " "); !strings.Contains(got, want) {
		r.fatalf("job %s waits: got %q, want %q", args[1], got, want)
	}
}

func (r *run) running(args []string) {
	r.compare("attempts on "+args[0], r.workerOf(args[0]).RunningCount(), args[1], args[2])
}
