package lifecycle

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lockroad/internal/assert"
	"lockroad/internal/console"
	"lockroad/internal/core"
	"lockroad/internal/spoken/amqp"
	"lockroad/internal/spoken/discovery"
	"lockroad/internal/spoken/line"
	"lockroad/internal/spoken/otlp"
)

const (
	// After the word to leave clients still come for up to 0.4 s. Who were moved
	// before that could come back to this very relay, to be moved once more.
	moveAfter  = 450 * time.Millisecond
	closeAfter = 150 * time.Millisecond // from then until the door is closed
	killMargin = 400 * time.Millisecond // past the longest deadline; SIGKILL comes 300 ms later

	spareFDs = 64  // descriptors for all but transactions
	memPart  = 0.7 // of the memory limit, for the collector to keep to

	telemetryEvery = 10 * time.Second
	telemetryLast  = time.Second // for what still waits at the end
)

// front is where clients come in.
type front interface {
	Serve(context.Context, net.Listener) error
}

// door is a front with its listener.
type door struct {
	console.Fronts
	front
	net.Listener
}

// relay is a relay that has been started.
type relay struct {
	config *Config
	core   *core.Core
	log    *slog.Logger
	doors  []door

	once  sync.Once
	drain chan struct{}
}

// Run runs a relay until it is told to leave, by drain or at the console, and
// everyone has been moved, or until ctx ends.
func Run(ctx context.Context, drain <-chan struct{}, c *Config, o *Operator, log *slog.Logger) error {
	if c.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	}
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(c.MemoryMB<<20) * memPart))
	}
	r := &relay{config: c, log: log, drain: make(chan struct{}), core: core.New(c.Settings, c.Seed, core.NewClock())}
	watcher := &discovery.Watcher{Core: r.core, Address: c.Discovery, Zones: c.Zones}
	if err := watcher.Know(c.Known); err != nil {
		log.Warn("the list from before the start is of no use", "error", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if o.OTLP.Endpoint != "" {
		t, err := otlp.Start(ctx, o.OTLP.Endpoint, c.Name, telemetryEvery, r.core)
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
	defer r.close()

	g, ctx := errgroup.WithContext(ctx)
	if o.Console.Socket != "" {
		l, err := console.Listen(o.Console.Socket)
		if err != nil {
			return err
		}
		desk := &console.Desk{Name: c.Name, Core: r.core, Drain: r.leave}
		for _, d := range r.doors {
			desk.Fronts = append(desk.Fronts, d.Fronts)
		}
		g.Go(func() error { return desk.Serve(ctx, l) })
	}
	g.Go(func() error { return r.core.Run(ctx) })
	g.Go(func() error { return r.core.Watch(ctx) })
	g.Go(func() error { return watcher.Run(ctx) })
	g.Go(func() error { return r.serve(ctx, cancel) })
	g.Go(func() error { return r.wait(ctx, cancel, drain) })
	log.Info("ready", "name", c.Name, "listen", c.Listen)
	err := g.Wait()
	log.Info("stopped", "transactions", r.core.Transactions.Len(), "broken_invariants", assert.Broken())
	return err
}

// open opens the fronts' listeners.
func (r *relay) open(o *Operator) error {
	c := r.config
	most, links := 4096, 0
	if c.Sockets > 0 {
		most = max(1, (c.Sockets-spareFDs)/2) // one for the client, one for its server
	}
	if o.AMQP.Listen != "" {
		if links = o.AMQP.Links; links == 0 || links > most/2 {
			links = max(1, most/2)
		}
		most = max(1, most-links)
	}
	if err := r.door("line", c.Listen, &line.Front{Core: r.core, Classes: c.Classes, Most: most}); err != nil {
		return err
	}
	if o.AMQP.Listen == "" {
		return nil
	}
	return r.door("amqp", o.AMQP.Listen, &amqp.Front{
		Core: r.core, Classes: c.Classes, Most: links, ServerPort: o.AMQP.ServerPort,
	})
}

func (r *relay) door(name, address string, f front) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		r.close()
		return fmt.Errorf("front %s: %w", name, err)
	}
	r.doors = append(r.doors, door{console.Fronts{Name: name, Listen: l.Addr().String()}, f, l})
	return nil
}

func (r *relay) close() {
	for _, d := range r.doors {
		d.Close()
	}
}

// serve runs the fronts. Once all clients of all fronts have been seen through,
// the relay ends.
func (r *relay) serve(ctx context.Context, end context.CancelFunc) error {
	defer end()
	var g errgroup.Group
	for _, d := range r.doors {
		g.Go(func() error { return d.front.Serve(ctx, d.Listener) })
	}
	return g.Wait()
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
	longest := 3 * time.Second
	for _, class := range r.config.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	r.log.Info("leaving", "transactions", r.core.Transactions.Len())
	ctx, done := context.WithTimeout(ctx, longest+killMargin)
	defer done()
	pause(ctx, moveAfter)
	r.core.MoveAll()
	pause(ctx, closeAfter)
	r.close()
	<-ctx.Done() // the fronts end it before its time once the last client is gone
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
