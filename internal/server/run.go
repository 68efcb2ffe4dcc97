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
	moveAfter = 450 * time.Millisecond
	// SIGKILL comes no earlier than this after the longest deadline, which counts as
	// 3 s if it is longer.
	killAfter   = 700 * time.Millisecond
	killLongest = 3 * time.Second
	// Ahead of it: the last is told to move, the doors are closed, who still waits is
	// answered, and the relay ends.
	lastMove  = 1100 * time.Millisecond
	closeDoor = 900 * time.Millisecond
	turnAway  = 800 * time.Millisecond
	lastEnd   = 150 * time.Millisecond
	// Everyone moves within this, as late as may be: the relays that are to take them
	// in may be restarting themselves.
	moveOver = 800 * time.Millisecond

	// Of the descriptors: eighths for transactions, each of which takes two, then
	// some for all but clients; the rest is for connections that wait.
	seatEighths = 3
	spareFDs    = 24
	memPart     = 0.7 // of the memory limit, for the collector to keep to

	telemetryEvery = 10 * time.Second
	telemetryLast  = time.Second // for what still waits at the end
)

// firstList is how long the first list is waited for before clients are taken in: an agent that is up answers at once.
// Those who come meanwhile wait in the doors' queues.
var firstList = 300 * time.Millisecond

// front is where clients come in.
type front interface {
	Serve(context.Context, net.Listener) error
}

// door is a front with its listener.
type door struct {
	console.Frontend
	front
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
	config  *config.Config
	core    *proxy.Proxy
	log     *slog.Logger
	watcher *discovery.Watcher
	listed  <-chan struct{} // closed once discovery has told its list
	doors   []door
	record  *decisionlog.Log // nil: no decisions are kept
	takes   atomic.Bool      // clients are taken
	leaves  atomic.Bool      // it was told to leave
	line    *line.Frontend
	halls   []*listener.ConnLimiter
	host    *hotrestart.Predecessor // as a new version finds it; nil: none can come
	guest   *hotrestart.Successor   // of the old process, while it is there; nil: there is none
	orphan  chan struct{}           // closed once there is no old process
	told    *state                  // by the old process, as far as it is of use
	keeper  *keeper
	prober  *prober.Prober // of a site's servers; nil: discovery tells of them
	keys    keys
	reloads chan reloadAsk
	seats   int // of all fronts

	once  sync.Once
	drain chan struct{}
	again atomic.Bool // it is to be started again
}

