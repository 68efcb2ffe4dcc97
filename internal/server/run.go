// Package server starts the relay, tells when it is ready, and has it leave
// in good order.
package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"lockroad/internal/admin"
	"lockroad/internal/assert"
	"lockroad/internal/auth"
	"lockroad/internal/config"
	"lockroad/internal/console"
	"lockroad/internal/decisionlog"
	"lockroad/internal/discovery"
	"lockroad/internal/explain"
	"lockroad/internal/frontend/amqp"
	"lockroad/internal/frontend/line"
	"lockroad/internal/healthcheck/prober"
	"lockroad/internal/hotrestart"
	"lockroad/internal/listener"
	"lockroad/internal/logging"
	"lockroad/internal/proxy"
	"lockroad/internal/quota"
	"lockroad/internal/telemetry"
)

const (
	// After the word to leave clients still come for up to 0.4 s. Who were moved
	// before that could come back to this very relay, to be moved once more.
	migrationDelay = 450 * time.Millisecond
	// SIGKILL comes no earlier than this after the longest deadline, which counts as
	// 3 s if it is longer.
	killGrace       = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second
	// Ahead of it: the last is told to move, the doors are closed, who still waits is
	// answered, and the relay ends.
	lastMigrationLead  = 1100 * time.Millisecond
	closeListenersLead = 900 * time.Millisecond
	rejectPendingLead  = 800 * time.Millisecond
	exitLead           = 150 * time.Millisecond
	// Everyone moves within this, as late as may be: the relays that are to take them
	// in may be restarting themselves.
	migrationDuration = 800 * time.Millisecond

	// Of the descriptors: eighths for transactions, each of which takes two, then
	// some for all but clients; the rest is for connections that wait.
	slotEighths         = 3
	reservedDescriptors = 24
	memoryShare         = 0.7 // of the memory limit, for the collector to keep to

	telemetryInterval     = 10 * time.Second
	telemetryFlushTimeout = time.Second // for what still waits at the end
)

// firstListTimeout is how long the first list is waited for before clients are taken in: an agent that is up answers at once.
// Those who come meanwhile wait in the doors' queues.
var firstListTimeout = 300 * time.Millisecond

// frontend is where clients come in.
type frontend interface {
	Serve(context.Context, net.Listener) error
}

// boundFrontend is a front with its listener.
type boundFrontend struct {
	console.Frontend
	frontend
	*listener.Listener
}

// RunOptions are what the platform says to a relay that runs.
type RunOptions struct {
	Shutdown   <-chan struct{}         // closed once it is to leave
	Reload     <-chan os.Signal        // a value each time the configuration's file has been replaced
	ConfigPath string                  // the configuration's, or the site's
	Site       *config.Site            // that the configuration is of; nil: the platform's, with a discovery
	LogTail    func(most int) []string // the last lines of the log; nil: none are kept
	// Supervised says that whoever started the relay starts it again after ErrRestart.
	Supervised bool
}

// ErrRestart says that the relay has left in good order to be started again.
var ErrRestart = errors.New("the relay is to be started again")

// relay is a relay that has been started.
type relay struct {
	config          *config.Config
	proxy           *proxy.Proxy
	log             *slog.Logger
	watcher         *discovery.Watcher
	listSynced      <-chan struct{} // closed once discovery has told its list
	frontends       []boundFrontend
	decisionLog     *decisionlog.Log // nil: no decisions are kept
	ready           atomic.Bool      // clients are taken
	shuttingDown    atomic.Bool      // it was told to leave
	lineFrontend    *line.Frontend
	limiters        []*listener.ConnLimiter
	asPredecessor   *hotrestart.Predecessor // as a new version finds it; nil: none can come
	asSuccessor     *hotrestart.Successor   // of the old process, while it is there; nil: there is none
	predecessorGone chan struct{}           // closed once there is no old process
	inherited       *handoffState           // by the old process, as far as it is of use
	persistence     *persistentState
	prober          *prober.Prober // of a site's servers; nil: discovery tells of them
	credentials     credentials
	reloadRequests  chan reloadRequest
	slots           int // of all fronts

	shutdownOnce      sync.Once
	shutdownRequested chan struct{}
	restartRequested  atomic.Bool // it is to be started again
}

