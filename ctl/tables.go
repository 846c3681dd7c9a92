package ctl

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	notch "tamaracknotch"
	"tamaracknotch/api"
	"tamaracknotch/tablefile"
)

// parseTableName returns the table with the name s. Any other name is wrong usage.
func parseTableName(s string) (notch.TableName, error) {
	name := notch.TableName(s)
	if name != notch.RoutesTable && name != notch.PoolsTable {
		return "", exitError{exitUsage, fmt.Sprintf("there is no table %q; there are routes and pools", s)}
	}
	return name, nil
}

func (c *command) get(ctx context.Context) error {
	name, err := parseTableName(c.Get.Table)
	if err != nil {
		return err
	}
	t, err := c.operatorAPI.Table(ctx, string(name))
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(t)
	}
	return tablefile.Write(c.out, t)
}

// parse reads and checks the file of a table. It prints each violation with its line
// number.
func (c *command) parse(table, file string) (notch.TableName, tablefile.Parsed, error) {
	name, err := parseTableName(table)
	if err != nil {
		return "", tablefile.Parsed{}, err
	}
	f, err := openInput(file)
	if err != nil {
		return "", tablefile.Parsed{}, err
	}
	defer f.Close()
	p, err := tablefile.Parse(name, f)
	if err != nil {
		return "", p, exitError{exitInvalid, file + ": " + err.Error()}
	}
	if errs := p.Check(name); len(errs) > 0 {
		fmt.Fprint(c.err, p.FormatErrors(file, api.FieldsFrom(errs)))
		return "", p, exitError{exitInvalid, "the file is invalid; nothing was sent"}
	}
	return name, p, nil
}

func (c *command) check() error {
	_, p, err := c.parse(c.Check.Table, c.Check.File)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s: %d rows, no errors; references between the tables are checked by put\n", c.Check.File, len(p.Routes)+len(p.Pools))
	return nil
}

func (c *command) diff(ctx context.Context) error {
	name, p, err := c.parse(c.Diff.Table, c.Diff.File)
	if err != nil {
		return err
	}
	t, err := c.operatorAPI.Table(ctx, string(name))
	if err != nil {
		return err
	}
	routes, _ := api.ConvertRoutes(p.Routes)
	proposed := api.TableFrom(name, notch.Tables{Routes: routes, Pools: api.ConvertPools(p.Pools)})
	proposed.Version = t.Version
	currentLines, err := yamlLines(t)
	if err != nil {
		return err
	}
	proposedLines, err := yamlLines(proposed)
	if err != nil {
		return err
	}
	changes := diffLines(currentLines, proposedLines)
	if len(changes) == 0 {
		fmt.Fprintf(c.out, "no difference from version %d\n", t.Version)
		return nil
	}
	fmt.Fprintf(c.out, "--- %s, version %d\n+++ %s\n%s\n", name, t.Version, c.Diff.File, strings.Join(changes, "\n"))
	return exitError{code: exitDiffers}
}

// yamlLines returns the lines of a table written as YAML.
func yamlLines(t api.Table) ([]string, error) {
	var b bytes.Buffer
	if err := tablefile.Write(&b, t); err != nil {
		return nil, err
	}
	return strings.Split(strings.TrimSuffix(b.String(), "\n"), "\n"), nil
}

// diffLines returns the lines removed from a and added in b, by a longest common
// subsequence. Removed lines begin with -, added lines with +.
func diffLines(a, b []string) []string {
	common := make([][]int, len(a)+1)
	for i := range common {
		common[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	var out []string
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i, j = i+1, j+1
		case j >= len(b) || i < len(a) && common[i+1][j] >= common[i][j+1]:
			out = append(out, "-"+a[i])
			i++
		default:
			out = append(out, "+"+b[j])
			j++
		}
	}
	return out
}

func (c *command) put(ctx context.Context) error {
	name, p, err := c.parse(c.Put.Table, c.Put.File)
	if err != nil {
		return err
	}
	edit := api.Edit{ID: c.Put.EditID, By: c.Put.By, Routes: p.Routes, Pools: p.Pools}
	if edit.ID == "" {
		edit.ID = rand.Text()
	}
	if c.Put.Base != nil {
		edit.Base = *c.Put.Base
	} else {
		t, err := c.operatorAPI.Table(ctx, string(name))
		if err != nil {
			return err
		}
		edit.Base = t.Version
	}
	r, err := c.putWithRetries(ctx, string(name), edit)
	if err != nil {
		return c.explainPutError(err, p, c.Put.File, edit)
	}
	if c.JSON {
		if err := c.printJSON(r); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(c.out, "accepted: %s has version %d, revision %d\n", name, r.Version, r.Revision)
	}
	if !c.Put.Wait {
		return nil
	}
	return c.waitInForce(ctx, r.Revision)
}

