// Package daemon assembles one process of the system from its settings: logs,
// metrics, the parts of the reducers and the listeners. It starts and stops them in
// order.
package daemon

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"golang.org/x/net/netutil"

	notch "tamaracknotch"
	"tamaracknotch/consensus"
	"tamaracknotch/descriptors"
	"tamaracknotch/engine"
	"tamaracknotch/front"
	"tamaracknotch/link"
	"tamaracknotch/wal"
)

// Daemon is one process of the system.
type Daemon struct {
	settings     Settings
	log          *logrus.Logger
	registry     metrics.Registry
	budget       descriptors.Budget
	engine       *engine.Engine
	link         *link.Link
	journal      *wal.Journal
	adapter      front.ProtocolAdapter
	callers      net.Listener // nil if callers aren't served
	operators    net.Listener // nil if operators aren't served
	links        net.Listener
	health       net.Listener   // nil if the readiness check has no address of its own
	metrics      net.Listener   // nil if the metrics have no address of their own
	servers      []notch.Server // in the order of their start
	callerServer notch.Server   // nil if callers aren't served
	stopping     atomic.Bool
	stopOnce     sync.Once
	stopErr      error // of the graceful stop
	closeOnce    sync.Once
	ending       chan struct{} // closed when the daemon begins to end
}

// Module returns the fx options that build a daemon. fx builds each component after
// those that it depends on, starts the components in that order and stops them in
// the reverse order.
func Module(s Settings, adapters ProtocolAdapters, out io.Writer) fx.Option {
	return fx.Options(
		fx.NopLogger,
		fx.StopTimeout(time.Duration(s.DrainDelay)+time.Duration(s.StopTimeout)+stopMargin),
		fx.Supply(s, adapters),
		fx.Provide(
			func(lc fx.Lifecycle, registry metrics.Registry) *logrus.Logger {
				w := newLogWriter(out)
				registry.Register("log-lines-dropped", metrics.NewFunctionalGauge(w.dropped.Load))
				lc.Append(fx.Hook{OnStop: func(ctx context.Context) error { return w.closeAndWait(ctx) }})
				return newLogger(s, w)
			},
			func() metrics.Registry { return metrics.NewRegistry() },
			New,
		),
		fx.Invoke(func(lc fx.Lifecycle, d *Daemon) {
			lc.Append(fx.Hook{OnStart: d.start, OnStop: d.Stop})
		}),
	)
}

// stopMargin is the time that fx gives the stop beyond the drain delay and the
// timeout for requests in flight.
const stopMargin = 10 * time.Second

// New opens the listeners and the data folder, and starts the reducers. It serves
// nothing yet.
func New(s Settings, log *logrus.Logger, registry metrics.Registry, adapters ProtocolAdapters) (*Daemon, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, log: log, registry: registry, ending: make(chan struct{})}
	registerUsage(registry)
	limit, err := descriptors.Limit()
	if err != nil {
		return nil, err
	}
	d.budget = descriptors.Divide(limit, s.DataDir != "", s.Listen != "")
	registerDescriptors(registry, limit)
	if s.Protocol != OwnProtocol {
		newAdapter, ok := adapters[s.Protocol]
		if !ok {
			return nil, errors.Errorf("settings: --face is %q: must be own or the name of an adapter that is built in", s.Protocol)
		}
		d.adapter = newAdapter()
	} else {
		d.adapter = ownAdapter{d}
	}
	if err := d.listen(); err != nil {
		d.closeListeners()
		return nil, err
	}
	if err := d.build(); err != nil {
		d.closeListeners()
		if d.journal != nil {
			d.journal.Close()
		}
		return nil, err
	}
	return d, nil
}

// ProtocolAdapters holds the constructors of the built-in protocol adapters, by name.
type ProtocolAdapters map[string]func() front.ProtocolAdapter

