package daemon

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	notch "tamaracknotch"
	"tamaracknotch/consensus"
	"tamaracknotch/engine"
	"tamaracknotch/front"
	"tamaracknotch/link"
	"tamaracknotch/wal"
)

// Daemon is a running process of the system.
type Daemon struct {
	settings  Settings
	log       *logrus.Logger
	registry  metrics.Registry
	engine    *engine.Engine
	link      *link.Link
	journal   *wal.Journal
	face      front.Face
	callers   net.Listener // nil: callers aren't served
	operators net.Listener // nil: operators aren't served
	links     net.Listener
	health    net.Listener // nil: the balancer asks elsewhere
	metrics   net.Listener // nil: operators serve them alone
	servers   []notch.Server
	entry     notch.Server // of callers
	stopping  atomic.Bool
}

// Module is the fx wiring: each piece is built from those that it needs, started
// in that order and stopped in the reverse one.
func Module(s Settings, faces Faces, out io.Writer) fx.Option {
	return fx.Options(
		fx.NopLogger,
		fx.StopTimeout(time.Duration(s.DrainDelay)+time.Duration(s.StopTimeout)+stopMargin),
		fx.Supply(s, faces),
		fx.Provide(
			func(lc fx.Lifecycle, registry metrics.Registry) *logrus.Logger {
				w := newLogWriter(out)
				registry.Register("log-lines-dropped", metrics.NewFunctionalGauge(w.dropped.Load))
				lc.Append(fx.Hook{OnStop: func(ctx context.Context) error { return w.end(ctx) }})
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

// stopMargin is added to the time that fx gives the stop.
const stopMargin = 10 * time.Second

// New opens the listeners and the data folder and builds the reducers. Nothing
// is served yet.
func New(s Settings, log *logrus.Logger, registry metrics.Registry, faces Faces) (*Daemon, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, log: log, registry: registry}
	if s.Face != OwnFace {
		adapter, ok := faces[s.Face]
		if !ok {
			return nil, errors.Errorf("settings: --face is %q: no such adapter is built in", s.Face)
		}
		d.face = adapter()
	} else {
		d.face = ownFace{d}
	}
	if err := d.listen(); err != nil {
		d.closeListeners()
		return nil, err
	}
	if err := d.build(); err != nil {
		d.closeListeners()
		return nil, err
	}
	return d, nil
}

// Faces are the adapters that are built in, by name.
type Faces map[string]func() front.Face

func (d *Daemon) listen() error {
	for _, want := range []struct {
		address string
		to      *net.Listener
	}{
		{d.settings.Listen, &d.callers}, {d.settings.Operators, &d.operators}, {d.settings.Link, &d.links},
		{d.settings.Health, &d.health}, {d.settings.Metrics, &d.metrics},
	} {
		if want.address == "" {
			continue
		}
		l, err := net.Listen("tcp", want.address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", want.address)
		}
		*want.to = l
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

func addressOf(l net.Listener) string {
	if l == nil {
		return ""
	}
	return l.Addr().String()
}

func (d *Daemon) build() error {
	self := notch.Daemon{
		Name: d.settings.Name, Address: addressOf(d.links), Domain: d.settings.FailureDomain,
		Operators:   addressOf(d.operators),
		Incarnation: uint64(time.Now().UnixNano()), Replica: d.settings.DataDir != "",
	}
	var id wal.Identity
	var recovered *notch.Recovered
	if self.Replica {
		var err error
		if id, recovered, err = d.openData(self); err != nil {
			return err
		}
	}
	sent := metrics.GetOrRegisterCounter("link-bytes-sent", d.registry)
	hello := notch.Hello{Daemon: self, Storage: id.Storage, Cluster: id.Cluster}
	post := func(b notch.Body) { d.engine.Post(b) }
	d.link = link.New([]byte(d.settings.LinkKey), hello, post, link.WithCounter(func(n int) { sent.Inc(int64(n)) }))
	cfg := engine.Config{
		Self: self, Control: controlState(d.settings, self, id.Storage, id.Cluster), Lanes: lanes(d.settings),
		Clock: newClock(), Seed: rand.Uint64(), Link: d.link,
		Agents: d.face.Agents(), Sink: d.sink(),
	}
	if d.journal != nil {
		cfg.Journal = d.journal
	}
	d.engine = engine.New(cfg, recovered)
	return nil
}

func (d *Daemon) sink() sink { return sink{registry: d.registry, log: d.log, name: d.settings.Name} }

// openData reads the data folder, after beginning a cluster if that is asked for.
func (d *Daemon) openData(self notch.Daemon) (wal.Identity, *notch.Recovered, error) {
	j := wal.New(wal.Folder(d.settings.DataDir))
	fresh := wal.Identity{Storage: rand.Uint64() | 1}
	if d.settings.founds() {
		fresh.Cluster = rand.Uint64() | 1
	}
	id, created, err := j.Identity(fresh)
	if err != nil {
		return id, nil, err
	}
	r, err := j.Load()
	if err != nil {
		return id, nil, errors.Wrap(err, "data folder "+d.settings.DataDir)
	}
	replica := notch.Replica{Name: self.Name, Storage: id.Storage}
	if created && d.settings.founds() {
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
		d.log.WithField("daemon", self.Name).Warn("goes on as the only control replica")
	}
	d.journal = j
	return id, &r, nil
}

// recoverAlone appends a replica set of this replica alone to what the journal
// held. What the lost majority accepted and this replica never got is lost.
func recoverAlone(j *wal.Journal, r notch.Recovered, self notch.Replica) (notch.Recovered, error) {
	last, term := uint64(0), uint64(0)
	if r.Snapshot != nil {
		last, term = r.Snapshot.Index, r.Snapshot.Term
	}
	if n := len(r.Entries); n > 0 {
		last, term = r.Entries[n-1].Index, r.Entries[n-1].Term
	}
	if last == 0 {
		return r, errors.New("--recover-alone: the data folder holds no state to go on from")
	}
	e := notch.Entry{Index: last + 1, Term: max(term, r.Hard.Term),
		Command: notch.ChangeReplicas{Set: notch.ReplicaSet{Voters: []notch.Replica{self}}}}
	r.Entries = append(r.Entries, e)
	return r, j.Append([]notch.Persist{{Hard: r.Hard, Entries: []notch.Entry{e}}})
}

// start serves. The links come first, callers last.
func (d *Daemon) start(context.Context) error {
	d.serve(front.Serve(d.links, d.linkHandler()))
	for _, a := range d.settings.joinAddresses() {
		d.link.Connect(notch.Daemon{Address: a})
	}
	if d.operators != nil {
		d.serve(d.face.Operators(system{d.engine, d}, d.operators))
	}
	if d.health != nil {
		d.serve(d.face.Health(system{d.engine, d}, d.health))
	}
	if d.metrics != nil {
		d.serve(front.Serve(d.metrics, front.Metrics(d.registry)))
	}
	if d.callers != nil {
		d.entry = d.face.Callers(system{d.engine, d}, d.callers)
		d.serve(d.entry)
	}
	d.log.WithFields(logrus.Fields{
		"daemon": d.settings.Name, "listen": d.Callers(), "operators": d.Operators(), "link": d.Link(),
	}).Info("serving")
	return nil
}

func (d *Daemon) serve(s notch.Server) { d.servers = append(d.servers, s) }

// Start serves callers, operators and the other daemons.
func (d *Daemon) Start() error { return d.start(context.Background()) }

func (d *Daemon) linkHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(link.Path, d.link.Handler())
	return mux
}

// Ready implements front.Health.
func (d *Daemon) Ready() error {
	switch {
	case d.stopping.Load():
		return errors.Wrap(notch.ErrClosed, "stopping")
	case !d.engine.Leased():
		return errors.New("no lease from control: requests are refused")
	}
	return nil
}

// Stop stops gracefully: unready first, then, after the balancer's delay, no new
// connections; requests in flight end; what is held is given back.
func (d *Daemon) Stop(ctx context.Context) error {
	d.stopping.Store(true)
	d.log.WithField("daemon", d.settings.Name).Info("stopping")
	select {
	case <-time.After(d.drainDelay()):
	case <-ctx.Done():
	}
	var err error
	if d.entry != nil {
		sctx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.StopTimeout))
		defer cancel()
		err = errors.Wrap(d.entry.Shutdown(sctx), "requests in flight at the end of --stop-timeout")
	}
	d.engine.Post(notch.ShutdownStarted{})
	time.Sleep(handOverTime)
	d.close()
	d.log.WithField("daemon", d.settings.Name).Info("stopped")
	return err
}

// drainDelay is the time that the balancer needs to notice; a daemon without callers
// has no need of it.
func (d *Daemon) drainDelay() time.Duration {
	if d.callers == nil {
		return 0
	}
	return time.Duration(d.settings.DrainDelay)
}

// handOverTime lets the lead and the slots be handed over before the links close.
const handOverTime = 300 * time.Millisecond

func (d *Daemon) close() {
	for i := len(d.servers) - 1; i > 0; i-- {
		d.servers[i].Close()
	}
	d.link.Close()
	if len(d.servers) > 0 {
		d.servers[0].Close()
	}
	d.engine.Close()
	if d.journal != nil {
		d.journal.Close()
	}
}

// Kill ends the daemon without a hand-over, a goodbye or a wait for requests, as
// far as a process can do that to a part of itself.
func (d *Daemon) Kill() {
	d.stopping.Store(true)
	d.close()
}

// Callers returns the address for callers, backend servers and workers.
func (d *Daemon) Callers() string { return addressOf(d.callers) }

// Operators returns the operators' address.
func (d *Daemon) Operators() string { return addressOf(d.operators) }

// Link returns the address for other daemons.
func (d *Daemon) Link() string { return addressOf(d.links) }

// Registry returns the daemon's metrics.
func (d *Daemon) Registry() metrics.Registry { return d.registry }

// Engine returns the daemon's engine.
func (d *Daemon) Engine() *engine.Engine { return d.engine }