// Run runs a relay until it is told to leave, by the platform or at the console,
// and everyone has been moved, or until ctx ends.
func Run(ctx context.Context, options RunOptions, c *config.Config, o *config.Operator, log *slog.Logger) error {
	if c.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	}
	r := &relay{config: c, log: log, shutdownRequested: make(chan struct{}), predecessorGone: make(chan struct{}), reloadRequests: make(chan reloadRequest)}
	r.limitMemory(1)
	r.connectPredecessor()
	defer func() {
		if r.asSuccessor != nil {
			r.asSuccessor.Close()
		}
	}()
	r.persistence = newPersistentState(r)
	if r.asSuccessor == nil || o.Store.Dir == "" {
		r.persistence.open(o.Store)
	} else {
		r.persistence.deferToPredecessor()
	}
	defer r.persistence.close()
	clock := proxy.NewClock()
	known, age, warm := r.persistence.loadSnapshot()
	switch {
	case r.asSuccessor != nil:
		clock = proxy.ContinueClock(r.asSuccessor.Offer.Clock, r.asSuccessor.Offer.ClockStart)
	case warm:
		clock = proxy.ContinueClock(known.Clock+age, known.ClockStart)
	}
	r.proxy = proxy.New(c.Settings, c.Seed, clock)
	r.persistence.proxy = r.proxy
	if o.Store.Dir != "" {
		r.proxy.Instruments = r.persistence.instruments()
	}
	if err := r.installObservers(o); err != nil {
		return err
	}
	if s := options.Site; s != nil {
		r.prober = prober.New(r.proxy, s.Health, s.Servers, s.Ping)
		r.proxy.Observe(r.prober)
	}
	var desk net.Listener // of the second address
	if c.Admin != "" {
		var err error
		if desk, err = net.Listen("tcp", c.Admin); err != nil {
			return fmt.Errorf("admin_addr: %w", err)
		}
		defer desk.Close()
		r.proxy.PublishCounts()
	}
	r.watcher = &discovery.Watcher{Proxy: r.proxy, Address: c.Discovery, Zones: c.Zones, RetainList: c.Admin != "" || o.Store.Dir != ""}
	r.listSynced = r.watcher.Synced()
	r.restore(known, age, warm)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if o.OTLP.Endpoint != "" {
		t, err := telemetry.Start(ctx, o.OTLP.Endpoint, c.Name, telemetryInterval, r.proxy, r.decisionLog)
		if err != nil {
			return err
		}
		defer func() {
			last, done := context.WithTimeout(context.Background(), telemetryFlushTimeout)
			defer done()
			if err := t.Stop(last); err != nil {
				log.Warn("the last telemetry is lost", "error", err)
			}
		}()
	}
	if err := r.openFrontends(o); err != nil {
		return err
	}
	if s := options.Site; s != nil { // nobody has been let in yet
		r.proxy.Quota = quota.New(s.QuotaSettings(r.slots))
	}
	r.closeUnclaimedListeners()
	defer r.closeListeners()

	if s := r.persistence.archive; s != nil {
		go s.run()
		defer s.stop() // before the store is closed: what has ended is kept
	}
	g, ctx := errgroup.WithContext(ctx)
	if o.Console.Socket != "" {
		var l net.Listener
		if r.asSuccessor == nil {
			var err error
			if l, err = console.Listen(o.Console.Socket); err != nil {
				return err
			}
		}
		desk := &console.Server{Name: c.Name, Proxy: r.proxy, Drain: r.requestShutdown, Persistence: r.persistence, Reload: r.requestReload, Log: options.LogTail,
			Restart: func() error { return r.requestRestart(options.Supervised) }}
		if r.prober != nil {
			desk.Health = r.prober.Health
		}
		if r.decisionLog != nil {
			desk.Explainer = &explain.Explainer{Log: r.decisionLog, Names: r.proxy.Endpoints}
			if r.persistence.archive != nil {
				desk.Explainer = r.persistence.archive.explainer
			}
		}
		for _, d := range r.frontends {
			desk.Frontends = append(desk.Frontends, d.Frontend)
		}
		g.Go(func() error {
			if l == nil { // the old process answers there until it ends
				var err error
				if l, err = r.listenConsoleAfterPredecessor(ctx, o.Console.Socket); err != nil {
					r.log.Error("there is no console", "error", err)
				}
				if l == nil {
					return nil
				}
			}
			return desk.Serve(ctx, l)
		})
	}
	if desk != nil {
		d := &admin.Server{Ready: r.ready.Load, Metrics: r.proxy.Metrics}
		g.Go(func() error {
			if err := d.Serve(ctx, desk); err != nil { // clients are served without it
				log.Error("the second address answers no more", "error", err)
			}
			return nil
		})
	}
	g.Go(func() error { return r.proxy.Run(ctx) })
	g.Go(func() error { return r.proxy.MonitorHeartbeats(ctx) })
	if r.prober != nil {
		g.Go(func() error { return r.prober.Run(ctx) })
	} else {
		g.Go(func() error { return r.watcher.Run(ctx) })
	}
	g.Go(func() error { return r.serveFrontends(ctx, cancel) })
	g.Go(func() error { return r.runReloads(ctx, options) })
	g.Go(func() error { return r.credentials.watch(ctx, log) })
	if o.Store.Dir != "" || o.Console.Socket != "" {
		g.Go(func() error { return r.persistence.run(ctx, o.Store) })
	}
	g.Go(func() error { return r.awaitShutdown(ctx, cancel, options.Shutdown) })
	if err := r.takeOver(ctx); err != nil {
		log.Warn("the old process is gone or strange: this one goes on alone", "error", err)
	}
	r.ready.Store(true) // the doors are open, and settings and farm are there
	if r.asPredecessor != nil {
		g.Go(func() error { return r.asPredecessor.Serve(ctx) })
	}
	log.Info("ready", "name", c.Name, "listen", c.Listen)
	err := g.Wait()
	log.Info("stopped", "transactions", r.proxy.Requests.Len(), "broken_invariants", assert.Broken())
	if err == nil && r.restartRequested.Load() {
		return ErrRestart
	}
	return err
}

