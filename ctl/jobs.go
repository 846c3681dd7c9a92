package ctl

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"tamaracknotch/api"
)

func (c *command) runJobs(ctx context.Context) error {
	switch {
	case c.Jobs.Submit != nil:
		return c.submitJob(ctx)
	case c.Jobs.List != nil:
		return c.listJobs(ctx)
	case c.Jobs.Show != nil:
		return c.showJob(ctx)
	case c.Jobs.Cancel != nil:
		if err := c.callerAPI.CancelJobs(ctx, c.Jobs.Cancel.IDs); err != nil {
			return err
		}
		fmt.Fprintf(c.out, "cancelled %d jobs\n", len(c.Jobs.Cancel.IDs))
		return nil
	}
	return exitError{exitUsage, "jobs: a subcommand is required: submit, list, show or cancel"}
}

func (c *command) submitJob(ctx context.Context) error {
	f, err := openInput(c.Jobs.Submit.File)
	if err != nil {
		return err
	}
	defer f.Close()
	var j api.Job
	if err := api.Decode(f, &j); err != nil {
		return exitError{exitInvalid, c.Jobs.Submit.File + ": " + err.Error()}
	}
	if err := c.callerAPI.SubmitJob(ctx, j); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "accepted: job %s\n", j.ID)
	return nil
}

func (c *command) listJobs(ctx context.Context) error {
	js, err := c.callerAPI.Jobs(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(js)
	}
	w := tabwriter.NewWriter(c.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "JOB\tPOOL\tTEAM\tCLASS\tTASKS")
	for _, j := range js {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", j.Job.ID, j.Job.Pool, j.Job.Team, j.Job.Class, formatCounts(j.Counts))
	}
	return w.Flush()
}

// formatCounts formats the number of tasks in each phase.
func formatCounts(m map[string]int) string {
	var parts []string
	for _, phase := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%d %s", m[phase], phase))
	}
	return strings.Join(parts, ", ")
}

func (c *command) showJob(ctx context.Context) error {
	j, err := c.callerAPI.Job(ctx, c.Jobs.Show.ID)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(j)
	}
	fmt.Fprintf(c.out, "job %s of team %q in pool %s, %s: %s\n", j.Job.ID, j.Job.Team, j.Job.Pool, j.Job.Class, formatCounts(j.Counts))
	if j.WaitReason != "" {
		fmt.Fprintf(c.out, "waits: %s\n", j.WaitReason)
	}
	w := tabwriter.NewWriter(c.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "TASK\tPHASE\tATTEMPT\tWORKER\tEVICTIONS\tREASON")
	for _, t := range j.Tasks {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\t%s\n", t.ID, t.Phase, t.Epoch, t.Worker, t.Evictions, t.Reason)
	}
	return w.Flush()
}