// Run runs a relay until it is told to leave, by the platform or at the console,
// and everyone has been moved, or until ctx ends.
func Run(ctx context.Context, words RunOptions, c *config.Config, o *config.Operator, log *slog.Logger) error {
	if c.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	}
	r := &relay{config: c, log: log, drain: make(chan struct{}), orphan: make(chan struct{}), reloads: make(chan reloadAsk)}
	r.memory(1)
	r.ask()
	defer func() {
		if r.guest != nil {
			r.guest.Close()
		}
	}()
	r.keeper = newKeeper(r)
	if r.guest == nil || o.Store.Dir == "" {
		r.keeper.open(o.Store)
	} else {
		r.keeper.wait()
	}
	defer r.keeper.close()
	clock := proxy.NewClock()
	known, age, warm := r.keeper.known()
	switch {
	case r.guest != nil:
		clock = proxy.ContinueClock(r.guest.Offer.Clock, r.guest.Offer.ClockStart)
	case warm:
		clock = proxy.ContinueClock(known.Clock+age, known.ClockStart)
	}
	r.core = proxy.New(c.Settings, c.Seed, clock)
	r.keeper.core = r.core
	if o.Store.Dir != "" {
		r.core.Instruments = r.keeper.readings()
	}
	if err := r.observe(o); err != nil {
		return err
	}
	if s := words.Site; s != nil {
		r.prober = prober.New(r.core, s.Health, s.Servers, s.Ping)
		r.core.Observe(r.prober)
	}
	var desk net.Listener // of the second address
	if c.Admin != "" {
		var err error
		if desk, err = net.Listen("tcp", c.Admin); err != nil {
			return fmt.Errorf("admin_addr: %w", err)
		}
		defer desk.Close()
		r.core.PublishCounts()
	}
	r.watcher = &discovery.Watcher{Proxy: r.core, Address: c.Discovery, Zones: c.Zones, RetainList: c.Admin != "" || o.Store.Dir != ""}
	r.listed = r.watcher.Synced()
	r.begin(known, age, warm)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if o.OTLP.Endpoint != "" {
		t, err := telemetry.Start(ctx, o.OTLP.Endpoint, c.Name, telemetryEvery, r.core, r.record)
		if err != nil {
			return err
		}
		defer func() {
			last, done := context.WithTimeout(context.Background(), telemetryLast)
			defer done()
			if err := t.Stop(last); err != nil {
				log.Warn("the last telemetry is lost", "error", err)
			}
		}()
	}
	if err := r.open(o); err != nil {
		return err
	}
	if s := words.Site; s != nil { // nobody has been let in yet
		r.core.Quota = quota.New(s.QuotaSettings(r.seats))
	}
	r.unused()
	defer r.close()

	if s := r.keeper.shelf; s != nil {
		go s.run()
		defer s.stop() // before the store is closed: what has ended is kept
	}
	g, ctx := errgroup.WithContext(ctx)
	if o.Console.Socket != "" {
		var l net.Listener
		if r.guest == nil {
			var err error
			if l, err = console.Listen(o.Console.Socket); err != nil {
				return err
			}
		}
		desk := &console.Server{Name: c.Name, Proxy: r.core, Drain: r.leave, Persistence: r.keeper, Reload: r.askReload, Log: words.LogTail,
			Restart: func() error { return r.restart(words.Supervised) }}
		if r.prober != nil {
			desk.Health = r.prober.Health
		}
		if r.record != nil {
			desk.Explainer = &explain.Explainer{Log: r.record, Names: r.core.Endpoints}
			if r.keeper.shelf != nil {
				desk.Explainer = r.keeper.shelf.teller
			}
		}
		for _, d := range r.doors {
			desk.Frontends = append(desk.Frontends, d.Frontend)
		}
		g.Go(func() error {
			if l == nil { // the old process answers there until it ends
				var err error
				if l, err = r.lateConsole(ctx, o.Console.Socket); err != nil {
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
		d := &admin.Server{Ready: r.takes.Load, Metrics: r.core.Metrics}
		g.Go(func() error {
			if err := d.Serve(ctx, desk); err != nil { // clients are served without it
				log.Error("the second address answers no more", "error", err)
			}
			return nil
		})
	}
	g.Go(func() error { return r.core.Run(ctx) })
	g.Go(func() error { return r.core.MonitorHeartbeats(ctx) })
	if r.prober != nil {
		g.Go(func() error { return r.prober.Run(ctx) })
	} else {
		g.Go(func() error { return r.watcher.Run(ctx) })
	}
	g.Go(func() error { return r.serve(ctx, cancel) })
	g.Go(func() error { return r.reload(ctx, words) })
	g.Go(func() error { return r.keys.watch(ctx, log) })
	if o.Store.Dir != "" || o.Console.Socket != "" {
		g.Go(func() error { return r.keeper.run(ctx, o.Store) })
	}
	g.Go(func() error { return r.wait(ctx, cancel, words.Shutdown) })
	if err := r.takeOver(ctx); err != nil {
		log.Warn("the old process is gone or strange: this one goes on alone", "error", err)
	}
	r.takes.Store(true) // the doors are open, and settings and farm are there
	if r.host != nil {
		g.Go(func() error { return r.host.Serve(ctx) })
	}
	log.Info("ready", "name", c.Name, "listen", c.Listen)
	err := g.Wait()
	log.Info("stopped", "transactions", r.core.Requests.Len(), "broken_invariants", assert.Broken())
	if err == nil && r.again.Load() {
		return ErrRestart
	}
	return err
}

// observe has transactions logged and, if the operator wants it, their decisions kept.
// The record comes first, as telemetry reads of it what has ended.
func (r *relay) observe(o *config.Operator) error {
	r.core.Log = r.log
	if n := o.DecisionLogBytes(); n > 0 {
		var err error
		if r.record, err = decisionlog.New(n, r.core.Clock); err != nil {
			return err
		}
		r.core.Observe(r.record)
		if o.Store.Dir != "" { // after the record, which it reads
			r.keeper.shelf = newShelf(r.keeper)
			r.keeper.shelf.teller = &explain.Explainer{Log: r.record, Names: r.core.Endpoints, Archive: r.keeper.shelf}
			r.core.Observe(r.keeper.shelf)
		}
	}
	r.core.Observe(&logging.RequestObserver{Log: r.log, Clock: r.core.Clock, Name: r.core.Endpoints.Name})
	return nil
}

// open opens the fronts' listeners.
func (r *relay) open(o *config.Operator) error {
	c := r.config
	seats, waiting := 4096, 1024
	if c.Sockets > 0 {
		seats = max(1, c.Sockets*seatEighths/8)
		spare := spareFDs
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
	r.seats = seats + links
	hall := &listener.ConnLimiter{Slots: seats, MaxIdle: waiting}
	r.line = &line.Frontend{Proxy: r.core, Limiter: hall}
	r.halls = append(r.halls, hall)
	if err := r.door("line", c.Listen, r.line); err != nil {
		return err
	}
	if o.AMQP.Listen == "" {
		return nil
	}
	hall = &listener.ConnLimiter{Slots: links, MaxIdle: waiting}
	r.halls = append(r.halls, hall)
	front := &amqp.Frontend{Proxy: r.core, EndpointPort: o.AMQP.EndpointPort, Limiter: hall, Pool: o.AMQP.PoolSettings()}
	var err error
	if front.Placements, err = o.AMQP.CompiledPlacements(); err != nil {
		return err
	}
	if r.keys.gate, err = auth.New(o.AMQP.AuthSettings()); err != nil {
		return fmt.Errorf("amqp: %w", err)
	}
	if r.keys.servers, err = auth.NewEndpointTLS(o.AMQP.UpstreamSettings()); err != nil {
		return fmt.Errorf("amqp: %w", err)
	}
	front.Authenticator, front.EndpointTLS = r.keys.gate, r.keys.servers
	return r.door("amqp", o.AMQP.Listen, front)
}

func (r *relay) door(name, address string, f front) error {
	l := r.handedDoor(name, address)
	var err error
	if l == nil {
		l, err = listener.Listen(address, r.config.Admin != "") // who asks there whether it is ready may replace it under load
	}
	if err != nil {
		r.close()
		return fmt.Errorf("front %s: %w", name, err)
	}
	r.doors = append(r.doors, door{console.Frontend{Name: name, Listen: l.Addr().String()}, f, l})
	return nil
}

func (r *relay) close() {
	for _, d := range r.doors {
		d.Shutdown()
	}
}

// serve runs the fronts. Once all clients of all fronts have been seen through,
// the relay ends.
func (r *relay) serve(ctx context.Context, end context.CancelFunc) error {
	defer end()
	if r.prober == nil && r.guest == nil { // what was known before the start is older than what counts as told
		select {
		case <-r.listed:
		case <-ctx.Done():
		case <-time.After(firstList):
		}
	}
	var g errgroup.Group
	for _, d := range r.doors {
		g.Go(func() error { return d.front.Serve(ctx, d.Listener) })
	}
	return g.Wait()
}

// restart has the relay leave to be started again.
func (r *relay) restart(supervised bool) error {
	if !supervised {
		return errors.New("nobody would start the relay again: neither INVOCATION_ID, as systemd sets it, nor LOCKROAD_SUPERVISED is set")
	}
	r.again.Store(true)
	r.leave()
	return nil
}

// leave has the relay leave.
func (r *relay) leave() { r.once.Do(func() { close(r.drain) }) }

// wait waits for the word to leave. Then it moves everyone away while clients
// still come, closes the doors and waits for the last client, no longer than the
// platform does.
func (r *relay) wait(ctx context.Context, end context.CancelFunc, drain <-chan struct{}) error {
	defer end()
	defer r.close()
	select {
	case <-ctx.Done():
		return nil
	case <-drain:
	case <-r.drain:
	}
	r.leaves.Store(true)
	r.takes.Store(false)
	began, killed := time.Now(), time.Duration(0)
	for _, class := range r.core.Settings().Classes {
		killed = max(killed, min(class.Deadline, killLongest))
	}
	killed += killAfter
	r.log.Info("leaving", "transactions", r.core.Requests.Len())
	handed := r.host != nil && r.host.BeginShutdown()
	ctx, done := context.WithTimeout(ctx, killed-lastEnd)
	defer done()
	until := func(at time.Duration) { pause(ctx, time.Until(began.Add(at))) }
	if handed {
		// Who comes is the new process's. What stands here goes there too, and what is still to
		// stand as soon as it does.
		r.close()
		r.core.HandOffAll(r.host.HandOff, moveOver)
		until(killed - turnAway)
		r.core.RejectPending()
		<-ctx.Done()
		return nil
	}
	move := max(moveAfter, killed-lastMove-moveOver)
	until(move)
	r.core.MigrateAll(max(time.Millisecond, killed-lastMove-move))
	until(killed - closeDoor)
	r.close()
	until(killed - turnAway)
	r.core.RejectPending()
	<-ctx.Done() // the fronts end it before its time once the last client is gone
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
