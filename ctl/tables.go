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

func tableNamed(s string) (notch.TableName, error) {
	name := notch.TableName(s)
	if name != notch.RoutesTable && name != notch.PoolsTable {
		return "", exit{exitUsage, fmt.Sprintf("there is no table %q; there are routes and pools", s)}
	}
	return name, nil
}

func (c *command) get(ctx context.Context) error {
	name, err := tableNamed(c.Get.Table)
	if err != nil {
		return err
	}
	t, err := c.tables.Table(ctx, string(name))
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(t)
	}
	return tablefile.Write(c.out, t)
}

// parse reads and checks a file. What is wrong is printed with its lines.
func (c *command) parse(table, file string) (notch.TableName, tablefile.Parsed, error) {
	name, err := tableNamed(table)
	if err != nil {
		return "", tablefile.Parsed{}, err
	}
	f, err := openFile(file)
	if err != nil {
		return "", tablefile.Parsed{}, err
	}
	defer f.Close()
	p, err := tablefile.Parse(name, f)
	if err != nil {
		return "", p, exit{exitInvalid, file + ": " + err.Error()}
	}
	if errs := p.Check(name); len(errs) > 0 {
		fmt.Fprint(c.err, p.Explain(file, api.FieldsFrom(errs)))
		return "", p, exit{exitInvalid, "the file breaks rules; nothing was sent"}
	}
	return name, p, nil
}

func (c *command) check() error {
	_, p, err := c.parse(c.Check.Table, c.Check.File)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s: %d rows, no errors; whether names join shows when it is put\n", c.Check.File, len(p.Routes)+len(p.Pools))
	return nil
}

func (c *command) diff(ctx context.Context) error {
	name, p, err := c.parse(c.Diff.Table, c.Diff.File)
	if err != nil {
		return err
	}
	t, err := c.tables.Table(ctx, string(name))
	if err != nil {
		return err
	}
	routes, _ := api.RoutesOf(p.Routes)
	wanted := api.TableFrom(name, notch.Tables{Routes: routes, Pools: api.PoolsOf(p.Pools)})
	wanted.Version = t.Version
	was, err := lines(t)
	if err != nil {
		return err
	}
	will, err := lines(wanted)
	if err != nil {
		return err
	}
	changes := diffLines(was, will)
	if len(changes) == 0 {
		fmt.Fprintf(c.out, "no difference from version %d\n", t.Version)
		return nil
	}
	fmt.Fprintf(c.out, "--- %s, version %d\n+++ %s\n%s\n", name, t.Version, c.Diff.File, strings.Join(changes, "\n"))
	return exit{code: exitDiffers}
}

func lines(t api.Table) ([]string, error) {
	var b bytes.Buffer
	if err := tablefile.Write(&b, t); err != nil {
		return nil, err
	}
	return strings.Split(strings.TrimSuffix(b.String(), "\n"), "\n"), nil
}

// diffLines returns the removed and added lines by their longest common
// subsequence.
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
		t, err := c.tables.Table(ctx, string(name))
		if err != nil {
			return err
		}
		edit.Base = t.Version
	}
	r, err := c.send(ctx, string(name), edit)
	if err != nil {
		return c.explain(err, p, c.Put.File, edit)
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
	return c.wait(ctx, r.Revision)
}

// resends is how often an edit with a lost answer is sent again.
const resends = 5

// send sends the edit until its outcome is known. A resend with the same id
// can't change the table twice.
func (c *command) send(ctx context.Context, name string, edit api.Edit) (r api.Edited, err error) {
	for try := range resends {
		if r, err = c.tables.PutTable(ctx, name, edit); err == nil {
			return r, nil
		}
		var p api.Problem
		if errors.As(err, &p) && p.Status != 503 {
			return r, err
		}
		fmt.Fprintf(c.err, "notchctl: outcome not known (%v), resending\n", err)
		time.Sleep(time.Duration(try+1) * 500 * time.Millisecond)
	}
	return r, err
}

func (c *command) explain(err error, p tablefile.Parsed, file string, edit api.Edit) error {
	var problem api.Problem
	if !errors.As(err, &problem) {
		return errors.WithMessagef(err, "outcome not known; send again with --edit-id %s --base %d", edit.ID, edit.Base)
	}
	if len(problem.Fields) > 0 {
		fmt.Fprint(c.err, p.Explain(file, problem.Fields))
	}
	if e := problem.Edit; e != nil {
		return exit{exitConflict, fmt.Sprintf("%s: it has version %d by %q of %s; the edit was based on %d",
			problem.Detail, e.Version, e.By, e.At.Format(time.RFC3339), edit.Base)}
	}
	return err
}

// pollEvery is the time between two looks at the entries.
const pollEvery = 200 * time.Millisecond

// orOthers is added while the leader may not know all entries yet.
var orOthers = map[bool]string{true: ", or others that the leader doesn't know yet"}

func (c *command) wait(ctx context.Context, revision uint64) error {
	deadline := time.Now().Add(c.Put.Timeout)
	shown := -1
	for {
		e, err := c.tables.Entries(ctx)
		missing := len(e.Entries)
		if err == nil {
			missing = e.Lagging(revision)
		}
		if err == nil && missing == 0 && e.Complete {
			fmt.Fprintf(c.err, "in force on all %d entries\n", len(e.Entries))
			return nil
		}
		if missing != shown {
			fmt.Fprintf(c.err, "waiting for %d of %d entries%s\n", missing, len(e.Entries), orOthers[!e.Complete])
			shown = missing
		}
		if time.Now().After(deadline) {
			return exit{exitWaiting, fmt.Sprintf("revision %d is accepted, but not in force on %d entries", revision, missing)}
		}
		time.Sleep(pollEvery)
	}
}

func (c *command) status(ctx context.Context) error {
	e, err := c.tables.Entries(ctx)
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

func (c *command) workers(ctx context.Context) error {
	ws, err := c.tables.Workers(ctx)
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
		fmt.Fprintf(w, "%s\t%s\t%s\t%d/%d\t%d/%d\t%d/%d\t%s\n", x.Name, x.Pool, x.Domain,
			x.Used.MilliCPU+x.Services.MilliCPU, x.Size.MilliCPU, x.Used.MemoryMB+x.Services.MemoryMB, x.Size.MemoryMB,
			x.Used.Accelerators+x.Services.Accelerators, x.Size.Accelerators, state)
	}
	return w.Flush()
}