// installObservers has transactions logged and, if the operator wants it, their decisions kept.
// The record comes first, as telemetry reads of it what has ended.
func (r *relay) installObservers(o *config.Operator) error {
	r.proxy.Log = r.log
	if n := o.DecisionLogBytes(); n > 0 {
		var err error
		if r.decisionLog, err = decisionlog.New(n, r.proxy.Clock); err != nil {
			return err
		}
		r.proxy.Observe(r.decisionLog)
		if o.Store.Dir != "" { // after the record, which it reads
			r.persistence.archive = newArchive(r.persistence)
			r.persistence.archive.explainer = &explain.Explainer{Log: r.decisionLog, Names: r.proxy.Endpoints, Archive: r.persistence.archive}
			r.proxy.Observe(r.persistence.archive)
		}
	}
	r.proxy.Observe(&logging.RequestObserver{Log: r.log, Clock: r.proxy.Clock, Name: r.proxy.Endpoints.Name})
	return nil
}

// openFrontends opens the fronts' listeners.
func (r *relay) openFrontends(o *config.Operator) error {
	c := r.config
	seats, waiting := 4096, 1024
	if c.Sockets > 0 {
		seats = max(1, c.Sockets*slotEighths/8)
		spare := reservedDescriptors
		if c.Admin != "" {
			spare += admin.MaxCallers + 1 // and the caller who comes to a full room
		}
		if o.Console.Socket != "" {
			spare += console.MaxSessions
		}
		waiting = max(1, c.Sockets-2*seats-spare)
	}
	links := 0
	if o.AMQP.Listen != "" {
		if links = o.AMQP.MaxLinks; links == 0 || links > seats/2 {
			links = max(1, seats/2)
		}
		seats = max(1, seats-links)
		waiting = max(1, waiting/2)
	}
	r.slots = seats + links
	hall := &listener.ConnLimiter{Slots: seats, MaxIdle: waiting}
	r.lineFrontend = &line.Frontend{Proxy: r.proxy, Limiter: hall}
	r.limiters = append(r.limiters, hall)
	if err := r.openFrontend("line", c.Listen, r.lineFrontend); err != nil {
		return err
	}
	if o.AMQP.Listen == "" {
		return nil
	}
	hall = &listener.ConnLimiter{Slots: links, MaxIdle: waiting}
	r.limiters = append(r.limiters, hall)
	front := &amqp.Frontend{Proxy: r.proxy, EndpointPort: o.AMQP.EndpointPort, Limiter: hall, Pool: o.AMQP.PoolSettings()}
	var err error
	if front.Placements, err = o.AMQP.CompiledPlacements(); err != nil {
		return err
	}
	if r.credentials.authenticator, err = auth.New(o.AMQP.AuthSettings()); err != nil {
		return fmt.Errorf("amqp: %w", err)
	}
	if r.credentials.endpointTLS, err = auth.NewEndpointTLS(o.AMQP.UpstreamSettings()); err != nil {
		return fmt.Errorf("amqp: %w", err)
	}
	front.Authenticator, front.EndpointTLS = r.credentials.authenticator, r.credentials.endpointTLS
	return r.openFrontend("amqp", o.AMQP.Listen, front)
}