// listen opens a listener for each address that is set.
func (d *Daemon) listen() error {
	for _, socket := range []struct {
		address     string
		listener    *net.Listener
		connections int // at most that many are open; 0: no limit
	}{
		{d.settings.Listen, &d.callers, d.budget.Callers}, {d.settings.Operators, &d.operators, d.budget.Operators},
		{d.settings.Link, &d.links, 0}, {d.settings.Health, &d.health, 0}, {d.settings.Metrics, &d.metrics, 0},
	} {
		if socket.address == "" {
			continue
		}
		l, err := net.Listen("tcp", socket.address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", socket.address)
		}
		if socket.connections > 0 {
			l = netutil.LimitListener(l, socket.connections)
		}
		*socket.listener = l
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, l := range []net.Listener{d.callers, d.operators, d.links, d.health, d.metrics} {
		if l != nil {
			l.Close()
		}
	}
}

// addressOf returns the address of a listener; empty if it is nil.
func addressOf(l net.Listener) string {
	if l == nil {
		return ""
	}
	return l.Addr().String()
}

// build opens the data folder and builds the link and the engine.
func (d *Daemon) build() error {
	self := notch.Daemon{
		Name: d.settings.Name, Address: addressOf(d.links), Domain: d.settings.FailureDomain,
		Operators:   addressOf(d.operators),
		Incarnation: uint64(time.Now().UnixNano()), Replica: d.settings.DataDir != "",
	}
	hosts, err := hostInventory(d.settings, d.adapter)
	if err != nil {
		return err
	}
	var id wal.Identity
	var recovered *notch.Recovered
	if self.Replica {
		if id, recovered, err = d.openData(self); err != nil {
			return err
		}
	}
	hello := notch.Hello{Daemon: self, Storage: id.Storage, Cluster: id.Cluster}
	post := func(b notch.Body) { d.engine.Post(b) }
	d.link = link.New([]byte(d.settings.LinkKey), hello, post, link.WithObserver(newLinkMeter(d.sink()).observe))
	clock := newClock()
	cfg := engine.Config{
		Self: self, Control: controlState(d.settings, self, id.Storage, id.Cluster, hosts != nil), Lanes: laneStates(d.settings),
		Clock: clock, Seed: rand.Uint64(), Link: d.link,
		Agents: d.adapter.Agents(d.budget.Agents, clock), Hosts: hosts, Sink: d.sink(),
	}
	if d.journal != nil {
		cfg.Journal = d.journal
	}
	d.engine = engine.New(cfg, recovered)
	return nil
}

// openData opens the data folder and returns its identity and content. If this
// daemon bootstraps the cluster, it first writes the initial log to an empty folder.
func (d *Daemon) openData(self notch.Daemon) (wal.Identity, *notch.Recovered, error) {
	j := wal.New(wal.Folder(d.settings.DataDir))
	d.journal = j
	newIdentity := wal.Identity{Storage: rand.Uint64() | 1}
	if d.settings.bootstraps() {
		newIdentity.Cluster, newIdentity.Founder = rand.Uint64()|1, true
	}
	id, err := j.Identity(newIdentity)
	if err != nil {
		return id, nil, err
	}
	r, err := j.Load()
	if err != nil {
		return id, nil, errors.Wrap(err, "data folder "+d.settings.DataDir)
	}
	replica := notch.Replica{Name: self.Name, Storage: id.Storage}
	if id.Founder && isEmpty(r) && d.settings.bootstraps() {
		r = consensus.Bootstrap(replica)
		if err := j.Append([]notch.Persist{{Hard: r.Hard, Entries: r.Entries}}); err != nil {
			return id, nil, err
		}
		d.log.WithField("daemon", self.Name).Info("began a new cluster")
	}
	if d.settings.RecoverAlone {
		if r, err = recoverAlone(j, r, replica); err != nil {
			return id, nil, err
		}
		d.log.WithField("daemon", self.Name).Warn("continues as the only control replica")
	}
	return id, &r, nil
}

// isEmpty reports whether a journal contained nothing: it is new, or the process that created it ended
// before its first write was complete.
func isEmpty(r notch.Recovered) bool {
	return r.Hard == notch.HardState{} && r.Snapshot == nil && len(r.Entries) == 0
}

// recoverAlone appends to the log a replica set whose only voter is this replica.
// Entries that the lost majority accepted and this replica didn't receive are lost.
func recoverAlone(j *wal.Journal, r notch.Recovered, self notch.Replica) (notch.Recovered, error) {
	last, term := uint64(0), uint64(0)
	if r.Snapshot != nil {
		last, term = r.Snapshot.Index, r.Snapshot.Term
	}
	if n := len(r.Entries); n > 0 {
		last, term = r.Entries[n-1].Index, r.Entries[n-1].Term
	}
	if last == 0 {
		return r, errors.New("--recover-alone: the data folder holds neither a snapshot nor a log entry")
	}
	e := notch.LogEntry{Index: last + 1, Term: max(term, r.Hard.Term),
		Command: notch.ChangeReplicas{Set: notch.ReplicaSet{Voters: []notch.Replica{self}}}}
	r.Entries = append(r.Entries, e)
	return r, j.Append([]notch.Persist{{Hard: r.Hard, Entries: []notch.LogEntry{e}}})
}

// start starts the servers. The link server comes first and the callers' server
// last.
func (d *Daemon) start(context.Context) error {
	d.serve(front.Serve(d.links, d.linkHandler()))
	for _, a := range d.settings.joinAddresses() {
		d.link.Connect(notch.Daemon{Address: a})
	}
	if d.operators != nil {
		d.serve(d.adapter.Operators(system{d.engine, d}, d.operators))
	}
	if d.health != nil {
		d.serve(d.adapter.Health(system{d.engine, d}, d.health))
	}
	if d.metrics != nil {
		d.serve(front.Serve(d.metrics, front.MetricsHandler(d.registry)))
	}
	if d.callers != nil {
		d.callerServer = d.adapter.Callers(system{d.engine, d}, d.callers)
		d.serve(d.callerServer)
	}
	d.log.WithFields(logrus.Fields{
		"daemon": d.settings.Name, "listen": d.CallerAddr(), "operators": d.OperatorAddr(), "link": d.LinkAddr(),
	}).Info("serving")
	return nil
}

func (d *Daemon) serve(s notch.Server) { d.servers = append(d.servers, s) }

// Start begins to serve callers, operators and the other daemons.
func (d *Daemon) Start() error { return d.start(context.Background()) }

func (d *Daemon) linkHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(link.Path, d.link.Handler())
	return mux
}

