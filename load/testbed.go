package load

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"tamaracknotch/api"
	"tamaracknotch/client"
	"tamaracknotch/daemon"
)

// testbed holds the three daemons under test and the simulated systems around them.
type testbed struct {
	settings    settings
	checker     *checker
	runs        *runCounter
	tasks       *taskTracker
	stop        atomic.Pointer[gracefulStop] // nil until an entry is stopped
	dir         string
	daemons     []*daemon.Daemon
	backends    []*backend
	operatorAPI *client.Client // calls the interface for operators
	callerAPI   *client.Client // calls the interface for callers
	cancel      context.CancelFunc
	progress    io.Writer
}

// startTestbed starts the daemons, puts the tables and waits until all daemons have
// joined the cluster and use the tables.
func startTestbed(s settings, progress io.Writer) (*testbed, error) {
	dir, err := os.MkdirTemp("", "notchload-")
	if err != nil {
		return nil, errors.Wrap(err, "create the data folder")
	}
	check := newChecker()
	x := &testbed{
		settings: s, checker: check, runs: &runCounter{runs: map[string]int{}}, tasks: newTaskTracker(check),
		dir: dir, progress: progress, cancel: func() {},
	}
	for i, name := range []string{"entry-1", "entry-2", "entry-3"} {
		if err := x.startDaemon(i, name); err != nil {
			x.close()
			return nil, err
		}
	}
	x.createClients()
	if err := x.putTables(); err != nil {
		x.close()
		return nil, err
	}
	return x, nil
}

func (x *testbed) startDaemon(i int, name string) error {
	cfg := daemon.Defaults(name, profiles[0].domains[i])
	cfg.Policies = x.settings.Policies
	cfg.DataDir = filepath.Join(x.dir, name)
	cfg.Bootstrap = i == 0
	cfg.DrainDelay = daemon.Duration(drainDelay)
	cfg.LogLevel = "warn"
	for _, d := range x.daemons {
		cfg.Join = append(cfg.Join, d.LinkAddr())
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

func (x *testbed) createClients() {
	var ops, callers []string
	for _, d := range x.daemons {
		ops = append(ops, d.OperatorAddr())
		callers = append(callers, d.CallerAddr())
	}
	x.operatorAPI, x.callerAPI = client.New(ops), client.New(callers)
}

// callerAddrs returns the daemons' addresses for callers.
func (x *testbed) callerAddrs() []string {
	var out []string
	for _, d := range x.daemons {
		out = append(out, d.CallerAddr())
	}
	return out
}

// pools returns the pools table, in which the named hosts or backend servers are
// leaving.
func (x *testbed) pools(leaving ...string) []api.Pool {
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

// putTables puts both tables and waits until they are in force at all daemons. The
// control pool of the pools table makes all three daemons replicas.
func (x *testbed) putTables() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := x.put(ctx, "pools", api.Edit{ID: "load-pools", By: "notchload", Pools: x.pools()}); err != nil {
		return err
	}
	if err := x.put(ctx, "routes", api.Edit{ID: "load-routes", By: "notchload", Routes: routes()}); err != nil {
		return err
	}
	for ctx.Err() == nil {
		e, err := x.operatorAPI.Entries(ctx)
		if err == nil && len(e.Entries) == len(x.daemons) && e.Lagging(e.Revision) == 0 {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the daemons did not form one cluster in time")
}

// startTimeout bounds the start of the testbed.
const startTimeout = 15 * time.Second

// put sends an edit, based on the current version of the table, until it is accepted
// or refused.
func (x *testbed) put(ctx context.Context, table string, e api.Edit) error {
	for {
		t, err := x.operatorAPI.Table(ctx, table)
		if err == nil {
			e.Base = t.Version
			_, err = x.operatorAPI.PutTable(ctx, table, e)
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

func (x *testbed) startBackends() error {
	for _, p := range profiles {
		for i := range p.servers {
			b, err := newBackend(p, i, x.callerAddrs(), x.checker, x.runs)
			if err != nil {
				return errors.Wrap(err, "start a backend server")
			}
			x.backends = append(x.backends, b)
		}
	}
	return nil
}

// progressf prints a line of progress unless --quiet is set.
func (x *testbed) progressf(format string, args ...any) {
	if !x.settings.Quiet {
		fmt.Fprintf(x.progress, format+"\n", args...)
	}
}

// close stops everything and removes the data folders.
func (x *testbed) close() {
	x.cancel()
	for _, b := range x.backends {
		b.close()
	}
	for _, d := range x.daemons {
		d.Kill()
	}
	os.RemoveAll(x.dir)
}
