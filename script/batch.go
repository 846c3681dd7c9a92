package script

import (
	"slices"
	"strings"
	"time"

	notch "tamaracknotch"
	"tamaracknotch/fake"
)

func (r *scriptState) worker(args []string) {
	seconds := r.float(args[5]) * float64(time.Second)
	r.AddWorker(notch.Worker{
		Name: args[0], Domain: args[1], Pool: args[2], Rack: args[1] + "-rack",
		Size: notch.Resources{MilliCPU: int64(r.number(args[3])), MemoryMB: int64(r.number(args[4]))},
	}, func(notch.Order) time.Duration { return time.Duration(seconds * (0.8 + 0.4*r.Rand.Float64())) })
}

func (r *scriptState) findWorker(name string) *fake.Worker {
	w := r.Workers[name]
	if w == nil {
		r.fatalf("there is no worker %q", name)
	}
	return w
}

func (r *scriptState) workerKill(args []string)   { r.KillWorker(r.findWorker(args[0])) }
func (r *scriptState) workerStart(args []string)  { r.StartWorker(r.findWorker(args[0])) }
func (r *scriptState) workerCut(args []string)    { r.findWorker(args[0]).CutOff = isYes(args[1]) }
func (r *scriptState) workerDrift(args []string)  { r.findWorker(args[0]).Drift = r.float(args[1]) }
func (r *scriptState) workerBroken(args []string) { r.findWorker(args[0]).Broken = isYes(args[1]) }

func (r *scriptState) workerSize(args []string) {
	w := r.findWorker(args[0])
	w.Size = notch.Resources{MilliCPU: int64(r.number(args[1])), MemoryMB: int64(r.number(args[2]))}
}

func (r *scriptState) job(args []string) {
	class, ok := notch.ParseClass(args[5])
	if !ok {
		r.fatalf("class %q isn't one of best-effort, normal and urgent", args[5])
	}
	j := notch.Job{
		ID: args[1], Pool: args[2], Team: args[3], Kind: args[4], Class: class, Tasks: r.number(args[6]),
		Size:           notch.Resources{MilliCPU: int64(r.number(args[7])), MemoryMB: int64(r.number(args[8]))},
		Checkpointable: slices.Contains(args, "checkpoint"), Command: args[4],
	}
	if j.Team == "-" {
		j.Team = ""
	}
	r.Submit(r.node(args[0]), notch.SubmitJob{Job: j}, commandTimeout, func(a notch.Answer) {
		if a.Err != nil {
			r.jobReplies[j.ID] = a.Err.Error()
			return
		}
		r.jobReplies[j.ID] = a.Result.(notch.JobResult).Reason
	})
}

func (r *scriptState) reply(args []string) {
	got, ok := r.jobReplies[args[0]]
	want := strings.Join(args[1:], " ")
	if want == "-" {
		want = ""
	}
	if !ok || (want == "" && got != "") || !strings.Contains(got, want) {
		r.fatalf("answer to job %s: got %q (known: %v), want %q", args[0], got, ok, want)
	}
}

func (r *scriptState) cancel(args []string) {
	r.Submit(r.node(args[0]), notch.CancelJobs{Jobs: args[1:]}, commandTimeout, func(notch.Answer) {})
}

// queryJob queries a job through a daemon and waits for the answer.
func (r *scriptState) queryJob(node, job string) notch.QueryResult {
	var result notch.QueryResult
	r.Query(r.node(node), notch.Query{Kind: notch.QueryJob, Name: job}, commandTimeout, func(a notch.AnswerQuery) {
		if a.Err != nil {
			r.fatalf("job %s: %v", job, a.Err)
		}
		result = a.View
	})
	r.Run(200 * time.Millisecond)
	if len(result.Jobs) == 0 {
		r.fatalf("got no answer to the query for job %s", job)
	}
	return result
}

func (r *scriptState) tasks(args []string) {
	v := r.queryJob(args[0], args[1])
	got := 0
	for phase, n := range v.Jobs[0].Counts {
		if notch.TaskPhase(phase).String() == args[2] {
			got = n
		}
	}
	r.compare("tasks of "+args[1]+" "+args[2], got, args[3], args[4])
}

func (r *scriptState) waits(args []string) {
	got := r.queryJob(args[0], args[1]).Waits
	if want := strings.Join(args[2:], " "); !strings.Contains(got, want) {
		r.fatalf("job %s waits: got %q, want %q", args[1], got, want)
	}
}

func (r *scriptState) running(args []string) {
	r.compare("attempts on "+args[0], r.findWorker(args[0]).RunningCount(), args[1], args[2])
}
