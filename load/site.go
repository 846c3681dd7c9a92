package load

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"tamaracknotch/api"
	"tamaracknotch/client"
	"tamaracknotch/daemon"
)

// site is three daemons with the stand-ins around them.
type site struct {
	settings settings
	check    *checker
	runs     *runBook
	place    *placeBook
	dir      string
	daemons  []*daemon.Daemon
	backends []*backend
	ctl      *client.Client // operators' interface
	jobs     *client.Client // callers' interface
	cancel   context.CancelFunc
	log      io.Writer
}

// startSite starts the daemons and waits until they serve as one cluster.
func startSite(s settings, progress io.Writer) (*site, error) {
	dir, err := os.MkdirTemp("", "notchload-")
	if err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	check := newChecker()
	x := &site{
		settings: s, check: check, runs: &runBook{runs: map[string]int{}}, place: newPlaceBook(check),
		dir: dir, log: progress, cancel: func() {},
	}
	for i, name := range []string{"entry-1", "entry-2", "entry-3"} {
		if err := x.startDaemon(i, name); err != nil {
			x.close()
			return nil, err
		}
	}
	x.clients()
	if err := x.putTables(); err != nil {
		x.close()
		return nil, err
	}
	return x, nil
}

func (x *site) startDaemon(i int, name string) error {
	cfg := daemon.Defaults(name, profiles[0].domains[i])
	cfg.Decisions = x.settings.Decisions
	cfg.DataDir = filepath.Join(x.dir, name)
	cfg.Bootstrap = i == 0
	cfg.DrainDelay = daemon.Duration(2 * probeEvery)
	cfg.LogLevel = "warn"
	for _, d := range x.daemons {
		cfg.Join = append(cfg.Join, d.Link())
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := daemon.New(cfg, log, metrics.NewRegistry(), nil)
	if err != nil {
		return err
	}
	x.daemons = append(x.daemons, d)
	return d.Start()
}

func (x *site) clients() {
	var ops, callers []string
	for _, d := range x.daemons {
		ops = append(ops, d.Operators())
		callers = append(callers, d.Callers())
	}
	x.ctl, x.jobs = client.New(ops), client.New(callers)
}

func (x *site) callerAddresses() []string {
	var out []string
	for _, d := range x.daemons {
		out = append(out, d.Callers())
	}
	return out
}

// pools returns the pools table; the named hosts are leaving.
func (x *site) pools(leaving ...string) []api.Pool {
	control := api.Pool{Name: "control", Kind: "control", Hosts: []string{"entry-1", "entry-2", "entry-3"}}
	out := []api.Pool{control}
	for _, p := range profiles {
		out = append(out,
			api.Pool{Name: p.pool, Kind: "service", Leaving: leaving},
			api.Pool{Name: p.name + "-workers", Kind: "workers", Teams: []api.Team{{Name: "lines", Weight: 2}, {Name: "night", Weight: 1}}})
	}
	return out
}

func routes() []api.Route {
	var out []api.Route
	for _, p := range profiles {
		out = append(out, api.Route{Name: p.name, Path: "/" + p.name, Pool: p.pool, Timeout: api.Duration(2 * time.Second)})
	}
	return out
}

// putTables makes the first edits, which also make all daemons replicas.
func (x *site) putTables() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := x.put(ctx, "pools", api.Edit{ID: "load-pools", By: "notchload", Pools: x.pools()}); err != nil {
		return err
	}
	if err := x.put(ctx, "routes", api.Edit{ID: "load-routes", By: "notchload", Routes: routes()}); err != nil {
		return err
	}
	for ctx.Err() == nil {
		e, err := x.ctl.Entries(ctx)
		if err == nil && len(e.Entries) == len(x.daemons) && e.Lagging(e.Revision) == 0 {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the daemons didn't become one cluster in time")
}

// startTimeout bounds the start of the site.
const startTimeout = 15 * time.Second

// put sends an edit on the present version until it is accepted.
func (x *site) put(ctx context.Context, table string, e api.Edit) error {
	for {
		t, err := x.ctl.Table(ctx, table)
		if err == nil {
			e.Base = t.Version
			_, err = x.ctl.PutTable(ctx, table, e)
		}
		var p api.Problem
		if err == nil || errors.As(err, &p) && p.Status != 503 {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "put "+table)
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (x *site) startBackends() error {
	for _, p := range profiles {
		for i := range p.servers {
			b, err := newBackend(p, i, x.callerAddresses(), x.check, x.runs)
			if err != nil {
				return errors.Wrap(err, "backend server")
			}
			x.backends = append(x.backends, b)
		}
	}
	return nil
}

func (x *site) say(format string, args ...any) {
	if !x.settings.Quiet {
		fmt.Fprintf(x.log, format+"\n", args...)
	}
}

func (x *site) close() {
	x.cancel()
	for _, b := range x.backends {
		b.close()
	}
	for _, d := range x.daemons {
		d.Kill()
	}
	os.RemoveAll(x.dir)
}