// maxPutAttempts is how often an edit is sent while its outcome is unknown.
const maxPutAttempts = 5

// putWithRetries sends the edit until its outcome is known. A resend with the same id
// can't change the table twice.
func (c *command) putWithRetries(ctx context.Context, name string, edit api.Edit) (r api.EditResult, err error) {
	for try := range maxPutAttempts {
		if r, err = c.operatorAPI.PutTable(ctx, name, edit); err == nil {
			return r, nil
		}
		var p api.Problem
		if errors.As(err, &p) && p.Status != 503 {
			return r, err
		}
		fmt.Fprintf(c.err, "notchctl: outcome unknown (%v), resending\n", err)
		time.Sleep(time.Duration(try+1) * 500 * time.Millisecond)
	}
	return r, err
}

// explainPutError prints the fields that are invalid and returns an error that explains
// how to go on: after a conflict, or if the outcome is unknown.
func (c *command) explainPutError(err error, p tablefile.Parsed, file string, edit api.Edit) error {
	var problem api.Problem
	if !errors.As(err, &problem) {
		return errors.WithMessagef(err, "outcome unknown; send again with --edit-id %s --base %d", edit.ID, edit.Base)
	}
	if len(problem.Fields) > 0 {
		fmt.Fprint(c.err, p.FormatErrors(file, problem.Fields))
	}
	if e := problem.Edit; e != nil {
		return exitError{exitConflict, fmt.Sprintf("%s: the current version is %d, put by %q at %s; the edit is based on version %d",
			problem.Detail, e.Version, e.By, e.AcceptedAt.Format(time.RFC3339), edit.Base)}
	}
	return err
}

// pollInterval is the time between two queries for the entries.
const pollInterval = 200 * time.Millisecond

// incompleteNote is the text added while the list of entries may be incomplete: a
// new leader doesn't know all entries yet.
var incompleteNote = map[bool]string{true: ", or others that the leader doesn't know yet"}

// waitInForce waits until the revision is in force on every entry.
func (c *command) waitInForce(ctx context.Context, revision uint64) error {
	deadline := time.Now().Add(c.Put.Timeout)
	lastMissing := -1
	for {
		e, err := c.operatorAPI.Entries(ctx)
		missing := len(e.Entries)
		if err == nil {
			missing = e.Lagging(revision)
		}
		if err == nil && missing == 0 && e.Complete {
			fmt.Fprintf(c.err, "in force on all %d entries\n", len(e.Entries))
			return nil
		}
		if missing != lastMissing {
			fmt.Fprintf(c.err, "waiting for %d of %d entries%s\n", missing, len(e.Entries), incompleteNote[!e.Complete])
			lastMissing = missing
		}
		if time.Now().After(deadline) {
			return exitError{exitWaiting, fmt.Sprintf("revision %d is accepted, but not in force on %d entries", revision, missing)}
		}
		time.Sleep(pollInterval)
	}
}

func (c *command) showStatus(ctx context.Context) error {
	e, err := c.operatorAPI.Entries(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(e)
	}
	fmt.Fprintf(c.out, "revision %d\n", e.Revision)
	w := tabwriter.NewWriter(c.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "ENTRY\tREVISION\tLEASE")
	for _, x := range e.Entries {
		lease := fmt.Sprintf("%.1fs", x.LeaseSeconds)
		if x.LeaseSeconds <= 0 {
			lease = "ended"
		}
		fmt.Fprintf(w, "%s\t%d\t%s\n", x.Name, x.Revision, lease)
	}
	return w.Flush()
}

func (c *command) listWorkers(ctx context.Context) error {
	ws, err := c.operatorAPI.Workers(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(ws)
	}
	w := tabwriter.NewWriter(c.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "WORKER\tPOOL\tDOMAIN\tMILLI-CPU\tMEMORY-MB\tACCELERATORS\tSTATE")
	for _, x := range ws {
		state := "open"
		if x.Quarantined {
			state = "quarantined"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d/%d\t%d/%d\t%d/%d\t%s\n", x.Name, x.Pool, x.FailureDomain,
			x.Used.MilliCPU+x.Services.MilliCPU, x.Size.MilliCPU, x.Used.MemoryMB+x.Services.MemoryMB, x.Size.MemoryMB,
			x.Used.Accelerators+x.Services.Accelerators, x.Size.Accelerators, state)
	}
	return w.Flush()
}