func (r *relay) openFrontend(name, address string, f frontend) error {
	l := r.inheritedListener(name, address)
	var err error
	if l == nil {
		l, err = listener.Listen(address, r.config.Admin != "") // who asks there whether it is ready may replace it under load
	}
	if err != nil {
		r.closeListeners()
		return fmt.Errorf("front %s: %w", name, err)
	}
	r.frontends = append(r.frontends, boundFrontend{console.Frontend{Name: name, Listen: l.Addr().String()}, f, l})
	return nil
}

func (r *relay) closeListeners() {
	for _, d := range r.frontends {
		d.Shutdown()
	}
}

// serveFrontends runs the fronts. Once all clients of all fronts have been seen through,
// the relay ends.
func (r *relay) serveFrontends(ctx context.Context, end context.CancelFunc) error {
	defer end()
	if r.prober == nil && r.asSuccessor == nil { // what was known before the start is older than what counts as told
		select {
		case <-r.listSynced:
		case <-ctx.Done():
		case <-time.After(firstListTimeout):
		}
	}
	var g errgroup.Group
	for _, d := range r.frontends {
		g.Go(func() error { return d.frontend.Serve(ctx, d.Listener) })
	}
	return g.Wait()
}

// requestRestart has the relay leave to be started again.
func (r *relay) requestRestart(supervised bool) error {
	if !supervised {
		return errors.New("nobody would start the relay again: neither INVOCATION_ID, as systemd sets it, nor LOCKROAD_SUPERVISED is set")
	}
	r.restartRequested.Store(true)
	r.requestShutdown()
	return nil
}

// requestShutdown has the relay leave.
func (r *relay) requestShutdown() { r.shutdownOnce.Do(func() { close(r.shutdownRequested) }) }

// awaitShutdown waits for the word to leave. Then it moves everyone away while clients
// still come, closes the doors and waits for the last client, no longer than the
// platform does.
func (r *relay) awaitShutdown(ctx context.Context, end context.CancelFunc, drain <-chan struct{}) error {
	defer end()
	defer r.closeListeners()
	select {
	case <-ctx.Done():
		return nil
	case <-drain:
	case <-r.shutdownRequested:
	}
	r.shuttingDown.Store(true)
	r.ready.Store(false)
	began, killed := time.Now(), time.Duration(0)
	for _, class := range r.proxy.Settings().Classes {
		killed = max(killed, min(class.Deadline, maxKillDeadline))
	}
	killed += killGrace
	r.log.Info("leaving", "transactions", r.proxy.Requests.Len())
	handed := r.asPredecessor != nil && r.asPredecessor.BeginShutdown()
	ctx, done := context.WithTimeout(ctx, killed-exitLead)
	defer done()
	until := func(at time.Duration) { sleep(ctx, time.Until(began.Add(at))) }
	if handed {
		// Who comes is the new process's. What stands here goes there too, and what is still to
		// stand as soon as it does.
		r.closeListeners()
		r.proxy.HandOffAll(r.asPredecessor.HandOff, migrationDuration)
		until(killed - rejectPendingLead)
		r.proxy.RejectPending()
		<-ctx.Done()
		return nil
	}
	move := max(migrationDelay, killed-lastMigrationLead-migrationDuration)
	until(move)
	r.proxy.MigrateAll(max(time.Millisecond, killed-lastMigrationLead-move))
	until(killed - closeListenersLead)
	r.closeListeners()
	until(killed - rejectPendingLead)
	r.proxy.RejectPending()
	<-ctx.Done() // the fronts end it before its time once the last client is gone
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