// Ready implements front.ReadinessChecker.
func (d *Daemon) Ready() error {
	switch {
	case d.stopping.Load():
		return errors.Wrap(notch.ErrClosed, "stopping")
	case !d.engine.Leased():
		return notch.ErrNoLease
	}
	return nil
}

// Stop stops the daemon gracefully. The daemon becomes unready and waits until the
// load balancer has noticed. Then it accepts no new connections from callers and
// waits for the requests in flight, at most for the stop timeout. Finally it transfers
// leadership if it leads, and tells the leader that it leaves, so that other entries
// get its slots except for those of requests that are still in flight. Every call returns the outcome of the first; Kill cuts it short.
func (d *Daemon) Stop(ctx context.Context) error {
	d.stopOnce.Do(func() { d.stopErr = d.stop(ctx) })
	return d.stopErr
}

func (d *Daemon) stop(ctx context.Context) error {
	d.stopping.Store(true)
	d.log.WithField("daemon", d.settings.Name).Info("stopping")
	if d.callerServer != nil {
		d.callerServer.Drain()
	}
	d.pause(ctx, d.drainDelay())
	var err error
	if d.callerServer != nil {
		drainCtx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.StopTimeout))
		defer cancel()
		err = errors.Wrap(d.callerServer.Shutdown(drainCtx), "requests were still in flight after --stop-timeout")
	}
	d.engine.Post(notch.ShutdownStarted{})
	d.pause(context.WithoutCancel(ctx), leaveDelay)
	d.close()
	d.log.WithField("daemon", d.settings.Name).Info("stopped")
	return err
}

// pause waits for a delay, at most until ctx ends or the daemon is killed.
func (d *Daemon) pause(ctx context.Context, delay time.Duration) {
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	case <-d.ending:
	}
}

// drainDelay returns how long the load balancer gets to notice that the daemon is
// unready. It is zero for a daemon that serves no callers.
func (d *Daemon) drainDelay() time.Duration {
	if d.callers == nil {
		return 0
	}
	return time.Duration(d.settings.DrainDelay)
}

// leaveDelay is how long Stop waits before it closes the links, so that the messages
// that transfer leadership and announce the leave arrive.
const leaveDelay = 300 * time.Millisecond

// close ends the daemon's components, each of which belongs to it alone. Every call
// returns once they have ended.
func (d *Daemon) close() { d.closeOnce.Do(d.closeComponents) }

// closeComponents closes the servers in the reverse order of their start. The link server,
// which was started first, closes after the link.
func (d *Daemon) closeComponents() {
	close(d.ending)
	for i := len(d.servers) - 1; i > 0; i-- {
		d.servers[i].Close()
	}
	d.link.Close()
	if len(d.servers) > 0 {
		d.servers[0].Close()
	}
	d.closeListeners()
	d.engine.Close()
	if d.journal != nil {
		d.journal.Close()
	}
}

// Kill ends the daemon as a crash would, as far as that is possible within a
// process: it doesn't transfer leadership, sends no leave message and doesn't wait for
// requests.
func (d *Daemon) Kill() {
	d.stopping.Store(true)
	d.close()
}

// CallerAddr returns the address for callers, backend servers and workers.
func (d *Daemon) CallerAddr() string { return addressOf(d.callers) }

// OperatorAddr returns the operators' address.
func (d *Daemon) OperatorAddr() string { return addressOf(d.operators) }

// LinkAddr returns the address for other daemons.
func (d *Daemon) LinkAddr() string { return addressOf(d.links) }

// Registry returns the daemon's metrics.
func (d *Daemon) Registry() metrics.Registry { return d.registry }

// Engine returns the daemon's engine.
func (d *Daemon) Engine() *engine.Engine { return d.engine }
